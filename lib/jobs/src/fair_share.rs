//! Fair shares: under shortage, jobs of the same priority are ordered by how much less than an
//! equal share their client account and the zone of their caller were served. See
//! docs/design/fair-shares.md for the rules and their reasons.

use std::collections::BTreeMap;

use camphorbeam_model::id;

use crate::engine::{Engine, Now};
use crate::event::Event;
use crate::{preemption, settings};

/// Time in which a deficit decays to half. Old service then no longer decides about new work.
const HALF_LIFE_S: f64 = 20.0;

/// Half-life of the average share that deficits are compared with. Without an average, the deficits
/// of a small service count as nothing at the moment when all of its runs have ended.
const SHARE_HALF_LIFE_S: f64 = 5.0;

/// Largest time by which a deficit moves a job ahead of older ones. Longer moves would make whole
/// queues of the account in surplus late.
pub const CREDIT_MAX_MS: u64 = 5_000;

/// Largest move as a fraction of the job's objective. Urgent jobs have about 1 s to spare.
const OBJECTIVE_RATIO_MAX: f64 = 0.25;

/// Interval between two updates of the balances. The runs that they count last for seconds.
const UPDATE_INTERVAL_MS: u64 = 200;

/// Longest time that one update accounts for. What was served in a longer pause is not known.
const ELAPSED_MAX_MS: u64 = 1_000;

/// Time for which the runs that are found after a takeover count as having been served: about half
/// the run time of the users' jobs.
const RESTORED_SERVICE_MS: u64 = 4_000;

/// Least time between two events about a changed order.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Balances below this many core-seconds are dropped.
const BALANCE_MIN_CORE_S: f64 = 0.01;

/// Cores that one party uses beyond guarantees, and those that its ready work would use in
/// addition.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Cores in use; accelerators count as cores as in [`preemption::core_seconds`].
    pub served_cores: f64,
    /// Cores that ready work waits for.
    pub waiting_cores: f64,
}

impl Usage {
    fn add(&mut self, other: Self) {
        self.served_cores += other.served_cores;
        self.waiting_cores += other.waiting_cores;
    }
}

/// What the parties of one kind were owed minus what they were served, in core-seconds.
#[derive(Clone, Debug)]
pub struct Balances<K> {
    deficits_core_s: BTreeMap<K, f64>,
    /// An equal share of the cores in use, averaged with a half-life of `SHARE_HALF_LIFE_S`; zero
    /// until work was served.
    equal_share_cores: f64,
}

impl<K> Default for Balances<K> {
    fn default() -> Self {
        Self {
            deficits_core_s: BTreeMap::new(),
            equal_share_cores: 0.0,
        }
    }
}

impl<K: Clone + Ord> Balances<K> {
    /// Accounts for `elapsed_ms` in which the parties had these usages. What is served to all is
    /// owed in equal shares, but to no party more than it uses and waits for.
    pub fn update(&mut self, usages: &BTreeMap<K, Usage>, elapsed_ms: u64) {
        let elapsed_s = elapsed_ms as f64 / 1_000.0;
        let decay = 0.5_f64.powf(elapsed_s / HALF_LIFE_S);
        for deficit in self.deficits_core_s.values_mut() {
            *deficit *= decay;
        }
        let mut left_cores: f64 = usages.values().map(|usage| usage.served_cores).sum();
        let share_cores = left_cores / usages.len().max(1) as f64;
        let weight = match self.equal_share_cores > 0.0 {
            true => 1.0 - 0.5_f64.powf(elapsed_s / SHARE_HALF_LIFE_S),
            false => 1.0,
        };
        self.equal_share_cores += weight * (share_cores - self.equal_share_cores);
        let wanted = |usage: &Usage| usage.served_cores + usage.waiting_cores;
        let mut by_wanted: Vec<_> = usages.iter().collect();
        by_wanted.sort_by(|a, b| wanted(a.1).total_cmp(&wanted(b.1)));
        let parties = by_wanted.len();
        for (number, (party, usage)) in by_wanted.into_iter().enumerate() {
            let owed_cores = wanted(usage).min(left_cores / (parties - number) as f64);
            left_cores -= owed_cores;
            let deficit = self.deficits_core_s.entry(party.clone()).or_default();
            *deficit += (owed_cores - usage.served_cores) * elapsed_s;
        }
        self.deficits_core_s
            .retain(|_, deficit| deficit.abs() >= BALANCE_MIN_CORE_S);
    }

