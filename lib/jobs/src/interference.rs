//! Detects kinds of tasks that slow each other down on one server, from the progress of their runs.
//!
//! A run is compared with itself: its rate of progress in two consecutive segments of time, between
//! which one kind of neighbour came or left. The speed of the server, the work of the task and the
//! error of its estimate are the same in both, so they cancel out.

use std::collections::BTreeMap;
use std::sync::Arc;

use camphorbeam_model::id;

use crate::pair_evidence::{self, Direction, PairEvidence};

/// Maximum number of kinds. The least recently seen is dropped.
pub const KINDS_MAX: usize = 256;

/// Maximum number of directed pairs with evidence. The least recently seen is dropped, and a pair
/// that counts only if all do.
pub const PAIRS_MAX: usize = 1_024;

/// Maximum number of runs in a reply that is evaluated. The work for a reply grows with its square.
pub const RUNS_MAX: usize = 32;

/// Longest time between two replies of a server over which its runs are compared.
const INTERVAL_MAX_MS: u64 = 2_500;

/// Shortest segment, and the least progress in it. Progress is reported in whole percents.
const SEGMENT_MIN_MS: f64 = 400.0;
const SEGMENT_MIN_PERCENT: f64 = 3.0;

/// Longest segment. Servers can change their speed within some seconds.
const SEGMENT_MAX_MS: f64 = 3_000.0;

/// Time without enough progress after which the measurement of a run begins anew.
const STALLED_MS: f64 = 10_000.0;

/// Least change in the exposure to a kind from which a sample is taken.
const EXPOSURE_CHANGE_MIN: f64 = 0.4;

/// Highest change in the exposure to all other kinds, relative to that of the kind in question.
const OTHER_EXPOSURE_RATIO_MAX: f64 = 0.3;

/// Limit of the logarithm of a sample: a factor of 3.
const SAMPLE_LN_MAX: f64 = 1.1;

/// Deviation of samples that isn't due to rounding, as a logarithm. Only determines weights.
const SAMPLE_DEVIATION: f64 = 0.1;

/// Variance of the progress in a segment due to rounding down to whole percents at both ends.
const ROUNDING_VARIANCE: f64 = 1.0 / 6.0;

/// Interval of the checks whether pairs have ceased to count by the age of their evidence.
const EXPIRY_INTERVAL_MS: u64 = 5_000;

/// Highest cost of a server due to interference, in idle accelerators. Below the cost of the order
/// of the racks, so that urgent and other work stay in the racks that are theirs.
const COST_MAX: f64 = 12.0;

/// Maximum size of a snapshot as JSON, in bytes.
pub const SNAPSHOT_MAX_BYTES: usize = 4_000;

/// Range of `--interference-weight`.
pub const WEIGHT_RANGE: std::ops::RangeInclusive<f64> = 0.0..=100.0;

/// What the scheduler does about interference.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Nothing.
    #[default]
    Off,
    /// Detects and reports it.
    Observe,
    /// Also takes it into account in placement.
    Place,
}

/// Settings of this part.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// What the scheduler does about interference.
    pub mode: Mode,
    /// Cost of an expected loss of one core-second, in idle accelerators; see [`WEIGHT_RANGE`].
    pub weight: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            mode: Mode::Off,
            weight: 10.0,
        }
    }
}

/// Number of a kind. Never used again after the kind is dropped.
pub type KindId = u32;

/// The measurement of one run.
#[derive(Clone, Debug, Default)]
pub struct RunTrack {
    /// Whether the last reply of the server listed the run.
    is_listed: bool,
    /// Kinds on the other servers of the gang, as of the last reply.
    elsewhere: Vec<KindId>,
    segment: Option<Segment>,
    previous: Option<ClosedSegment>,
}

#[derive(Clone, Debug)]
struct Segment {
    duration_ms: f64,
    start_percent: u32,
    /// Time with a neighbour of each kind.
    exposures_ms: Vec<(KindId, f64)>,
    /// Kinds of neighbours at the start.
    neighbours: Vec<KindId>,
}

