//! Group commit: transactions that arrive while a commit is in progress are committed together
//! afterwards.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use camphorbeam_clock as clock;
use camphorbeam_telemetry::metrics;
use camphorbeam_telemetry::traces::{self, FutureExt as _};

use crate::{commit_retry, table};

/// Maximum number of transactions in the queue. When it is full, further callers wait for space.
const QUEUE_MAX: usize = 1024;

/// Maximum number of transactions in one group.
const GROUP_ENTRIES_MAX: usize = 64;

/// Maximum number of writes in one transaction. A group stops growing once it has half of them,
/// which leaves room for the last entry, provided that this entry has no more than the other half.
const GROUP_WRITES_MAX: usize = table::TRANSACTION_WRITES_MAX;

/// A transaction with the token that identifies its writes in the table.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The transaction. It must have a condition on each row that it writes.
    pub transaction: table::Transaction,
    /// Key of a row that the transaction writes and that carries its token.
    pub token_row_key: Arc<str>,
    /// The unique token of the transaction.
    pub token: Arc<str>,
}

struct QueuedEntry {
    entry: Entry,
    span: traces::Span,
    reply: async_channel::Sender<commit_retry::Outcome>,
}

/// Commits transactions in groups.
#[derive(Clone, Debug)]
pub struct Committer {
    queue: async_channel::Sender<QueuedEntry>,
}

impl std::fmt::Debug for QueuedEntry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.entry.fmt(f)
    }
}

impl Committer {
    /// Starts a committer, which stops when its last clone is dropped.
    ///
    /// `commit_timeout` limits how long one transaction is retried. What remains of a group after a
    /// conflict is a new transaction with a new limit, so an entry can wait for several.
    pub fn start(
        table: Arc<dyn table::Table>,
        clock: clock::Clock,
        commit_timeout: Duration,
    ) -> Self {
        let no_metrics = cadence::StatsdClient::from_sink(metrics::PREFIX, cadence::NopMetricSink);
        Self::start_with_metrics(table, clock, commit_timeout, Arc::new(no_metrics))
    }

    /// Like [`Committer::start`], and records metrics of the groups.
    pub fn start_with_metrics(
        table: Arc<dyn table::Table>,
        clock: clock::Clock,
        commit_timeout: Duration,
        metrics: Arc<cadence::StatsdClient>,
    ) -> Self {
        let (queue, queue_receiver) = async_channel::bounded(QUEUE_MAX);
        let worker = Worker {
            table,
            clock,
            commit_timeout,
            metrics,
        };
        task::spawn(async move { worker.run(queue_receiver).await });
        Self { queue }
    }

    /// Commits `entry` in a group with other queued entries.
    pub async fn commit(&self, entry: Entry) -> commit_retry::Outcome {
        let (reply, outcome) = async_channel::bounded(1);
        let span = traces::child_span("record.commit");
        let sent = self.queue.send(QueuedEntry { entry, span, reply }).await;
        match (sent, outcome.recv().await) {
            (Ok(()), Ok(outcome)) => outcome,
            _ => commit_retry::Outcome::Unresolved {
                may_be_applied: true,
                reason: "the committer has ended".to_owned(),
            },
        }
    }
}

/// Returns whether `row` carries `token`, at its top level or in one of its steps.
pub fn carries_token(row: &table::Row, token: &str) -> bool {
    let is_token = |value: &serde_json::Value| value["token"].as_str() == Some(token);
    let steps = row.value["steps"].as_array();
    is_token(&row.value) || steps.is_some_and(|steps| steps.iter().any(is_token))
}

struct Worker {
    table: Arc<dyn table::Table>,
    clock: clock::Clock,
    commit_timeout: Duration,
    metrics: Arc<cadence::StatsdClient>,
}

impl Worker {
    async fn run(&self, queue_receiver: async_channel::Receiver<QueuedEntry>) {
        let mut deferred = None;
        loop {
            let first = match deferred.take() {
                Some(queued) => queued,
                None => match queue_receiver.recv().await {
                    Ok(queued) => queued,
                    Err(_) => return,
                },
            };
            let mut group = vec![first];
            deferred = fill_group(&mut group, &queue_receiver);
            self.commit_group(group).await;
        }
    }

    fn record_metrics(&self, group: &[QueuedEntry], outcome: &commit_retry::Outcome) {
        let name = outcome.name();
        metrics::histogram(
            &self.metrics,
            metrics::COMMIT_GROUP_SIZE,
            group.len() as u64,
        );
        metrics::count_by(&self.metrics, metrics::COMMIT_OUTCOME, "outcome", name);
    }

