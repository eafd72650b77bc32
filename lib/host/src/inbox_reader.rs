//! Reads the whole inbox in pages, and follows its changes meanwhile.
//!
//! The store keeps the history of changes for a limited time, which a read over a narrow link may
//! exceed. Since the feed is followed beside the pages, its reader can continue from the version
//! that the read ends with.

use std::time::Duration;

use camphorbeam_clock as clock;
use camphorbeam_platform::store::{self, Store};
use camphorbeam_platform::table::PlatformError;
use futures::future::{self, Either};

use crate::partition_reader::{PageBudget, PartitionReader};
use crate::{feed_pacing, rows};

/// Long-poll timeout of the feed that is followed beside the pages.
const POLL_TIMEOUT: Duration = Duration::from_millis(300);

/// Delay before the feed is tried again after a failure.
const FEED_RETRY_DELAY: Duration = Duration::from_millis(120);

/// Reads all partitions of the inbox. After a failure it can be continued from the pages that it
/// has.
#[derive(Debug)]
pub struct InboxReader {
    parts: Vec<PartitionReader>,
    /// Version up to which changes have been followed; `None` before the feed was followed.
    followed_version: Option<u64>,
}

impl InboxReader {
    /// Creates a reader that has read nothing.
    pub fn new() -> Self {
        let new_part = |part| PartitionReader::new(rows::INBOX_TABLE, part);
        Self {
            parts: rows::INBOX_PARTS.into_iter().map(new_part).collect(),
            followed_version: None,
        }
    }

    /// Reads the rest of the inbox, and passes the changes that the feed brings meanwhile to
    /// `on_changes`. The feed isn't followed if one page of each partition is enough.
    ///
    /// # Errors
    ///
    /// Fails if a partition can't be read, and keeps the pages that have arrived.
    pub async fn read<S: Store + ?Sized>(
        &mut self,
        store: &S,
        budget: &PageBudget,
        clock: &clock::Clock,
        on_changes: impl FnMut(store::Rows),
    ) -> Result<(), PlatformError> {
        let unread = self.parts.iter_mut().filter(|part| part.pages() == 0);
        let reads = unread.map(|part| part.read_page(store, budget));
        first_error(future::join_all(reads).await)?;
        if self.is_complete() {
            return Ok(());
        }
        let first_version = self.first_version();
        let reads = self.parts.iter_mut().map(|part| part.read(store, budget));
        let reading = future::join_all(reads);
        let version = self.followed_version.get_or_insert(first_version);
        let following = follow(store, clock, version, on_changes);
        match future::select(Box::pin(reading), Box::pin(following)).await {
            Either::Left((results, _)) => first_error(results),
            Either::Right((never, _)) => match never {},
        }
    }

    /// Whether all rows have been read.
    pub fn is_complete(&self) -> bool {
        self.parts.iter().all(PartitionReader::is_complete)
    }

    /// Pages and bytes so far; see [`PartitionReader`].
    pub fn size(&self) -> (u64, u64) {
        let sizes = self.parts.iter().map(|part| (part.pages(), part.bytes()));
        sizes.fold((0, 0), |sum, size| (sum.0 + size.0, sum.1 + size.1))
    }

    /// The version from which the pages may miss changes.
    fn first_version(&self) -> u64 {
        let versions = self.parts.iter().map(|part| part.rows().version);
        versions.min().unwrap_or(0)
    }

    /// Returns the rows, with the version from which a reader of the feed has to continue so that
    /// it misses nothing.
    pub fn into_rows(self) -> store::Rows {
        let mut inbox = store::Rows {
            version: self
                .followed_version
                .unwrap_or_else(|| self.first_version()),
            ..store::Rows::default()
        };
        for part in self.parts {
            let part = part.into_rows();
            inbox.store_ms = inbox.store_ms.max(part.store_ms);
            inbox.rows.extend(part.rows);
        }
        inbox
    }
}

impl Default for InboxReader {
    fn default() -> Self {
        Self::new()
    }
}

fn first_error(results: Vec<Result<(), PlatformError>>) -> Result<(), PlatformError> {
    results.into_iter().collect()
}

/// Follows the feed of the inbox from `version` on, and keeps `version` up to date.
async fn follow<S: Store + ?Sized>(
    store: &S,
    clock: &clock::Clock,
    version: &mut u64,
    mut on_changes: impl FnMut(store::Rows),
) -> std::convert::Infallible {
    let mut pacing = feed_pacing::FeedPacing::new(clock.clone());
    loop {
        let polling = store.changes(rows::INBOX_TABLE, *version, POLL_TIMEOUT);
        match polling.await {
            Ok(store::Changes::Rows(changes)) if changes.version >= *version => {
                *version = changes.version;
                match changes.rows.is_empty() {
                    true => pacing.record_unproductive().await,
                    false => {
                        pacing.record_productive();
                        on_changes(changes);
                    }
                }
            }
            // The reply is older than what is known.
            Ok(store::Changes::Rows(_)) | Err(_) => clock.sleep(FEED_RETRY_DELAY).await,
            // The version stays, so that whoever continues from it reads the inbox again.
            Ok(store::Changes::HistoryGone) => future::pending().await,
        }
    }
}