#[derive(Clone, Debug)]
struct ClosedSegment {
    /// Logarithm of percents per millisecond.
    rate_ln: f64,
    percent: f64,
    /// Share of the time with a neighbour of each kind.
    exposures: Vec<(KindId, f64)>,
}

/// The kinds that the last reply of a server listed.
#[derive(Clone, Debug, Default)]
pub struct ServerTrack {
    /// Start of the server's incarnation and time on the server's clock; `None` before the first
    /// reply.
    replied: Option<(u64, u64)>,
    counts: Vec<(KindId, u32)>,
}

impl ServerTrack {
    /// The kinds that the last reply listed, and the number of runs of each.
    pub fn counts(&self) -> impl Iterator<Item = (KindId, u32)> + '_ {
        self.counts.iter().copied()
    }
}

/// A run that a reply lists.
#[derive(Debug)]
pub struct ListedRun {
    /// Kind of the task.
    pub kind: KindId,
    /// Measurement of the run, which is continued.
    pub track: RunTrack,
    /// Reported progress.
    pub percent: u32,
    /// How long ago the run became present; `None` if unknown.
    pub present_for_ms: Option<u64>,
    /// Whether the progress of the run is measured. Otherwise it only counts as a neighbour.
    pub is_measured: bool,
    /// Number of tasks of the placement unit on this server.
    pub unit_tasks: u32,
    /// Kinds of neighbours on the other servers of a gang, sorted.
    pub elsewhere: Vec<KindId>,
}

/// A pair that has begun or ceased to count.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The kind that is slowed down.
    pub kind: Arc<str>,
    /// The kind of the neighbour.
    pub neighbour: Arc<str>,
    /// Whether the pair counts now.
    pub counts: bool,
    /// Mean slowdown; 1 for none.
    pub slowdown_ratio: f64,
    /// Weight of the evidence.
    pub evidence: f64,
    /// Why.
    pub reason: &'static str,
}

/// Evidence for one pair, for reports.
#[derive(Clone, Debug, serde::Serialize)]
pub struct PairReport {
    /// The kind that is slowed down.
    pub kind: Arc<str>,
    /// The kind of the neighbour.
    pub neighbour: Arc<str>,
    /// Mean slowdown; 1 for none.
    pub slowdown_ratio: f64,
    /// Weight of the evidence.
    pub evidence: f64,
    /// The mean divided by its standard error.
    pub score: f64,
    /// Whether the evidence suffices.
    pub counts: bool,
}

/// A pair in a snapshot: kind, neighbour, logarithm of the slowdown, standard deviation of samples,
/// weight of the evidence.
pub type SnapshotPair = (Arc<str>, Arc<str>, f64, f64, f64);

/// The pairs that count, for a successor.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Snapshot {
    /// The pairs, the most evident first.
    pub pairs: Vec<SnapshotPair>,
}

#[derive(Clone, Debug)]
struct Kind {
    name: Arc<str>,
    seen_ms: u64,
    /// Number of tasks that are placed on each server, and the core-seconds that they need.
    placed: BTreeMap<id::BackendServerId, (u32, f64)>,
}

struct Sample {
    kind: KindId,
    neighbour: KindId,
    direction: Direction,
    slowdown_ln: f64,
    weight: f64,
}

/// Kinds, the evidence for pairs of them, and where tasks of each are placed.
#[derive(Clone, Debug, Default)]
pub struct Interference {
    kinds: BTreeMap<KindId, Kind>,
    kind_ids: BTreeMap<Arc<str>, KindId>,
    next_kind: KindId,
    pairs: BTreeMap<(KindId, KindId), PairEvidence>,
    next_expiry_ms: u64,
    changes: Vec<Change>,
}