    /// Commits a group. Entries with a condition on a row that caused a conflict get the conflict
    /// as their outcome; the remaining entries are committed again.
    async fn commit_group(&self, mut group: Vec<QueuedEntry>) {
        while !group.is_empty() {
            let transaction = merge(&group);
            let token_row_key = Arc::clone(&group[0].entry.token_row_key);
            let token = Arc::clone(&group[0].entry.token);
            let is_ours = |row: &table::Row| carries_token(row, &token);
            let commit = commit_retry::commit(
                &*self.table,
                &self.clock,
                self.commit_timeout,
                &transaction,
                &token_row_key,
                &is_ours,
            );
            let outcome = commit.in_span(group_span(&group)).await;
            self.record_metrics(&group, &outcome);
            group = match outcome {
                commit_retry::Outcome::Conflict { keys } => reject_conflicting(group, &keys),
                other => {
                    reply_all(group, &other);
                    Vec::new()
                }
            };
        }
    }
}

/// Starts the span of a group commit. It belongs to the trace of the first traced entry and is
/// linked to the spans of the other traced entries.
fn group_span(group: &[QueuedEntry]) -> traces::Span {
    let size = group.len();
    let is_traced = |queued: &&QueuedEntry| traces::SpanContext::from_span(&queued.span).is_some();
    let mut traced = group.iter().filter(is_traced);
    let Some(first) = traced.next() else {
        return traces::Span::noop();
    };
    let span = traces::Span::enter_with_parent("record.commit_group", &first.span)
        .with_property(|| ("group_size", size.to_string()));
    for other in traced {
        link(&span, &other.span);
    }
    span
}

/// Links two spans in both directions.
fn link(span: &traces::Span, other: &traces::Span) {
    if let Some(context) = traces::SpanContext::from_span(other) {
        span.add_link(context);
    }
    if let Some(context) = traces::SpanContext::from_span(span) {
        other.add_link(context);
    }
}

/// Adds queued entries to `group`. Stops at an entry that can't join the group, and returns it as
/// the first entry of the next group.
///
/// An entry can't join if it writes a row that the group already writes, because both conditions
/// on the row would hold within one transaction. Nor can it join if it requires a version of a row
/// other than the group requires: one of the conditions is certain to fail, and the conflict names
/// the row but not the failed condition.
fn fill_group(
    group: &mut Vec<QueuedEntry>,
    queue_receiver: &async_channel::Receiver<QueuedEntry>,
) -> Option<QueuedEntry> {
    let mut written: BTreeSet<Arc<str>> = written_keys(&group[0]).collect();
    let mut required: BTreeMap<Arc<str>, u64> = required_versions(&group[0]).collect();
    while group.len() < GROUP_ENTRIES_MAX && written.len() < GROUP_WRITES_MAX / 2 {
        let queued = queue_receiver.try_recv().ok()?;
        let writes_again = written_keys(&queued).any(|key| written.contains(&key));
        let requires_other_version = required_versions(&queued)
            .any(|(key, version)| required.get(&key).is_some_and(|other| *other != version));
        if writes_again || requires_other_version {
            return Some(queued);
        }
        written.extend(written_keys(&queued));
        required.extend(required_versions(&queued));
        group.push(queued);
    }
    None
}

fn required_versions(queued: &QueuedEntry) -> impl Iterator<Item = (Arc<str>, u64)> + '_ {
    let conditions = &queued.entry.transaction.conditions;
    conditions
        .iter()
        .map(|condition| (Arc::clone(&condition.key), condition.version))
}

fn written_keys(queued: &QueuedEntry) -> impl Iterator<Item = Arc<str>> + '_ {
    let writes = &queued.entry.transaction.writes;
    writes.iter().map(|write| Arc::clone(&write.key))
}

/// Returns one transaction with all conditions and writes of the group.
fn merge(group: &[QueuedEntry]) -> table::Transaction {
    let mut merged = table::Transaction::default();
    let mut required = BTreeSet::new();
    for queued in group {
        for condition in &queued.entry.transaction.conditions {
            if required.insert((Arc::clone(&condition.key), condition.version)) {
                merged.conditions.push(condition.clone());
            }
        }
        merged
            .writes
            .extend(queued.entry.transaction.writes.iter().cloned());
    }
    merged
}

/// Replies with a conflict to the entries that have a condition on one of `keys`, and returns the
/// other entries. The reply lists all of `keys`, also those that only other entries have conditions
/// on.
fn reject_conflicting(group: Vec<QueuedEntry>, keys: &[Arc<str>]) -> Vec<QueuedEntry> {
    let is_conflicting = |queued: &QueuedEntry| {
        let conditions = &queued.entry.transaction.conditions;
        conditions
            .iter()
            .any(|condition| keys.contains(&condition.key))
    };
    let (conflicting, remaining): (Vec<_>, Vec<_>) = group.into_iter().partition(is_conflicting);
    let conflict = commit_retry::Outcome::Conflict {
        keys: keys.to_vec(),
    };
    reply_all(conflicting, &conflict);
    remaining
}

fn reply_all(group: Vec<QueuedEntry>, outcome: &commit_retry::Outcome) {
    for queued in group {
        // The send fails only if the caller has stopped waiting.
        let _ = queued.reply.try_send(outcome.clone());
    }
}
