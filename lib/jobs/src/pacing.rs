//! Control of the pace of fillers from the tails of the response times that serving tasks on the
//! same server report. See docs/design/long-running.md for the rules and their reasons.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use camphorbeam_model::{id, job};

use crate::decide::NO_VALUE_AFTER_OBJECTIVES;
use crate::engine::{Engine, Now, Order};
use crate::event::Event;
use crate::live_run::RunPhase;
use crate::orders::{PaceOrder, PaceOutcome, RunName, RunningEntry};
use crate::preemption;
use crate::server::ORDER_DELAY_MAX_MS;

/// Tail, relative to its target, above which fillers are slowed down.
const LOWER_ABOVE_RATIO: f64 = 0.9;

/// Tail, relative to its target, below which fillers may go faster. Far below
/// [`LOWER_ABOVE_RATIO`], so that one step up doesn't lead to a step down.
const RAISE_BELOW_RATIO: f64 = 0.7;

/// Factor for the processor time of the fillers on a server while a tail is near its target.
const NEAR_TARGET_FACTOR: f64 = 0.6;

/// Like [`NEAR_TARGET_FACTOR`], while a tail is over its target.
const OVER_TARGET_FACTOR: f64 = 0.3;

/// Time over the target after which the fillers are paused, so at the second report over it. The
/// platform allows 4,500 ms, reports come about once a second, and the tail needs time to settle.
const PAUSE_AFTER_MS: u64 = 800;

/// Tail, relative to its target, above which the fillers are paused at once. A tail that is so high
/// takes longer to settle.
const PAUSE_ABOVE_RATIO: f64 = 1.5;

/// Processor time of the fillers, as a fraction of what they would use, below which they are
/// paused.
const PAUSE_BELOW_RATIO: f64 = 0.05;

/// Step by which the fillers go faster, as a fraction of what they would use.
const RAISE_STEP_RATIO: f64 = 0.05;

/// Time without a step down before the first step up.
const RAISE_DELAY_MS: u64 = 3_000;

/// Shortest time between two steps on one server.
const STEP_INTERVAL_MS: u64 = 700;

/// How long the fillers stay below the level that was too high.
const CEILING_MS: u64 = 20_000;

/// The ceiling, as a fraction of the level that was too high.
const CEILING_RATIO: f64 = 0.9;

/// How long the last reported tail counts while none is reported.
const TAIL_VALID_MS: u64 = 3_000;

/// Time with all fillers paused after which a tail that is still high is not their doing.
const OWN_TAIL_AFTER_MS: u64 = 3_500;

/// How long a tail counts as not the fillers' doing before that is tested again.
const OWN_TAIL_VALID_MS: u64 = 20_000;

/// Fall of a tail, relative to its highest value since it was kept as not the fillers' doing, below
/// which the other cause may be over.
const OTHER_CAUSE_OVER_RATIO: f64 = 0.85;

/// Rise of a tail, relative to its value without fillers, above which they go no faster.
const OWN_TAIL_KEEP_RATIO: f64 = 1.15;

/// Like [`OWN_TAIL_KEEP_RATIO`], above which the tail is judged by its target again.
const OWN_TAIL_LOWER_RATIO: f64 = 1.5;

/// Tail over its target from which it counts as not the fillers' doing. Just above the target, the
/// next report could be below it without fillers, and they would be the cause.
const OWN_TAIL_MIN_RATIO: f64 = 1.15;

/// A tail has settled if it is at least this much of the one reported before.
const SETTLED_RATIO: f64 = 0.9;

/// Tail, relative to its target, up to which fillers go faster if it is below the target without
/// them.
const OWN_TAIL_MAX_RATIO: f64 = 0.98;

/// Refusals in succession after which a filler counts as one that can't be paced.
const REFUSALS_MAX: u32 = 2;

/// How long a filler counts as one that can't be paced.
const UNPACEABLE_MS: u64 = 10_000;

/// Why a filler that can't be paced is stopped; also a label value in metrics.
const PACE_REFUSED_REASON: &str = "pace refused";