impl Interference {
    /// The number of the kind with this name, which is added if it is new. It counts as seen.
    pub fn kind(&mut self, name: &str, now_ms: u64) -> KindId {
        let known = self.kind_ids.get(name).copied();
        let known = known.and_then(|id| self.kinds.get_mut(&id).map(|kind| (id, kind)));
        if let Some((id, kind)) = known {
            kind.seen_ms = kind.seen_ms.max(now_ms);
            return id;
        }
        if self.kinds.len() >= KINDS_MAX {
            self.drop_kind();
        }
        let id = self.next_kind;
        self.next_kind += 1;
        let name: Arc<str> = name.into();
        self.kind_ids.insert(Arc::clone(&name), id);
        let kind = Kind {
            name,
            seen_ms: now_ms,
            placed: BTreeMap::new(),
        };
        self.kinds.insert(id, kind);
        id
    }

    /// The number of the kind with this name; `None` if it isn't known.
    pub fn known_kind(&self, name: &str) -> Option<KindId> {
        self.kind_ids.get(name).copied()
    }

    fn drop_kind(&mut self) {
        let oldest = self.kinds.iter().min_by_key(|(_, kind)| kind.seen_ms);
        let Some(oldest) = oldest.map(|(id, _)| *id) else {
            return;
        };
        let involved = |pair: &(KindId, KindId)| pair.0 == oldest || pair.1 == oldest;
        let ended = self.pairs.iter().filter(|(pair, _)| involved(pair));
        let ended: Vec<Change> = ended
            .filter(|(_, evidence)| evidence.counts)
            .filter_map(|(pair, evidence)| self.change(*pair, evidence, false, "dropped"))
            .collect();
        self.changes.extend(ended);
        self.pairs.retain(|pair, _| !involved(pair));
        if let Some(kind) = self.kinds.remove(&oldest) {
            self.kind_ids.remove(&kind.name);
        }
    }

    /// Number of kinds.
    pub fn kind_count(&self) -> usize {
        self.kinds.len()
    }

    /// Number of pairs that count.
    pub fn counting_pairs(&self) -> usize {
        self.pairs.values().filter(|pair| pair.counts).count()
    }

    /// Slowdown of tasks of `kind` by a neighbour; 1 unless the pair counts.
    pub fn slowdown_ratio(&self, kind: KindId, neighbour: KindId) -> f64 {
        let pair = self.pairs.get(&(kind, neighbour));
        pair.filter(|pair| pair.counts)
            .map_or(1.0, |pair| pair.slowdown_ln().exp())
    }

    /// Removes and returns the pairs that have begun or ceased to count.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Processes the runs that a reply of `server` lists. `incarnation` and `server_ms` are from
    /// the reply.
    pub fn observe(
        &mut self,
        server: &id::BackendServerId,
        track: &mut ServerTrack,
        (incarnation, server_ms): (u64, u64),
        listed: &mut [ListedRun],
        now_ms: u64,
    ) {
        let replied = track.replied.replace((incarnation, server_ms));
        let interval_ms = replied
            .filter(|(previous, _)| *previous == incarnation)
            .map(|(_, previous_ms)| server_ms.saturating_sub(previous_ms))
            .filter(|interval_ms| (1..=INTERVAL_MAX_MS).contains(interval_ms));
        let before = std::mem::take(&mut track.counts);
        if listed.len() <= RUNS_MAX {
            let mut counts: BTreeMap<KindId, u32> = BTreeMap::new();
            for run in listed.iter() {
                *counts.entry(run.kind).or_default() += 1;
            }
            track.counts = counts.into_iter().collect();
        }
        match interval_ms {
            Some(interval_ms) if listed.len() <= RUNS_MAX => {
                let presence = presence(&before, &track.counts, listed, interval_ms as f64);
                let mut samples = Vec::new();
                for run in listed.iter_mut() {
                    self.measure(run, &presence, interval_ms as f64, &mut samples);
                }
                self.add_samples(server, samples, now_ms);
            }
            _ => {
                for run in listed.iter_mut() {
                    run.track = RunTrack {
                        is_listed: true,
                        ..RunTrack::default()
                    };
                }
            }
        }
        if now_ms >= self.next_expiry_ms {
            self.next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS;
            self.expire(now_ms);
        }
    }

