//! Answers calls. Any entry host can answer any call, since all state is in the store and the
//! terms.

use std::sync::Arc;
use std::time::Duration;

use camphorbeam_clock as clock;
use camphorbeam_jobs::progress;
use camphorbeam_model::{id, job, terms};
use camphorbeam_platform::store::{self, Store};
use camphorbeam_platform::table::PlatformError;

use crate::call::{Call, Operation, Reply};
use crate::{metrics, relay, rows, terms_watcher, waiting_count};

/// Deadline of a call that doesn't set one. The call timeout of the queue isn't used.
const DEFAULT_DEADLINE_MS: u64 = 3_000;

/// Part of the deadline reserved for sending the reply to the caller.
const REPLY_MARGIN_MS: u64 = 250;

/// Time from the start of a submission for which it is retried while it is certain that no attempt
/// was applied. After that, the caller is told when to retry, rather than kept waiting.
const UNAPPLIED_LIMIT: Duration = Duration::from_millis(1_200);

/// Time from the start of a submission for which it is retried while an attempt may have been
/// applied. After that, the caller can repeat the call at another host, which finds what was
/// stored.
const SUBMIT_OUTCOME_LIMIT: Duration = Duration::from_millis(2_000);

/// Delay before retrying a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Least number of seconds after which a caller may retry when the store can't be reached.
const STORE_RETRY_AFTER_MIN_S: u64 = 2;

/// Number of different delays, a second apart, over which callers are spread by the id of their
/// job, so that they don't all return at once.
const STORE_RETRY_DELAYS: u64 = 3;

/// Time after which callers may come back to a queue that can't be read. It takes an operator to
/// put it right.
const UNREADABLE_QUEUE_RETRY_AFTER_S: u64 = 10;

/// Reason given to callers when the row of their job can't be parsed.
const UNREADABLE_JOB: &str = "the stored job can't be read";

/// Client account of calls to public queues without a known API key.
pub const PUBLIC_ACCOUNT: &str = "public";

/// Answers calls from the terms and the store.
pub struct Gateway {
    /// Terms that define queues and API keys.
    pub current_terms: Arc<terms_watcher::CurrentTerms>,
    /// Holds jobs and their progress.
    pub store: Arc<relay::RelayedStore>,
    /// Measures deadlines.
    pub clock: clock::Clock,
    /// Records calls and their latency.
    pub metrics: Arc<metrics::Metrics>,
    /// Zone of this host, to be stored with accepted jobs; `None` without fair shares.
    pub caller_zone: Option<id::ZoneName>,
    /// Counts the waiting jobs while no scheduler does.
    pub waiting_counter: waiting_count::WaitingCounter,
}

/// Time limit for handling one call.
struct TimeBudget {
    started_at: clock::Monotonic,
    limit: Duration,
}

/// A call whose queue, client account and job id are checked.
struct AuthorizedCall<'a> {
    queue: &'a terms::Queue,
    account: id::ClientAccountName,
    job: Option<id::JobId>,
}

fn store_unavailable(job: Option<&id::JobId>, error: &PlatformError) -> Reply {
    let id_sum: u64 = job.map_or(0, |id| id.as_str().bytes().map(u64::from).sum());
    Reply::Unavailable {
        reason: format!("the store can't be reached: {error}"),
        retry_after_s: STORE_RETRY_AFTER_MIN_S + id_sum % STORE_RETRY_DELAYS,
    }
}

impl Gateway {
    /// Handles `call` within its deadline, of which a margin is reserved for sending the reply.
    ///
    /// A call is not recorded if it is refused for lack of terms, or because its queue, API key or
    /// job id is not valid.
    pub async fn answer(&self, call: Call) -> Reply {
        let terms = self.current_terms.terms();
        let budget = self.time_budget(&call);
        if terms.version == id::TermsVersion(0) {
            return Reply::Unavailable {
                reason: "no terms are in force at this host yet".to_owned(),
                retry_after_s: 1,
            };
        }
        let authorized = match authorize(&terms, &call) {
            Ok(authorized) => authorized,
            Err(reply) => return reply,
        };
        let reply = match (&call.operation, &authorized.job) {
            (Operation::Submit { body_bytes, .. }, _) if *body_bytes > terms.body_max_bytes => {
                Reply::TooLarge
            }
            (Operation::Submit { spec, .. }, Some(job)) => match spec {
                Ok(spec) => self.submit(&authorized, job, spec, &budget).await,
                Err(reason) => Reply::Invalid(reason.clone()),
            },
            (Operation::Read, Some(job)) => self.job_state(&authorized, job, &budget).await,
            (Operation::Read, None) => self.waiting_jobs(&authorized, &budget).await,
            (Operation::Cancel, Some(job)) => self.cancel(&authorized, job, &budget).await,
            (Operation::Submit { .. } | Operation::Cancel, None) => {
                Reply::Invalid("the path names no job".to_owned())
            }
            (Operation::Unsupported(_), _) => Reply::Unsupported,
        };
        self.record_call(&call, &authorized, &reply, &budget, terms.version);
        reply
    }

