//! Sound servers for the last attempt: during a wave of failures on several servers, a unit with
//! one attempt left is placed only on servers that are known to run tasks. See
//! docs/design/soundness.md for the rules and their reasons.

use std::collections::{BTreeMap, BTreeSet};

use camphorbeam_model::id;

use crate::decide::{ESTIMATE_ERROR_ALLOWANCE, NO_VALUE_AFTER_OBJECTIVES};
use crate::engine::{Engine, Now};
use crate::event::Event;
use crate::live_run::RunPhase;
use crate::open_job::{OpenJob, PlacementUnit};
use crate::settings;

/// Failures within this time of each other may belong to one wave.
const WAVE_WINDOW_MS: u64 = 3_000;

/// Number of distinct servers that fail in a wave.
const WAVE_SERVERS_MIN: usize = 3;

/// Number of distinct jobs that fail in a wave. A job that always fails may fail on many servers,
/// and is no evidence of faulty ones.
const WAVE_JOBS_MIN: usize = 2;

/// Shortest and longest time for which a run has to last to show that its server is sound. The
/// failed runs of the wave set the time in between; jobs that fail by themselves may run for longer
/// than a faulty server takes to fail a run.
const PROOF_MIN_MS: u64 = 300;
const PROOF_MAX_MS: u64 = 1_500;

/// How long a proof counts. Other servers may begin to fail within the same wave.
const PROOF_VALIDITY_MS: u64 = 4_000;

/// Which servers a unit may use, and which it uses first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Need {
    /// Any server.
    #[default]
    Any,
    /// Any server, unproven ones first: leaves the proven ones to last attempts, and proves others.
    UnprovenFirst,
    /// Proven servers only.
    Proven,
}

#[derive(Clone, Debug)]
struct Failure {
    server: id::BackendServerId,
    job: id::JobId,
    at_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Wave {
    first_ms: u64,
    /// When failures were last seen on enough servers.
    last_ms: u64,
    /// Longest time that a failed run of the wave has lasted.
    failed_run_ms: u64,
}

/// The current wave of failures, and which servers are proven. Has no effect in the mode
/// [`settings::LastAttempt::Any`].
#[derive(Clone, Debug, Default)]
pub struct Soundness {
    mode: settings::LastAttempt,
    /// Failures of the last `WAVE_WINDOW_MS` on servers that were not proven since.
    recent: Vec<Failure>,
    wave: Option<Wave>,
    /// When each server was last shown to be sound.
    proven_ms: BTreeMap<id::BackendServerId, u64>,
    /// When each server has last failed a run in the wave. Earlier proofs don't count any more.
    failed_ms: BTreeMap<id::BackendServerId, u64>,
    /// Jobs that have failed on a server that was proven, so that they may fail by themselves.
    doubtful_jobs: BTreeSet<id::JobId>,
    /// Units that wait for proven servers, for one event each.
    waiting: BTreeSet<(id::JobId, PlacementUnit)>,
}

impl Soundness {
    /// Creates the state of a scheduler that has seen no failure.
    pub fn new(mode: settings::LastAttempt) -> Self {
        Self {
            mode,
            ..Self::default()
        }
    }

    fn is_on(&self) -> bool {
        self.mode == settings::LastAttempt::Proven
    }

    /// Records a failed run that had lasted for `run_ms`.
    pub fn record_failure(
        &mut self,
        job: &id::JobId,
        server: &id::BackendServerId,
        run_ms: u64,
        now_ms: u64,
    ) {
        if !self.is_on() {
            return;
        }
        if self.is_proven(server, now_ms) {
            self.doubtful_jobs.insert(job.clone());
        }
        self.proven_ms.remove(server);
        self.failed_ms.insert(server.clone(), now_ms);
        self.recent.push(Failure {
            server: server.clone(),
            job: job.clone(),
            at_ms: now_ms,
        });
        self.recent
            .retain(|failure| now_ms < failure.at_ms + WAVE_WINDOW_MS);
        let servers: BTreeSet<_> = self.recent.iter().map(|failure| &failure.server).collect();
        let jobs: BTreeSet<_> = self.recent.iter().map(|failure| &failure.job).collect();
        if servers.len() < WAVE_SERVERS_MIN || jobs.len() < WAVE_JOBS_MIN {
            return;
        }
        let first_ms = self.recent.iter().map(|failure| failure.at_ms).min();
        let wave = self.wave.get_or_insert(Wave {
            first_ms: first_ms.unwrap_or(now_ms),
            last_ms: now_ms,
            failed_run_ms: 0,
        });
        wave.last_ms = now_ms;
        wave.failed_run_ms = wave.failed_run_ms.max(run_ms);
    }

    /// Records that a run has shown a server to be sound at `at_ms`, unless the server has failed
    /// since. Earlier failures there are no evidence of a wave any more.
    pub fn record_proof(&mut self, server: &id::BackendServerId, at_ms: u64) {
        let has_failed_since = || {
            let failed_ms = self.failed_ms.get(server);
            failed_ms.is_some_and(|failed_ms| at_ms < *failed_ms)
        };
        if !self.is_on() || has_failed_since() {
            return;
        }
        let proven_ms = self.proven_ms.entry(server.clone()).or_default();
        *proven_ms = at_ms.max(*proven_ms);
        self.recent
            .retain(|failure| &failure.server != server || failure.at_ms > at_ms);
    }