/// Time after which an order without an outcome counts as unanswered. Longer than its timeout.
const OUTCOME_TIMEOUT_MS: u64 = 3_000;

/// Smallest change in percent for which an order is sent, except for a change to 0 or 100.
const CHANGE_MIN_PERCENT: u32 = 5;

/// Least processor time that a filler counts as, in thousandths of a core.
const FILLER_MIN_MILLICORES: u64 = 100;

/// Most processor time that a filler counts as, in thousandths of a core. Callers may state any
/// number, since fillers are placed without regard to it; without a limit, sums of them overflow.
const FILLER_MAX_MILLICORES: u64 = 1_000_000;

/// What led to a change of the pace of the fillers on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A tail is near its target, or over it.
    Lowered,
    /// A tail has been over its target for too long, so the fillers are paused.
    Paused,
    /// The tails are low.
    Raised,
    /// The tail is high without the fillers too, so they go faster.
    NotTheirDoing,
    /// A previous scheduler's pace isn't known.
    TakenOver,
    /// There is no serving task left, or the fillers have reached full pace.
    Unlimited,
}

impl Change {
    /// The name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Lowered => "lowered",
            Self::Paused => "paused",
            Self::Raised => "raised",
            Self::NotTheirDoing => "not their doing",
            Self::TakenOver => "taken over",
            Self::Unlimited => "unlimited",
        }
    }
}

/// A filler in the report of a server.
#[derive(Clone, Debug)]
struct ListedFiller {
    name: RunName,
    millicores: u64,
    is_restored: bool,
    /// In ascending order from the filler of most value.
    rank: (bool, u32, Reverse<u64>, u64),
}

#[derive(Clone, Debug, Default)]
struct Filler {
    /// The pace in force, in percent; `None` if it isn't known.
    percent: Option<u32>,
    wanted: u32,
    /// When an order was sent whose outcome isn't known yet.
    sent_ms: Option<u64>,
    refusals: u32,
    unpaceable_until_ms: u64,
    /// Until when an unanswered order may still be carried out.
    late_until_ms: u64,
}

impl Filler {
    fn is_order_due(&self, now_ms: u64) -> bool {
        let awaits_outcome = self
            .sent_ms
            .is_some_and(|sent_ms| now_ms < sent_ms + OUTCOME_TIMEOUT_MS);
        let is_different = self.percent.is_none_or(|percent| {
            let is_end = self.wanted == 0 || self.wanted == 100;
            percent != self.wanted
                && (is_end || percent.abs_diff(self.wanted) >= CHANGE_MIN_PERCENT)
        });
        !awaits_outcome
            && now_ms >= self.unpaceable_until_ms
            && (is_different || now_ms < self.late_until_ms)
    }
}

/// The tail of a serving task, relative to its target.
#[derive(Clone, Debug)]
struct Tail {
    ratio: f64,
    /// The ratio of the report before.
    previous_ratio: f64,
    at_ms: u64,
    over_since_ms: Option<u64>,
    /// The tail without fillers, if it is high.
    own: Option<OwnTail>,
}

/// A tail that is high without fillers, relative to the target.
#[derive(Clone, Copy, Debug)]
struct OwnTail {
    ratio: f64,
    /// The highest value reported since.
    highest_ratio: f64,
    until_ms: u64,
}

impl OwnTail {
    /// Whether a report agrees with another cause than the fillers.
    fn agrees(&self, ratio: f64, now_ms: u64) -> bool {
        let max_ratio = match self.ratio > 1.0 {
            true => self.ratio * OWN_TAIL_LOWER_RATIO,
            // The fillers must not take it over the target.
            false => OWN_TAIL_MAX_RATIO.max(self.ratio),
        };
        now_ms < self.until_ms
            && ratio <= max_ratio
            && ratio >= self.highest_ratio * OTHER_CAUSE_OVER_RATIO
    }
}

/// What a tail calls for.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
enum Need {
    Raise,
    RaiseDespiteTail,
    Keep,
    Lower(f64),
    Pause,
}