    /// The deficit of a party in core-seconds; negative if it was served more than it was owed.
    pub fn deficit_core_s(&self, party: &K) -> f64 {
        self.deficits_core_s.get(party).copied().unwrap_or(0.0)
    }

    /// The time in which an equal share makes up for the deficit, in milliseconds.
    fn deficit_ms(&self, party: &K) -> f64 {
        match self.equal_share_cores > 0.0 {
            true => 1_000.0 * self.deficit_core_s(party) / self.equal_share_cores,
            false => 0.0,
        }
    }
}

/// The balances of one service.
#[derive(Clone, Debug, Default)]
struct Ledger {
    accounts: Balances<id::ClientAccountName>,
    zones: Balances<id::ZoneName>,
    /// Whether ready work was left over by the last decision.
    has_shortage: bool,
}

/// Usages of the parties of one service.
#[derive(Clone, Debug, Default)]
struct ServiceUsage {
    accounts: BTreeMap<id::ClientAccountName, Usage>,
    zones: BTreeMap<id::ZoneName, Usage>,
}

/// A job in the order in which jobs are placed, as far as shares concern it.
pub(crate) struct OrderedJob<'a> {
    pub(crate) id: &'a id::JobId,
    pub(crate) service: &'a id::ServiceName,
    /// Part of the order that takes precedence over shares.
    pub(crate) class: (bool, u32, bool),
    pub(crate) accepted_ms: u64,
}

/// The balances of all services. Has no effect in the mode [`settings::FairShares::Off`].
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    mode: settings::FairShares,
    ledgers: BTreeMap<id::ServiceName, Ledger>,
    updated_ms: Option<u64>,
    reported_ms: Option<u64>,
    /// Decisions with a changed order since the last event.
    changed_decisions: u64,
}

impl FairShare {
    /// Creates the state of a scheduler that has seen no work.
    pub fn new(mode: settings::FairShares) -> Self {
        Self {
            mode,
            ..Self::default()
        }
    }

    /// Whether shares change the order of jobs.
    pub fn is_on(&self) -> bool {
        self.mode == settings::FairShares::On
    }

    /// The time by which a job comes ahead of one of the same age with the least credit, at most
    /// [`CREDIT_MAX_MS`]. The same for all jobs of a service without shortage.
    pub fn credit_ms(
        &self,
        service: &id::ServiceName,
        account: &id::ClientAccountName,
        zone: Option<&id::ZoneName>,
        objective_ms: u64,
        is_within_guarantee: bool,
    ) -> u64 {
        let Some(ledger) = self.ledgers.get(service).filter(|it| it.has_shortage) else {
            return 0;
        };
        if is_within_guarantee {
            return CREDIT_MAX_MS;
        }
        let of_zone = zone.map_or(0.0, |zone| ledger.zones.deficit_ms(zone));
        let deficit_ms = ledger.accounts.deficit_ms(account) + of_zone;
        let middle_ms = CREDIT_MAX_MS as f64 / 2.0;
        let limit_ms = middle_ms.min(objective_ms as f64 * OBJECTIVE_RATIO_MAX / 2.0);
        (middle_ms + deficit_ms.clamp(-limit_ms, limit_ms)) as u64
    }

    /// Records for each service whether ready work was left over.
    pub(crate) fn set_shortage(&mut self, has_shortage: impl Fn(&id::ServiceName) -> bool) {
        for (service, ledger) in &mut self.ledgers {
            ledger.has_shortage = has_shortage(service);
        }
    }

    fn is_due(&self, now_ms: u64) -> bool {
        let due_ms = self.updated_ms.map(|at_ms| at_ms + UPDATE_INTERVAL_MS);
        self.is_on() && due_ms.is_none_or(|due_ms| now_ms >= due_ms)
    }