    /// Continues the measurement of one run by the interval between two replies.
    fn measure(
        &self,
        run: &mut ListedRun,
        presence: &[Presence],
        interval_ms: f64,
        samples: &mut Vec<Sample>,
    ) {
        let was_listed = std::mem::replace(&mut run.track.is_listed, true);
        if !run.is_measured {
            run.track.segment = None;
            run.track.previous = None;
            return;
        }
        let elsewhere_before = std::mem::replace(&mut run.track.elsewhere, run.elsewhere.clone());
        let (exposures, neighbours) = neighbours(run, &elsewhere_before, presence);
        let track = &mut run.track;
        // A run that hasn't begun to progress may still be loading or wait for its gang.
        let segment = match &mut track.segment {
            Some(segment) if was_listed && run.percent >= segment.start_percent => segment,
            _ => {
                track.previous = None;
                let has_begun = run.percent > 0;
                track.segment = has_begun.then(|| Segment::new(run.percent, neighbours));
                return;
            }
        };
        segment.duration_ms += interval_ms;
        for (kind, share) in exposures {
            add_to(&mut segment.exposures_ms, kind, share * interval_ms);
        }
        let gained_percent = f64::from(run.percent - segment.start_percent);
        let is_measurable =
            segment.duration_ms >= SEGMENT_MIN_MS && gained_percent >= SEGMENT_MIN_PERCENT;
        let is_complete = segment.neighbours != neighbours || segment.duration_ms >= SEGMENT_MAX_MS;
        match () {
            () if is_measurable && is_complete => {
                let closed = segment.close(gained_percent);
                let sample = track
                    .previous
                    .as_ref()
                    .and_then(|previous| self.sample(run.kind, previous, &closed));
                samples.extend(sample);
                track.previous = Some(closed);
                track.segment = Some(Segment::new(run.percent, neighbours));
            }
            () if segment.duration_ms > STALLED_MS => {
                track.previous = None;
                track.segment = Some(Segment::new(run.percent, neighbours));
            }
            () => {}
        }
    }

    /// The sample from two consecutive segments, if only one kind of neighbour came or left.
    fn sample(
        &self,
        kind: KindId,
        first: &ClosedSegment,
        second: &ClosedSegment,
    ) -> Option<Sample> {
        let mut changes = second.exposures.clone();
        for (neighbour, share) in &first.exposures {
            add_to(&mut changes, *neighbour, -share);
        }
        let (neighbour, change) = *changes
            .iter()
            .max_by(|a, b| a.1.abs().total_cmp(&b.1.abs()))?;
        let mut rate_change_ln = second.rate_ln - first.rate_ln;
        let mut unexplained = 0.0;
        for (other, other_change) in changes.iter().filter(|(other, _)| *other != neighbour) {
            // The better the effect of the other kind is known, the more of its change is
            // explained.
            let other_pair = self.pairs.get(&(kind, *other));
            let known_ratio = other_pair.map_or(0.0, PairEvidence::known_ratio);
            let effect_ln = other_pair.map_or(0.0, PairEvidence::slowdown_ln);
            rate_change_ln += known_ratio * effect_ln * other_change;
            unexplained += (1.0 - known_ratio) * other_change.abs();
        }
        let is_clear = change.abs() >= EXPOSURE_CHANGE_MIN
            && unexplained <= OTHER_EXPOSURE_RATIO_MAX * change.abs();
        let own_variance = SAMPLE_DEVIATION * SAMPLE_DEVIATION;
        let rounding_variance =
            ROUNDING_VARIANCE * (first.percent.powi(-2) + second.percent.powi(-2));
        is_clear.then(|| Sample {
            kind,
            neighbour,
            direction: match change > 0.0 {
                true => Direction::Came,
                false => Direction::Left,
            },
            slowdown_ln: (-rate_change_ln / change).clamp(-SAMPLE_LN_MAX, SAMPLE_LN_MAX),
            weight: change * change * own_variance / (own_variance + rounding_variance),
        })
    }