impl Tail {
    fn report(&mut self, ratio: f64, now_ms: u64) {
        self.previous_ratio = std::mem::replace(&mut self.ratio, ratio);
        self.at_ms = now_ms;
        self.over_since_ms = match ratio > 1.0 {
            true => self.over_since_ms.or(Some(now_ms)),
            false => None,
        };
        self.own = self.own.filter(|own| own.agrees(ratio, now_ms));
        if let Some(own) = &mut self.own {
            own.highest_ratio = own.highest_ratio.max(ratio);
        }
    }

    fn need(&self, now_ms: u64) -> Need {
        let own_ratio = self.own.map_or(0.0, |own| own.ratio);
        let is_own = self.own.is_some();
        let over_ms = self.over_since_ms.map_or(0, |since_ms| now_ms - since_ms);
        match () {
            () if now_ms >= self.at_ms + TAIL_VALID_MS => Need::Keep,
            () if self.ratio < RAISE_BELOW_RATIO => Need::Raise,
            () if is_own => match self.ratio > own_ratio * OWN_TAIL_KEEP_RATIO {
                true => Need::Keep,
                false => Need::RaiseDespiteTail,
            },
            () if self.ratio <= LOWER_ABOVE_RATIO => Need::Keep,
            () if over_ms >= PAUSE_AFTER_MS || self.ratio > PAUSE_ABOVE_RATIO => Need::Pause,
            () if self.ratio > 1.0 => Need::Lower(1.0 - OVER_TARGET_FACTOR),
            () => Need::Lower(1.0 - NEAR_TARGET_FACTOR),
        }
    }
}

/// The fillers and serving tasks of one server.
#[derive(Clone, Debug, Default)]
struct ServerPace {
    fillers: BTreeMap<RunName, Filler>,
    tails: BTreeMap<RunName, Tail>,
    /// Processor time that the fillers may use together, in thousandths of a core; `None` without
    /// a limit.
    allowed_millicores: Option<u64>,
    /// Upper bound of `allowed_millicores`, and until when it applies.
    ceiling: Option<(u64, u64)>,
    stepped_ms: u64,
    lowered_ms: u64,
    /// Since when no filler runs, as far as the server has confirmed that.
    paused_since_ms: Option<u64>,
}

