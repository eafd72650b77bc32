//! Admission of requests to the queues of the client accounts.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use camphorbeam_clock as clock;
use camphorbeam_model::{id, verdict};
use camphorbeam_protocol::messages;

use crate::job;
use crate::zone::{lock, ZoneScheduler};

/// How long a place in the queue is reserved for an admitted request.
const ADMISSION_TTL: Duration = Duration::from_secs(10);

/// Time within which an entry host records an admitted request and hands it over to the scheduler.
/// After that, the scheduler looks the request up itself, as the entry host may have failed.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a caller should wait before it retries a request that a full queue refused.
const QUEUE_FULL_RETRY_MS: u64 = 5_000;

/// Admitted requests that have not been handed over to the scheduler yet. They count towards the
/// queue limit.
#[derive(Debug, Default)]
pub(crate) struct Admissions {
    admitted: Mutex<BTreeMap<id::RequestId, AdmittedRequest>>,
}

#[derive(Debug)]
struct AdmittedRequest {
    account: id::ClientAccountName,
    expires_at: clock::Monotonic,
    hand_over_due_at: clock::Monotonic,
    is_looked_up: bool,
}

impl Admissions {
    /// Removes a request that has been handed over.
    pub(crate) fn remove(&self, request: &id::RequestId) {
        lock(&self.admitted).remove(request);
    }
}

impl ZoneScheduler {
    /// Reserves a place in the queue of a client account, for a request that is about to be
    /// recorded. A request that has been admitted before is not counted again.
    ///
    /// # Errors
    ///
    /// Refuses the request if the queue is full or if the request needs more accelerators than the
    /// backend servers of the zone have in total. The latter is not checked while no backend server
    /// is known.
    pub fn admit(&self, admission: &messages::Admission) -> Result<(), verdict::Refusal> {
        self.check_feasible(admission)?;
        let account = &admission.spec.client_account;
        let waiting_count = self.waiting_count(account);
        let now = self.now();
        let mut admissions = lock(&self.admissions.admitted);
        admissions.retain(|_, admitted| admitted.expires_at > now);
        let is_already_admitted = admissions.contains_key(&admission.id);
        let admitted_count = admissions
            .values()
            .filter(|admitted| admitted.account == *account)
            .count();
        let queue_max = self.deps.settings.queue_max;
        if !is_already_admitted && waiting_count + admitted_count >= queue_max {
            return Err(queue_full_refusal(account, queue_max));
        }
        let admitted = AdmittedRequest {
            account: account.clone(),
            expires_at: now.plus(ADMISSION_TTL),
            hand_over_due_at: now.plus(HAND_OVER_TIMEOUT),
            is_looked_up: false,
        };
        admissions.insert(admission.id.clone(), admitted);
        Ok(())
    }

    /// Returns the admitted requests whose hand-over is overdue and that have not been looked up.
    pub(crate) fn overdue_admissions(&self) -> Vec<id::RequestId> {
        let now = self.now();
        let admissions = lock(&self.admissions.admitted);
        admissions
            .iter()
            .filter(|(_, admitted)| !admitted.is_looked_up && admitted.hand_over_due_at <= now)
            .map(|(request, _)| request.clone())
            .collect()
    }

    /// Marks admitted requests as looked up, so that each is looked up only once.
    pub(crate) fn mark_looked_up(&self, requests: &[id::RequestId]) {
        let mut admissions = lock(&self.admissions.admitted);
        for request in requests {
            if let Some(admitted) = admissions.get_mut(request) {
                admitted.is_looked_up = true;
            }
        }
    }

    fn check_feasible(&self, admission: &messages::Admission) -> Result<(), verdict::Refusal> {
        let servers = self.tables.servers();
        let capacity: u32 = servers
            .values()
            .map(|server| server.info.accelerators)
            .sum();
        let requested = admission.spec.accelerators;
        match servers.is_empty() || requested <= capacity {
            true => Ok(()),
            false => Err(verdict::Refusal::new(
                verdict::RefusalCode::Invalid,
                format!(
                    "availability zone {} has {capacity} accelerators and can never hold a gang \
                     of {requested}",
                    self.deps.settings.zone
                ),
                "ask for fewer accelerators or another availability zone",
            )),
        }
    }

    fn waiting_count(&self, account: &id::ClientAccountName) -> usize {
        let jobs = self.tables.jobs();
        jobs.values()
            .filter(|job| job.phase == job::Phase::Waiting)
            .filter(|job| job.record.spec.client_account == *account)
            .count()
    }
}

/// Returns the refusal for a full queue. Its text calls all counted requests waiting, also those
/// that are admitted but not handed over yet.
fn queue_full_refusal(account: &id::ClientAccountName, queue_max: usize) -> verdict::Refusal {
    verdict::Refusal::new(
        verdict::RefusalCode::Busy,
        format!("client account {account} has {queue_max} requests waiting, which is the limit"),
        "come back after the stated time, under the same key",
    )
    .with_retry_after_ms(QUEUE_FULL_RETRY_MS)
}