    fn time_budget(&self, call: &Call) -> TimeBudget {
        let limit_ms = call.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
        TimeBudget {
            started_at: self.clock.now(),
            limit: Duration::from_millis(limit_ms.saturating_sub(REPLY_MARGIN_MS)),
        }
    }

    fn elapsed(&self, budget: &TimeBudget) -> Duration {
        self.clock.now().since(budget.started_at)
    }

    fn record_call(
        &self,
        call: &Call,
        authorized: &AuthorizedCall<'_>,
        reply: &Reply,
        budget: &TimeBudget,
        version: id::TermsVersion,
    ) {
        let what = match call.operation {
            Operation::Submit { .. } => "submit",
            Operation::Cancel => "cancel",
            Operation::Read => "read",
            Operation::Unsupported(_) => "unsupported",
        };
        let duration = self.elapsed(budget);
        self.metrics.record_call(what, reply.name(), duration);
        // Successful reads are not logged, since they change nothing.
        if what == "read"
            && matches!(
                reply,
                Reply::State(_) | Reply::Failed(_) | Reply::Waiting(_)
            )
        {
            return;
        }
        let job = authorized.job.as_ref().map_or("", id::JobId::as_str);
        let took_ms = clock::as_ms(duration);
        spdlog::info!("call", kv: {
            what, job, queue = authorized.queue.name.as_str(),
            account = authorized.account.as_str(), outcome = reply.name(), took_ms,
            terms = version.0
        });
    }