impl ServerPace {
    /// Takes one step of the control and returns what has changed.
    fn step(&mut self, listed: &[ListedFiller], is_serving: bool, now_ms: u64) -> Option<Change> {
        let full = listed.iter().map(|filler| filler.millicores).sum::<u64>();
        if !is_serving {
            self.ceiling = None;
            let allowed = self.allowed_millicores.take();
            return allowed.map(|_| Change::Unlimited);
        }
        let has_unknown = self.fillers.values().any(|filler| filler.percent.is_none());
        let is_unknown = self.stepped_ms == 0 && has_unknown;
        self.stepped_ms = now_ms;
        if is_unknown {
            self.allowed_millicores = Some(full / 2);
            self.lowered_ms = now_ms;
            return Some(Change::TakenOver);
        }
        self.find_own_tails(now_ms);
        let current = self
            .allowed_millicores
            .map_or(full, |allowed| allowed.min(full));
        let needs = self.tails.values().map(|tail| tail.need(now_ms));
        let need = needs.max_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal));
        match need.unwrap_or(Need::Keep) {
            Need::Pause | Need::Lower(_) if current == 0 => None,
            Need::Pause => self.lower(current, 0, full, now_ms),
            Need::Lower(share) => {
                let lowered = (current as f64 * (1.0 - share)) as u64;
                self.lower(current, lowered, full, now_ms)
            }
            Need::Keep => None,
            Need::RaiseDespiteTail => self
                .raise(current, full, now_ms)
                .map(|_| Change::NotTheirDoing),
            Need::Raise => self.raise(current, full, now_ms),
        }
    }

    /// Fillers that refuse to be paced while a tail is over its target for too long.
    fn harmful_unpaceable(&self, now_ms: u64) -> Vec<RunName> {
        let mut needs = self.tails.values().map(|tail| tail.need(now_ms));
        if !needs.any(|need| need == Need::Pause) {
            return Vec::new();
        }
        let is_unpaceable = |filler: &Filler| now_ms < filler.unpaceable_until_ms;
        let fillers = self.fillers.iter();
        let unpaceable = fillers.filter(|(_, filler)| is_unpaceable(filler));
        unpaceable.map(|(name, _)| name.clone()).collect()
    }

    /// Keeps the tails that are high although no filler runs.
    fn find_own_tails(&mut self, now_ms: u64) {
        let is_paused =
            |filler: &Filler| filler.percent == Some(0) && now_ms >= filler.late_until_ms;
        match self.fillers.values().all(is_paused) {
            true => self.paused_since_ms.get_or_insert(now_ms),
            false => {
                self.paused_since_ms = None;
                return;
            }
        };
        let paused_ms = self.paused_since_ms.map_or(0, |since_ms| now_ms - since_ms);
        for tail in self.tails.values_mut() {
            // A tail that still falls has not settled since the fillers were paused.
            let is_settled = tail.at_ms == now_ms
                && tail.ratio >= SETTLED_RATIO * tail.previous_ratio
                && paused_ms >= OWN_TAIL_AFTER_MS;
            let is_near = tail.ratio > LOWER_ABOVE_RATIO && tail.ratio < OWN_TAIL_MIN_RATIO;
            if is_settled && !is_near && tail.ratio >= RAISE_BELOW_RATIO {
                tail.own = Some(OwnTail {
                    ratio: tail.ratio,
                    highest_ratio: tail.ratio,
                    until_ms: now_ms + OWN_TAIL_VALID_MS,
                });
            }
        }
    }

    fn lower(&mut self, current: u64, lowered: u64, full: u64, now_ms: u64) -> Option<Change> {
        // The first step of several is the one from the level that was too high.
        if now_ms >= self.lowered_ms + RAISE_DELAY_MS {
            let ceiling = (current as f64 * CEILING_RATIO) as u64;
            self.ceiling = Some((ceiling, now_ms + CEILING_MS));
        }
        self.lowered_ms = now_ms;
        let is_paused = (lowered as f64) < full as f64 * PAUSE_BELOW_RATIO;
        self.allowed_millicores = Some(if is_paused { 0 } else { lowered });
        Some(if is_paused {
            Change::Paused
        } else {
            Change::Lowered
        })
    }

    fn raise(&mut self, current: u64, full: u64, now_ms: u64) -> Option<Change> {
        let ceiling = self.ceiling.filter(|(_, until_ms)| now_ms < *until_ms);
        let ceiling = ceiling.map_or(u64::MAX, |(ceiling, _)| ceiling);
        let is_due = now_ms >= self.lowered_ms + RAISE_DELAY_MS;
        let allowed = self.allowed_millicores.filter(|_| is_due)?;
        let step = ((full as f64 * RAISE_STEP_RATIO) as u64).max(1);
        let raised = (current + step).min(ceiling);
        if raised >= full {
            self.allowed_millicores = None;
            return Some(Change::Unlimited);
        }
        self.allowed_millicores = Some(raised.max(current));
        (raised > allowed).then_some(Change::Raised)
    }

    /// Divides what is allowed among the fillers, those of most value first.
    fn divide(&mut self, listed: &[ListedFiller], now_ms: u64) {
        let mut left = self.allowed_millicores.unwrap_or(u64::MAX);
        let is_unpaceable = |fillers: &BTreeMap<RunName, Filler>, filler: &ListedFiller| {
            now_ms < fillers[&filler.name].unpaceable_until_ms
        };
        let mut listed: Vec<&ListedFiller> = listed.iter().collect();
        listed.sort_by_key(|filler| (!is_unpaceable(&self.fillers, filler), filler.rank));
        for listed in listed {
            let Some(filler) = self.fillers.get_mut(&listed.name) else {
                continue;
            };
            let share = listed.millicores.min(left);
            left -= share;
            filler.wanted = u32::try_from(100 * share / listed.millicores).unwrap_or(100);
        }
    }
}