    /// Adds the samples of one reply, averaged for each pair and direction: a change in the speed
    /// of the server shows in all its runs at once.
    fn add_samples(&mut self, server: &id::BackendServerId, samples: Vec<Sample>, now_ms: u64) {
        let mut sums: BTreeMap<(KindId, KindId, Direction), (f64, f64, f64)> = BTreeMap::new();
        for sample in samples {
            let key = (sample.kind, sample.neighbour, sample.direction);
            let sum = sums.entry(key).or_default();
            sum.0 += sample.weight * sample.slowdown_ln;
            sum.1 += sample.weight;
            sum.2 += 1.0;
        }
        for ((kind, neighbour, direction), (value, weight, count)) in sums {
            let pair = (kind, neighbour);
            if !self.kinds.contains_key(&kind) || !self.kinds.contains_key(&neighbour) {
                continue;
            }
            if self.pairs.len() >= PAIRS_MAX && !self.pairs.contains_key(&pair) {
                self.drop_pair();
            }
            let evidence = self.pairs.entry(pair).or_default();
            evidence.add(server, direction, value / weight, weight / count, now_ms);
            self.test(pair);
        }
    }

    fn drop_pair(&mut self) {
        let oldest = self
            .pairs
            .iter()
            .min_by_key(|(_, evidence)| (evidence.counts, evidence.seen_ms));
        if let Some((pair, evidence)) = oldest.map(|(pair, evidence)| (*pair, evidence.clone())) {
            let ended = evidence.counts;
            let change = self.change(pair, &evidence, false, "dropped");
            self.changes.extend(change.filter(|_| ended));
            self.pairs.remove(&pair);
        }
    }

    fn test(&mut self, pair: (KindId, KindId)) {
        let Some(evidence) = self.pairs.get_mut(&pair) else {
            return;
        };
        let before = evidence.clone();
        if let Some(reason) = evidence.test() {
            let counts = evidence.counts;
            let change = self.change(pair, &before, counts, reason);
            self.changes.extend(change);
        }
    }

    fn change(
        &self,
        (kind, neighbour): (KindId, KindId),
        evidence: &PairEvidence,
        counts: bool,
        reason: &'static str,
    ) -> Option<Change> {
        Some(Change {
            kind: Arc::clone(&self.kinds.get(&kind)?.name),
            neighbour: Arc::clone(&self.kinds.get(&neighbour)?.name),
            counts,
            slowdown_ratio: evidence.slowdown_ln().exp(),
            evidence: evidence.weight(),
            reason,
        })
    }

    /// Ends pairs whose evidence has faded.
    fn expire(&mut self, now_ms: u64) {
        let counting: Vec<_> = self
            .pairs
            .iter_mut()
            .filter(|(_, evidence)| evidence.counts)
            .map(|(pair, evidence)| {
                evidence.decay(now_ms);
                *pair
            })
            .collect();
        for pair in counting {
            self.test(pair);
        }
    }

    /// Records that a task of `kind` that needs `core_s` core-seconds is placed on `server`.
    pub fn add_placed(&mut self, kind: KindId, server: &id::BackendServerId, core_s: f64) {
        if let Some(kind) = self.kinds.get_mut(&kind) {
            let placed = kind.placed.entry(server.clone()).or_default();
            placed.0 += 1;
            placed.1 += core_s;
        }
    }

    /// Records that a task for which `add_placed` was called is no longer on `server`.
    pub fn remove_placed(&mut self, kind: KindId, server: &id::BackendServerId, core_s: f64) {
        let kind = self.kinds.get_mut(&kind);
        let Some(placed) = kind.map(|kind| &mut kind.placed) else {
            return;
        };
        match placed.get_mut(server) {
            Some(tasks) if tasks.0 > 1 => *tasks = (tasks.0 - 1, (tasks.1 - core_s).max(0.0)),
            _ => {
                placed.remove(server);
            }
        }
    }