    /// Whether a job has failed on a proven server, so that it may fail by itself.
    pub fn is_doubtful(&self, job: &id::JobId) -> bool {
        self.doubtful_jobs.contains(job)
    }

    /// Whether a wave of failures is on at `now_ms`.
    pub fn has_wave(&self, now_ms: u64) -> bool {
        self.wave
            .is_some_and(|wave| now_ms < wave.last_ms + WAVE_WINDOW_MS)
    }

    /// Whether a server was shown to be sound since the first failure of the wave, and lately.
    pub fn is_proven(&self, server: &id::BackendServerId, now_ms: u64) -> bool {
        let proven_ms = self.proven_ms.get(server);
        self.wave.zip(proven_ms).is_some_and(|(wave, &proven_ms)| {
            proven_ms >= wave.first_ms && now_ms < proven_ms + PROOF_VALIDITY_MS
        })
    }

    /// When a run that has succeeded at `now_ms` had shown its server to be sound. A server may
    /// fail what it starts while earlier runs go on, so a long run proves nothing about its end.
    pub fn success_proof_ms(began_ms: u64, now_ms: u64) -> u64 {
        now_ms.min(began_ms + PROOF_MAX_MS)
    }

    /// For how long a run that began after the wave did has to last to prove its server.
    fn proof_ms(&self, began_ms: u64) -> Option<u64> {
        let wave = self.wave.filter(|wave| began_ms >= wave.first_ms)?;
        Some(wave.failed_run_ms.clamp(PROOF_MIN_MS, PROOF_MAX_MS))
    }

    /// Removes what is known about an ended job.
    pub fn forget(&mut self, job: &id::JobId) {
        self.doubtful_jobs.remove(job);
        self.waiting.retain(|(waiting, _)| waiting != job);
    }
}

impl Engine {
    /// Ends a wave that is over, and finds servers that are proven by runs in progress.
    pub(crate) fn update_soundness(&mut self, now: Now) {
        if self.soundness.wave.is_none() {
            return;
        }
        if !self.soundness.has_wave(now.ms) {
            self.soundness.wave = None;
            self.soundness.waiting.clear();
            self.soundness.failed_ms.clear();
            return;
        }
        let mut proofs: Vec<(id::BackendServerId, u64)> = Vec::new();
        for job in self.jobs.values() {
            // The members of a unit follow one another.
            let mut of_unit: Option<(PlacementUnit, Option<u64>)> = None;
            for (index, live) in &job.runs {
                let unit = job.unit_of(*index);
                let proof_due_ms = match of_unit {
                    Some((known, due_ms)) if known == unit => due_ms,
                    _ => self.proof_due_ms(job, unit),
                };
                of_unit = Some((unit, proof_due_ms));
                let server = self.servers.get(&live.server);
                let last_reply_ms = server.and_then(|server| server.last_reply_ms);
                if let (Some(due_ms), Some(at_ms)) = (proof_due_ms, last_reply_ms) {
                    if at_ms > due_ms {
                        proofs.push((live.server.clone(), due_ms));
                    }
                }
            }
        }
        for (server, at_ms) in proofs {
            self.soundness.record_proof(&server, at_ms);
        }
    }

    /// When a unit whose members are all present has run for long enough to prove their servers.
    fn proof_due_ms(&self, job: &OpenJob, unit: PlacementUnit) -> Option<u64> {
        let mut began_ms = 0;
        for member in unit.members() {
            // A gang begins with its last member.
            match job.runs.get(&member)?.phase {
                RunPhase::Present { since_ms } => began_ms = since_ms.max(began_ms),
                _ => return None,
            }
        }
        Some(began_ms + self.soundness.proof_ms(began_ms)?)
    }

    /// Which servers a unit may use at `now`.
    pub(crate) fn soundness_need(&self, id: &id::JobId, unit: PlacementUnit, now: Now) -> Need {
        if !self.soundness.has_wave(now.ms) {
            return Need::Any;
        }
        let job = &self.jobs[id];
        let step = job.step(unit.first);
        let failures = unit
            .members()
            .map(|member| job.progress.task(member).failures);
        let failures = failures.max().unwrap_or(0);
        let is_last_attempt = failures > 0
            && failures + 1 >= job.accepted.terms.attempts_max
            && !step.is_long_running;
        let waited_ms = now.ms.saturating_sub(job.accepted_ms);
        let run_ms = (step.estimate_ms as f64 * ESTIMATE_ERROR_ALLOWANCE) as u64;
        let can_wait =
            waited_ms + run_ms < job.objective_ms().saturating_mul(NO_VALUE_AFTER_OBJECTIVES);
        match is_last_attempt {
            true if can_wait && !self.soundness.is_doubtful(id) => Need::Proven,
            true => Need::Any,
            false => Need::UnprovenFirst,
        }
    }

    /// Reports a unit that needs proven servers and does not fit on them, once in a wave.
    pub(crate) fn report_wait_for_proven(&mut self, id: &id::JobId, unit: PlacementUnit, now: Now) {
        if self.soundness_need(id, unit, now) != Need::Proven
            || !self.soundness.waiting.insert((id.clone(), unit))
        {
            return;
        }
        let servers = self.servers.keys();
        let proven = servers.filter(|server| self.soundness.is_proven(server, now.ms));
        self.events.push(Event::WaitsForProven {
            job: id.clone(),
            first: unit.first,
            tasks: unit.count,
            proven: proven.count(),
        });
    }
}