/// The pace of the fillers on all servers.
#[derive(Clone, Debug, Default)]
pub struct Pacing {
    /// Whether any job has had a filler or a serving task.
    is_used: bool,
    servers: BTreeMap<id::BackendServerId, ServerPace>,
}

impl Pacing {
    /// Notes the steps of a new job. Nothing is done before one has a filler or a serving task.
    pub(crate) fn note_steps(&mut self, steps: &[job::StepSpec]) {
        let is_paced = |step: &job::StepSpec| step.ignores_cpu_capacity || step.target_ms > 0;
        self.is_used |= steps.iter().any(is_paced);
    }

    /// Forgets a server that is gone.
    pub(crate) fn forget(&mut self, server: &id::BackendServerId) {
        self.servers.remove(server);
    }

    /// Forgets the pace of the runs on a server that has restarted.
    pub(crate) fn forget_percents(&mut self, server: &id::BackendServerId) {
        let fillers = self.servers.get_mut(server);
        for filler in fillers
            .into_iter()
            .flat_map(|pace| pace.fillers.values_mut())
        {
            filler.percent = None;
        }
    }

    /// Servers where a serving task is near its target, or whose fillers are restrained.
    pub(crate) fn servers_near_target(&self, now_ms: u64) -> Vec<&id::BackendServerId> {
        let is_high =
            |tail: &Tail| tail.ratio >= RAISE_BELOW_RATIO && now_ms < tail.at_ms + TAIL_VALID_MS;
        let near = self.servers.iter().filter(|(_, pace)| {
            pace.allowed_millicores.is_some() || pace.tails.values().any(is_high)
        });
        near.map(|(id, _)| id).collect()
    }
}

impl Engine {
    /// Adjusts the pace of the fillers on a server to the report `running`, and queues the orders
    /// for it.
    pub(crate) fn control_pace(
        &mut self,
        server: &id::BackendServerId,
        running: &[RunningEntry],
        now: Now,
    ) {
        if !self.pacing.is_used {
            return;
        }
        let mut listed: Vec<ListedFiller> = Vec::new();
        let mut serving: BTreeMap<RunName, Option<f64>> = BTreeMap::new();
        for entry in running {
            let (id, index) = (&entry.name.task.job, entry.name.task.index);
            let job = self.jobs.get(id);
            let live = job.and_then(|job| job.runs.get(&index));
            let live = live.filter(|live| live.run == entry.name.run && &live.server == server);
            let (Some(job), Some(live)) = (job, live) else {
                continue;
            };
            let step = job.step(index);
            if step.target_ms > 0 {
                let load = entry.load.filter(|load| load.is_finite() && *load >= 0.0);
                let ratio = load.map(|tail_ms| tail_ms / step.target_ms as f64);
                serving.insert(entry.name.clone(), ratio);
            } else if step.ignores_cpu_capacity && matches!(live.phase, RunPhase::Present { .. }) {
                let age_ms = now.ms.saturating_sub(job.accepted_ms);
                let has_no_value = !step.is_long_running
                    && age_ms > job.objective_ms().saturating_mul(NO_VALUE_AFTER_OBJECTIVES);
                let weight = preemption::core_seconds(&step.need, 1_000) * 1_000.0;
                let priority = job.accepted.terms.priority;
                listed.push(ListedFiller {
                    name: entry.name.clone(),
                    millicores: step
                        .need
                        .cpu_millicores
                        .clamp(FILLER_MIN_MILLICORES, FILLER_MAX_MILLICORES),
                    is_restored: live.is_restored,
                    rank: (
                        has_no_value,
                        priority,
                        Reverse(weight as u64),
                        job.accepted_ms,
                    ),
                });
            }
        }
        if listed.is_empty() && serving.is_empty() {
            self.pacing.servers.remove(server);
            return;
        }
        let pace = self.pacing.servers.entry(server.clone()).or_default();
        pace.tails.retain(|name, _| serving.contains_key(name));
        for (name, ratio) in &serving {
            if let Some(ratio) = *ratio {
                let new_tail = Tail {
                    ratio,
                    previous_ratio: ratio,
                    at_ms: now.ms,
                    over_since_ms: None,
                    own: None,
                };
                let tail = pace.tails.entry(name.clone()).or_insert(new_tail);
                tail.report(ratio, now.ms);
            }
        }
        let names: BTreeSet<&RunName> = listed.iter().map(|filler| &filler.name).collect();
        pace.fillers.retain(|name, _| names.contains(name));
        for filler in &listed {
            let new_filler = || Filler {
                percent: (!filler.is_restored).then_some(100),
                ..Filler::default()
            };
            let known = pace.fillers.entry(filler.name.clone());
            known.or_insert_with(new_filler);
        }
        if now.ms < pace.stepped_ms + STEP_INTERVAL_MS {
            return;
        }
        let change = pace.step(&listed, !serving.is_empty(), now.ms);
        let refusing = pace.harmful_unpaceable(now.ms);
        pace.divide(&listed, now.ms);
        for (name, filler) in &mut pace.fillers {
            if filler.is_order_due(now.ms) {
                filler.sent_ms = Some(now.ms);
                let order = PaceOrder {
                    name: name.clone(),
                    percent: filler.wanted,
                };
                self.orders.push(Order::Pace(server.clone(), order));
            }
        }
        if let Some(change) = change.filter(|_| !listed.is_empty()) {
            let full = listed.iter().map(|filler| filler.millicores).sum::<u64>();
            let allowed = pace
                .allowed_millicores
                .map_or(full, |allowed| allowed.min(full));
            let worst = pace.tails.values().map(|tail| tail.ratio);
            self.events.push(Event::Pace {
                server: server.clone(),
                change,
                tail_permille: (worst.fold(0.0, f64::max) * 1_000.0) as u64,
                fillers: listed.len(),
                allowed_percent: u32::try_from(100 * allowed / full).unwrap_or(100),
            });
        }
        self.stop_unpaceable(refusing, now);
    }

