//! What a scheduler reads from the store at its start.

use camphorbeam_clock as clock;
use camphorbeam_jobs::settings as job_settings;
use camphorbeam_platform::store;
use camphorbeam_platform::table::PlatformError;
use futures::future;
use std::sync::Arc;

use crate::inbox_reader::InboxReader;
use crate::partition_reader::PartitionReader;
use crate::{learned_state, operator_requests, rows, scheduler};

/// The rows that a scheduler starts from.
pub struct StoredState {
    pub(crate) registry: store::Rows,
    pub(crate) inbox: store::Rows,
    /// Changes of the inbox while it was read.
    pub(crate) inbox_changes: Vec<store::Rows>,
    pub(crate) progress: store::Rows,
    pub(crate) learned: learned_state::Restored,
    pub(crate) requests: operator_requests::RequestReader,
    /// `None` if the requests couldn't be read. Then nothing is placed until a later read succeeds.
    pub(crate) first_requests: Option<operator_requests::Requests>,
}

/// Reads the server registry, the inbox, the stored progress and the learned state. After a failure
/// it can be continued from what has arrived.
///
/// To be used under the scheduler lease: the stored progress doesn't change then, except by this
/// host.
pub struct StateReader {
    registry: PartitionReader,
    inbox: InboxReader,
    inbox_changes: Vec<store::Rows>,
    progress: PartitionReader,
    learned: Option<learned_state::Restored>,
    requests: operator_requests::RequestReader,
    first_requests: Option<operator_requests::Requests>,
    started_at: clock::Monotonic,
    failures: u32,
}

impl StateReader {
    /// Creates a reader that has read nothing.
    pub fn new(deps: &scheduler::Dependencies) -> Self {
        let requests = operator_requests::RequestReader::new(
            Arc::clone(&deps.store),
            Arc::clone(&deps.schema),
            Arc::clone(&deps.current_terms),
            deps.clock.clone(),
            Arc::clone(&deps.metrics),
            deps.settings.evacuate_ms,
        );
        Self {
            registry: PartitionReader::new(deps.schema.server_registry_table(), ""),
            inbox: InboxReader::new(),
            inbox_changes: Vec::new(),
            progress: PartitionReader::new(rows::PROGRESS_TABLE, rows::SCHEDULER_PART),
            learned: None,
            requests: requests.with_waves(deps.maintenance.is_some()),
            first_requests: None,
            started_at: deps.clock.now(),
            failures: 0,
        }
    }

    /// Reads what is missing. The reads share the host's link, see
    /// [`crate::partition_reader::PageBudget`].
    ///
    /// # Errors
    ///
    /// Fails if the store can't be read, and keeps what has arrived. The learned state counts as
    /// missing in that case, unless it is the only one, and the operators' requests are read again
    /// later.
    pub async fn read(&mut self, deps: &scheduler::Dependencies) -> Result<(), PlatformError> {
        let store = &*deps.store;
        let budget = store.page_budget();
        let changes = &mut self.inbox_changes;
        let inbox = &mut self.inbox;
        let reading_inbox = inbox.read(store, budget, &deps.clock, |rows| changes.push(rows));
        let reading_learned = read_learned_state(deps, self.learned.take());
        let (registry, inbox, progress, learned, requests) = future::join5(
            self.registry.read(store, budget),
            Box::pin(reading_inbox),
            self.progress.read(store, budget),
            reading_learned,
            self.requests.read(),
        )
        .await;
        self.learned = Some(learned);
        self.first_requests = requests.ok().flatten().or(self.first_requests.take());
        let result = registry.and(inbox).and(progress);
        let (inbox_pages, inbox_bytes) = self.inbox.size();
        let pages = inbox_pages + self.registry.pages() + self.progress.pages();
        let bytes = inbox_bytes + self.registry.bytes() + self.progress.bytes();
        let took_ms = clock::as_ms(deps.clock.now().since(self.started_at));
        match &result {
            Ok(()) => spdlog::info!("stored state read", kv: {
                pages, bytes, took_ms, failures = self.failures
            }),
            Err(error) => {
                self.failures += 1;
                let reason = error.to_string();
                spdlog::warn!("failed to read the stored state; continuing", kv: {
                    pages, bytes, took_ms, failures = self.failures, reason = reason.as_str()
                });
            }
        }
        result
    }

    /// Returns what has been read.
    pub fn into_state(self) -> StoredState {
        StoredState {
            registry: self.registry.into_rows(),
            inbox: self.inbox.into_rows(),
            inbox_changes: self.inbox_changes,
            progress: self.progress.into_rows(),
            learned: self.learned.unwrap_or(learned_state::Restored::Missing),
            requests: self.requests,
            first_requests: self.first_requests,
        }
    }
}

/// Reads the learned state, unless `known` has it already.
async fn read_learned_state(
    deps: &scheduler::Dependencies,
    known: Option<learned_state::Restored>,
) -> learned_state::Restored {
    match known {
        Some(known @ learned_state::Restored::State(..)) => return known,
        _ if deps.settings.learned_state == job_settings::LearnedStateStorage::Memory => {
            return learned_state::Restored::Missing
        }
        _ => {}
    }
    match store::read_row(&*deps.store, &rows::learned_key()).await {
        Ok((row, read)) => {
            let value = row.and_then(|row| row.value);
            learned_state::restore(value.as_deref(), read.store_ms)
        }
        Err(error) => learned_state::Restored::Ignored(error.to_string()),
    }
}