    /// The cost of placing a task of the kind called `name` that needs `core_s` core-seconds, by
    /// server: what it and the tasks there are expected to lose, in core-seconds, times `weight`,
    /// at most [`COST_MAX`]. Servers without an entry have no cost.
    pub fn costs(
        &self,
        name: &str,
        core_s: f64,
        weight: f64,
    ) -> BTreeMap<id::BackendServerId, f64> {
        let mut costs = BTreeMap::new();
        let Some(kind) = self.kind_ids.get(name).copied() else {
            return costs;
        };
        let counting = self.pairs.iter().filter(|(_, evidence)| evidence.counts);
        for (pair, evidence) in counting {
            let loss_ratio = evidence.slowdown_ln().exp_m1().max(0.0);
            if pair.0 == kind {
                for server in self.placed(pair.1).keys() {
                    *costs.entry(server.clone()).or_default() += weight * loss_ratio * core_s;
                }
            }
            if pair.1 == kind {
                for (server, (_, placed_core_s)) in self.placed(pair.0) {
                    *costs.entry(server.clone()).or_default() +=
                        weight * loss_ratio * placed_core_s;
                }
            }
        }
        for cost in costs.values_mut() {
            *cost = f64::min(*cost, COST_MAX);
        }
        costs
    }

    fn placed(&self, kind: KindId) -> &BTreeMap<id::BackendServerId, (u32, f64)> {
        static NONE: BTreeMap<id::BackendServerId, (u32, f64)> = BTreeMap::new();
        self.kinds.get(&kind).map_or(&NONE, |kind| &kind.placed)
    }

    /// All pairs with evidence, those that count and the most certain ones first.
    pub fn report(&self, now_ms: u64) -> Vec<PairReport> {
        let mut pairs: Vec<PairReport> = self
            .pairs
            .iter()
            .filter_map(|((kind, neighbour), evidence)| {
                let mut evidence = evidence.clone();
                evidence.decay(now_ms);
                Some(PairReport {
                    kind: Arc::clone(&self.kinds.get(kind)?.name),
                    neighbour: Arc::clone(&self.kinds.get(neighbour)?.name),
                    slowdown_ratio: evidence.slowdown_ln().exp(),
                    evidence: evidence.weight(),
                    score: evidence.score(),
                    counts: evidence.counts,
                })
            })
            .collect();
        pairs.sort_by(|a, b| {
            (b.counts, b.score)
                .partial_cmp(&(a.counts, a.score))
                .unwrap_or(std::cmp::Ordering::Equal)
        });
        pairs
    }

    /// The pairs that count, the most evident first, in at most [`SNAPSHOT_MAX_BYTES`] as JSON.
    pub fn snapshot(&self, now_ms: u64) -> Snapshot {
        let mut pairs: Vec<_> = self
            .pairs
            .iter()
            .filter(|(_, evidence)| evidence.counts)
            .filter_map(|((kind, neighbour), evidence)| {
                let mut evidence = evidence.clone();
                evidence.decay(now_ms);
                Some((
                    Arc::clone(&self.kinds.get(kind)?.name),
                    Arc::clone(&self.kinds.get(neighbour)?.name),
                    round(evidence.slowdown_ln()),
                    round(evidence.deviation()),
                    round(evidence.weight()),
                ))
            })
            .collect();
        pairs.sort_by(|a, b| (b.2 * b.4).total_cmp(&(a.2 * a.4)));
        let mut snapshot = Snapshot::default();
        let mut left_bytes = SNAPSHOT_MAX_BYTES - r#"{"pairs":[]}"#.len();
        for pair in pairs {
            let size_bytes = serde_json::to_string(&pair).map_or(usize::MAX, |text| text.len() + 1);
            if size_bytes <= left_bytes {
                left_bytes -= size_bytes;
                snapshot.pairs.push(pair);
            }
        }
        snapshot
    }

    /// Adds the pairs of a snapshot that was taken `age_ms` ago. Pairs with values that aren't
    /// possible are ignored.
    pub fn restore(&mut self, snapshot: &Snapshot, age_ms: u64, now_ms: u64) {
        let ratio = pair_evidence::decay_ratio(age_ms);
        for (kind, neighbour, slowdown_ln, deviation, evidence) in &snapshot.pairs {
            let is_possible = (0.0..=SAMPLE_LN_MAX).contains(slowdown_ln)
                && (0.0..=2.0 * SAMPLE_LN_MAX).contains(deviation)
                && (0.0..=1_000.0).contains(evidence);
            if !is_possible || self.pairs.len() >= PAIRS_MAX {
                continue;
            }
            let pair = (self.kind(kind, now_ms), self.kind(neighbour, now_ms));
            let restored =
                PairEvidence::restored(*slowdown_ln, *deviation, evidence * ratio, now_ms);
            self.pairs.insert(pair, restored);
            self.test(pair);
        }
    }
}