    /// Stops fillers that can't be paced beside a task that is over its target, as far as their
    /// disruption budgets allow.
    fn stop_unpaceable(&mut self, fillers: Vec<RunName>, now: Now) {
        for name in fillers {
            let (id, index) = (&name.task.job, name.task.index);
            let job = self.jobs.get(id);
            let live = job.and_then(|job| job.runs.get(&index).filter(|live| live.run == name.run));
            let (Some(job), Some(live)) = (job, live) else {
                continue;
            };
            let unit = job.unit_of(index);
            let server = live.server.clone();
            let members: Vec<_> = unit.members().collect();
            if self.may_disrupt(id, &members, PACE_REFUSED_REASON, now) {
                for member in members {
                    self.request_stop(id, member, PACE_REFUSED_REASON, now);
                }
                // Without a delay it would come back at once if no other server has room.
                let event =
                    self.restarts
                        .record_quick_end(id, unit, name.run, Some(server), now.ms);
                self.events.extend(event);
            }
        }
    }

    /// Processes the reply to a pace order, or the lack of a usable one.
    pub fn pace_reply(
        &mut self,
        server: &id::BackendServerId,
        order: &PaceOrder,
        outcome: &PaceOutcome,
        now: Now,
    ) {
        if *outcome == PaceOutcome::Fenced {
            self.is_deposed = true;
        }
        let pace = self.pacing.servers.get_mut(server);
        let Some(filler) = pace.and_then(|pace| pace.fillers.get_mut(&order.name)) else {
            return;
        };
        filler.sent_ms = None;
        filler.percent = None;
        match outcome {
            PaceOutcome::Accepted => {
                filler.percent = Some(order.percent);
                filler.refusals = 0;
            }
            PaceOutcome::Refused => {
                filler.refusals += 1;
                if filler.refusals >= REFUSALS_MAX {
                    filler.refusals = 0;
                    filler.unpaceable_until_ms = now.ms + UNPACEABLE_MS;
                }
            }
            PaceOutcome::Unknown { .. } => filler.late_until_ms = now.ms + ORDER_DELAY_MAX_MS,
            PaceOutcome::Fenced => {}
        }
    }
}
