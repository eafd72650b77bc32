//! Group commit: transactions that arrive while one is under way share the next.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use camphorbeam_clock as clock;
use camphorbeam_telemetry::metrics;
use camphorbeam_telemetry::traces::{self, FutureExt as _};

use crate::{commit_retry, table};

/// Transactions that may wait for a group; further callers wait for room.
const QUEUE_MAX: usize = 1024;

/// Most transactions in one group.
const GROUP_ENTRIES_MAX: usize = 64;

/// Most writes in one group.
const GROUP_WRITES_MAX: usize = table::TRANSACTION_WRITES_MAX;

/// A transaction with the means to recognize it in the table.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The transaction. Every written row must have a condition.
    pub transaction: table::Transaction,
    /// A row that it writes and that carries its token.
    pub token_row_key: Arc<str>,
    /// Its unique token.
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
    /// Starts a committer; it ends when its last handle is dropped.
    ///
    /// `settle_limit` bounds the time spent on one group.
    pub fn start(
        table: Arc<dyn table::Table>,
        clock: clock::Clock,
        commit_timeout: Duration,
    ) -> Self {
        let no_metrics = cadence::StatsdClient::from_sink(metrics::PREFIX, cadence::NopMetricSink);
        Self::start_with_metrics(table, clock, commit_timeout, Arc::new(no_metrics))
    }

    /// Like [`Committer::start`], with metrics on the groups.
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

    /// Commits `entry` with others that wait.
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

/// Whether `row` carries `token`, either itself or in one of its steps.
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
        metrics::count_by(&self.metrics, metrics::COMMIT_SETTLED, "outcome", name);
    }

    /// Commits a group; members that break a condition are told so and the rest goes again.
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

/// The span of a group commit: part of the trace of its first traced member, linked to the others.
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

/// Links two spans of different traces to each other.
fn link(span: &traces::Span, other: &traces::Span) {
    if let Some(context) = traces::SpanContext::from_span(other) {
        span.add_link(context);
    }
    if let Some(context) = traces::SpanContext::from_span(span) {
        other.add_link(context);
    }
}

/// Adds waiting transactions to `group`. One that writes a row which the group writes already is
/// returned and opens the next group: within one transaction both would find their condition met.
/// So is one that requires another version of a row than the group: one of them is bound to break,
/// and the conflict names the row but not which of them was right.
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

/// One transaction with all conditions and writes of the group.
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

/// Tells the members that broke a condition and returns the others.
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
        // A caller that has gone away does not need the answer.
        let _ = queued.reply.try_send(outcome.clone());
    }
}