    /// Stores a job. Accepts it only if it is certainly stored, and refuses it only if it certainly
    /// is not and won't be. Otherwise the reply is [`Reply::OutcomeUnknown`].
    async fn submit(
        &self,
        authorized: &AuthorizedCall<'_>,
        id: &id::JobId,
        spec: &job::JobSpec,
        budget: &TimeBudget,
    ) -> Reply {
        let accepted = job::AcceptedJob {
            account: authorized.account.clone(),
            queue: authorized.queue.name.clone(),
            terms: authorized.queue.job_settings.clone(),
            accepted_unix_ms: self.clock.unix_ms(),
            accepted_store_ms: self.store.store_ms(),
            caller_zone: self.caller_zone.clone(),
            spec: spec.clone(),
        };
        let text = match serde_json::to_string(&accepted) {
            Ok(text) => text,
            Err(error) => return Reply::Invalid(format!("the job can't be stored: {error}")),
        };
        let transaction = store::Transaction {
            conditions: vec![store::Condition {
                key: rows::job_key(id),
                version: 0,
            }],
            writes: vec![(rows::job_key(id), text)],
            removals: Vec::new(),
        };
        if !self.store.is_reachable() {
            let error = PlatformError::NotApplied {
                reason: "not reached for some time".to_owned(),
            };
            return store_unavailable(Some(id), &error);
        }
        let mut may_be_stored = false;
        let limit = SUBMIT_OUTCOME_LIMIT.min(budget.limit);
        loop {
            let error = match self.commit_within(&transaction, limit, budget).await {
                Ok(store::Commit::Applied { .. }) => {
                    return Reply::State(progress::JobState::Queued)
                }
                Ok(store::Commit::Conflict { rows }) => return conflict_reply(authorized, &rows),
                Err(error) => error,
            };
            may_be_stored |= !matches!(error, PlatformError::NotApplied { .. });
            let elapsed = self.elapsed(budget);
            match may_be_stored {
                true if elapsed >= limit => return Reply::OutcomeUnknown(error.to_string()),
                false if elapsed >= UNAPPLIED_LIMIT.min(limit) => {
                    return store_unavailable(Some(id), &error)
                }
                _ => self.clock.sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Commits `transaction`, at most until `limit` after the start of the call.
    async fn commit_within(
        &self,
        transaction: &store::Transaction,
        limit: Duration,
        budget: &TimeBudget,
    ) -> Result<store::Commit, PlatformError> {
        let remaining = limit.saturating_sub(self.elapsed(budget));
        match self
            .clock
            .timeout(remaining, self.store.commit(transaction))
            .await
        {
            Ok(result) => result,
            Err(elapsed) => Err(PlatformError::Unknown {
                reason: elapsed.to_string(),
            }),
        }
    }

    async fn job_state(
        &self,
        authorized: &AuthorizedCall<'_>,
        id: &id::JobId,
        budget: &TimeBudget,
    ) -> Reply {
        match self.read_row(&rows::progress_key(id), budget).await {
            Ok(Some(row)) => match parse_row::<progress::Progress>(&row) {
                Some(progress::Progress {
                    account: Some(owner),
                    state,
                    failure,
                    ..
                }) => match failure {
                    _ if owner != authorized.account => Reply::NoSuchJob,
                    Some(reason) if state == progress::JobState::Failed => Reply::Failed(reason),
                    _ => Reply::State(state),
                },
                // Rows of earlier versions name no account.
                Some(progress) => {
                    self.state_for_owner(authorized, id, progress.state, budget)
                        .await
                }
                None => Reply::OutcomeUnknown("the job's progress can't be read".to_owned()),
            },
            Ok(None) => {
                self.state_for_owner(authorized, id, progress::JobState::Queued, budget)
                    .await
            }
            Err(error) => store_unavailable(Some(id), &error),
        }
    }

    /// Replies with `state` if the stored job belongs to the caller's account.
    async fn state_for_owner(
        &self,
        authorized: &AuthorizedCall<'_>,
        id: &id::JobId,
        state: progress::JobState,
        budget: &TimeBudget,
    ) -> Reply {
        let row = match self.read_row(&rows::job_key(id), budget).await {
            Ok(row) => row,
            Err(error) => return store_unavailable(Some(id), &error),
        };
        match row.as_ref().map(parse_row::<job::AcceptedJob>) {
            Some(Some(job)) if job.account == authorized.account => Reply::State(state),
            Some(Some(_)) | None => Reply::NoSuchJob,
            Some(None) => Reply::OutcomeUnknown(UNREADABLE_JOB.to_owned()),
        }
    }

    /// Stores the cancellation of a job, also if the job is not stored: a submission that got no
    /// reply may still be applied later. Nothing is stored if the job's row can't be parsed, since
    /// its owner is unknown.
    ///
    /// Once the cancellation is stored, the reply is `Cancelled`, even if the job has already
    /// ended, or [`Reply::NoSuchJob`] if the job is not stored.
    async fn cancel(
        &self,
        authorized: &AuthorizedCall<'_>,
        id: &id::JobId,
        budget: &TimeBudget,
    ) -> Reply {
        let row = match self.read_row(&rows::job_key(id), budget).await {
            Ok(row) => row,
            Err(error) => return store_unavailable(Some(id), &error),
        };
        let is_stored = match row.as_ref().map(parse_row::<job::AcceptedJob>) {
            Some(Some(job)) if job.account != authorized.account => return Reply::NoSuchJob,
            Some(Some(_)) => true,
            Some(None) => return Reply::OutcomeUnknown(UNREADABLE_JOB.to_owned()),
            None => false,
        };
        let transaction = store::Transaction {
            conditions: Vec::new(),
            writes: vec![(rows::cancel_key(id), self.clock.unix_ms().to_string())],
            removals: Vec::new(),
        };
        loop {
            match self.commit_within(&transaction, budget.limit, budget).await {
                Ok(_) if is_stored => return Reply::State(progress::JobState::Cancelled),
                Ok(_) => return Reply::NoSuchJob,
                Err(error) if self.elapsed(budget) >= budget.limit => {
                    return Reply::OutcomeUnknown(error.to_string())
                }
                Err(_) => self.clock.sleep(RETRY_DELAY).await,
            }
        }
    }

    async fn waiting_jobs(&self, authorized: &AuthorizedCall<'_>, budget: &TimeBudget) -> Reply {
        let read = match self
            .read_row_and_store_time(&rows::lease_key(), budget)
            .await
        {
            Ok(read) => read,
            Err(error) => return store_unavailable(None, &error),
        };
        let lease_row = read.0.and_then(|row| parse_row::<rows::LeaseRow>(&row));
        let max_age_ms = clock::as_ms(waiting_count::WAITING_MAX_AGE);
        match lease_row.and_then(|row| row.waiting) {
            Some(waiting) if read.1 < waiting.store_ms.saturating_add(max_age_ms) => {
                let of_queue = waiting.by_queue.get(&authorized.queue.name);
                Reply::Waiting(of_queue.copied().unwrap_or(0))
            }
            // No scheduler has published a recent number.
            Some(_) | None => self.count_waiting_in_store(authorized, budget).await,
        }
    }

    async fn count_waiting_in_store(
        &self,
        authorized: &AuthorizedCall<'_>,
        budget: &TimeBudget,
    ) -> Reply {
        let remaining = budget.limit.saturating_sub(self.elapsed(budget));
        let (store, queue) = (&*self.store, &authorized.queue.name);
        let counting = self
            .waiting_counter
            .count(store, store.page_budget(), queue);
        let counted = match self.clock.timeout(remaining, counting).await {
            Ok(counted) => counted,
            Err(elapsed) => Err(PlatformError::NotApplied {
                reason: format!("the waiting jobs can't be counted: {elapsed}"),
            }),
        };
        match counted {
            Ok(waiting) => Reply::Waiting(waiting),
            Err(error) => store_unavailable(None, &error),
        }
    }

    async fn read_row(
        &self,
        key: &store::RowKey,
        budget: &TimeBudget,
    ) -> Result<Option<store::Row>, PlatformError> {
        self.read_row_and_store_time(key, budget)
            .await
            .map(|(row, _)| row)
    }

    async fn read_row_and_store_time(
        &self,
        key: &store::RowKey,
        budget: &TimeBudget,
    ) -> Result<(Option<store::Row>, u64), PlatformError> {
        loop {
            let remaining = budget.limit.saturating_sub(self.elapsed(budget));
            let reading = store::read_row(&*self.store, key);
            let read = match self.clock.timeout(remaining, reading).await {
                Ok(read) => read,
                Err(elapsed) => Err(PlatformError::Unknown {
                    reason: elapsed.to_string(),
                }),
            };
            match read {
                Ok((row, rows)) => return Ok((row, rows.store_ms)),
                Err(error) if self.elapsed(budget) >= budget.limit => return Err(error),
                Err(_) => self.clock.sleep(RETRY_DELAY).await,
            }
        }
    }
}

/// The reply to a submission whose job id exists. A job of the same account counts as an earlier
/// attempt of the submission: the specs are not compared, and the reply is `Queued` whatever the
/// state of the job is.
fn conflict_reply(authorized: &AuthorizedCall<'_>, rows: &[store::Row]) -> Reply {
    match rows.first().and_then(parse_row::<job::AcceptedJob>) {
        Some(job) if job.account == authorized.account => Reply::State(progress::JobState::Queued),
        Some(_) => Reply::IdConflict,
        None => Reply::OutcomeUnknown(UNREADABLE_JOB.to_owned()),
    }
}

fn parse_row<T: serde::de::DeserializeOwned>(row: &store::Row) -> Option<T> {
    let text = row.value.as_deref()?;
    match serde_json::from_str(text) {
        Ok(parsed) => Some(parsed),
        Err(error) => {
            let reason = error.to_string();
            spdlog::error!("failed to parse a row", kv: {
                key = row.key.key.as_str(), reason = reason.as_str()
            });
            None
        }
    }
}

fn authorize<'a>(terms: &'a terms::Terms, call: &Call) -> Result<AuthorizedCall<'a>, Reply> {
    let queue = match terms.find_route(&call.host, &call.path) {
        terms::Route::Queue(queue) => queue,
        // That there is no such queue would not be true.
        terms::Route::Unreadable => {
            return Err(Reply::Unavailable {
                reason: "the terms of this queue can't be read".to_owned(),
                retry_after_s: UNREADABLE_QUEUE_RETRY_AFTER_S,
            })
        }
        terms::Route::Unknown => return Err(Reply::NoSuchQueue),
    };
    let known_account = call.key.as_ref().and_then(|key| terms.api_keys.get(key));
    let account = match known_account {
        Some(account) => account.clone(),
        None if queue.is_public => {
            let public = id::ClientAccountName::new(PUBLIC_ACCOUNT);
            public.map_err(|_| Reply::Unauthenticated)?
        }
        None => return Err(Reply::Unauthenticated),
    };
    let job_id = &call.path[queue.path_prefix.len()..];
    let job = match job_id {
        "" => None,
        job_id => Some(id::JobId::new(job_id).map_err(|error| Reply::Invalid(error.to_string()))?),
    };
    Ok(AuthorizedCall {
        queue,
        account,
        job,
    })
}