impl Segment {
    fn new(start_percent: u32, neighbours: Vec<KindId>) -> Self {
        Self {
            duration_ms: 0.0,
            start_percent,
            exposures_ms: Vec::new(),
            neighbours,
        }
    }

    fn close(&self, percent: f64) -> ClosedSegment {
        let exposures = self.exposures_ms.iter();
        ClosedSegment {
            rate_ln: (percent / self.duration_ms).ln(),
            percent,
            exposures: exposures
                .map(|(kind, ms)| (*kind, ms / self.duration_ms))
                .collect(),
        }
    }
}

/// Runs of one kind on a server at the replies before and after an interval.
struct Presence {
    kind: KindId,
    before: u32,
    after: u32,
    /// Share of the interval with the first of the runs that came in it.
    came_share: f64,
}

impl Presence {
    fn new(kind: KindId) -> Self {
        Self {
            kind,
            before: 0,
            after: 0,
            came_share: 0.0,
        }
    }
}

fn presence(
    before: &[(KindId, u32)],
    after: &[(KindId, u32)],
    listed: &[ListedRun],
    interval_ms: f64,
) -> Vec<Presence> {
    let mut presence: BTreeMap<KindId, Presence> = BTreeMap::new();
    for (kind, count) in before {
        presence
            .entry(*kind)
            .or_insert_with(|| Presence::new(*kind))
            .before = *count;
    }
    for (kind, count) in after {
        presence
            .entry(*kind)
            .or_insert_with(|| Presence::new(*kind))
            .after = *count;
    }
    for run in listed.iter().filter(|run| !run.track.is_listed) {
        let share = match run.present_for_ms {
            Some(present_ms) => (present_ms as f64 / interval_ms).min(1.0),
            None => 0.5,
        };
        let kind = presence
            .entry(run.kind)
            .or_insert_with(|| Presence::new(run.kind));
        kind.came_share = kind.came_share.max(share);
    }
    presence.into_values().collect()
}

/// The share of an interval with a neighbour of each kind, and the kinds of neighbours at its end.
fn neighbours(
    run: &ListedRun,
    elsewhere_before: &[KindId],
    presence: &[Presence],
) -> (Vec<(KindId, f64)>, Vec<KindId>) {
    let mut exposures = Vec::with_capacity(presence.len());
    let mut kinds = Vec::with_capacity(presence.len());
    for entry in presence {
        let own = match entry.kind == run.kind {
            true => run.unit_tasks,
            false => 0,
        };
        // A run that has ended was there until the reply, since servers report an end at once.
        let share = match entry.before > own {
            true => 1.0,
            false => entry.came_share,
        };
        if share > 0.0 {
            exposures.push((entry.kind, share));
        }
        if entry.after > own {
            kinds.push(entry.kind);
        }
    }
    for kind in &run.elsewhere {
        // Replies of other servers don't tell when in the interval a neighbour came.
        let share: f64 = match elsewhere_before.contains(kind) {
            true => 1.0,
            false => 0.5,
        };
        match exposures.iter_mut().find(|(known, _)| known == kind) {
            Some((_, known)) => *known = share.max(*known),
            None => exposures.push((*kind, share)),
        }
        if !kinds.contains(kind) {
            kinds.push(*kind);
        }
    }
    kinds.sort_unstable();
    (exposures, kinds)
}

fn add_to(values: &mut Vec<(KindId, f64)>, kind: KindId, value: f64) {
    match values.iter_mut().find(|(known, _)| *known == kind) {
        Some((_, known)) => *known += value,
        None => values.push((kind, value)),
    }
}

fn round(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