    fn update(&mut self, services: &BTreeMap<id::ServiceName, ServiceUsage>, now_ms: u64) {
        let elapsed_ms = self.updated_ms.map_or(RESTORED_SERVICE_MS, |at_ms| {
            now_ms.saturating_sub(at_ms).min(ELAPSED_MAX_MS)
        });
        self.updated_ms = Some(now_ms);
        for service in services.keys() {
            self.ledgers.entry(service.clone()).or_default();
        }
        let nothing = ServiceUsage::default();
        for (service, ledger) in &mut self.ledgers {
            let usage = services.get(service).unwrap_or(&nothing);
            ledger.accounts.update(&usage.accounts, elapsed_ms);
            ledger.zones.update(&usage.zones, elapsed_ms);
        }
    }

    /// Returns an event if a job comes after a younger one of its class, at most one each
    /// `REPORT_INTERVAL_MS`.
    pub(crate) fn report<'a>(
        &mut self,
        ordered: impl Iterator<Item = OrderedJob<'a>>,
        now_ms: u64,
    ) -> Option<Event> {
        let mut youngest: BTreeMap<_, OrderedJob> = BTreeMap::new();
        let mut moved: Option<(id::JobId, id::JobId, u64)> = None;
        for job in ordered {
            match youngest.get(&(job.service, job.class)) {
                Some(ahead) if ahead.accepted_ms > job.accepted_ms => {
                    let younger_ms = ahead.accepted_ms - job.accepted_ms;
                    moved = Some((ahead.id.clone(), job.id.clone(), younger_ms));
                    break;
                }
                _ => youngest.insert((job.service, job.class), job),
            };
        }
        let (ahead, passed, younger_ms) = moved?;
        self.changed_decisions += 1;
        let due_ms = self.reported_ms.map(|at_ms| at_ms + REPORT_INTERVAL_MS);
        if due_ms.is_some_and(|due_ms| now_ms < due_ms) {
            return None;
        }
        self.reported_ms = Some(now_ms);
        Some(Event::ShareOrder {
            ahead,
            passed,
            younger_ms,
            decisions: std::mem::take(&mut self.changed_decisions),
        })
    }
}

impl Engine {
    /// Accounts for the work that runs and waits since the last update. Urgent work counts only
    /// beyond the guarantee of its account.
    pub(crate) fn update_fair_share(&mut self, now: Now) {
        if !self.fair_share.is_due(now.ms) {
            return;
        }
        let mut services: BTreeMap<id::ServiceName, ServiceUsage> = BTreeMap::new();
        let mut guarantees_used: BTreeMap<id::ClientAccountName, u64> = BTreeMap::new();
        for job in self.jobs.values_mut() {
            let accepted = &job.accepted;
            let (account, zone) = (accepted.account.clone(), accepted.caller_zone.clone());
            let (service, priority) = (accepted.terms.service.clone(), accepted.terms.priority);
            let mut usage = Usage::default();
            let guaranteed = self.terms.guaranteed(&account);
            for live in job.runs.values() {
                let used = guarantees_used.entry(account.clone()).or_default();
                let needed = live.need.accelerators;
                match priority == 0 && *used + needed <= guaranteed {
                    true => *used += needed,
                    false => usage.served_cores += preemption::core_seconds(&live.need, 1_000),
                }
            }
            let waiting_tasks = job.ready(now.unix_ms).waiting_tasks.clone();
            for (step, tasks) in job.accepted.spec.steps.iter().zip(waiting_tasks) {
                let cores = preemption::core_seconds(&step.need, 1_000);
                usage.waiting_cores += cores * tasks as f64;
            }
            if usage == Usage::default() {
                continue;
            }
            let of_service = services.entry(service).or_default();
            of_service.accounts.entry(account).or_default().add(usage);
            if let Some(zone) = zone {
                of_service.zones.entry(zone).or_default().add(usage);
            }
        }
        self.fair_share.update(&services, now.ms);
    }
}
