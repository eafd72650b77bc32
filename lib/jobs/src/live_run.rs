//! Runs that may exist on a backend server, and what the engine knows about them.

use camphorbeam_model::{id, job};

use crate::{interference, preemption};

/// Where a run is between its placement and the proof that it no longer exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// Placed; the start order is not sent before the placement is written to the store, since a
    /// successor has to know of every run that may exist.
    AwaitingWrite {
        /// The generation of the job's progress that contains the placement.
        generation: u64,
    },
    /// The start order may have been sent; its effect is unknown.
    StartSent {
        /// When the order was first due to be sent.
        since_ms: u64,
        /// When to send the order again; `None` until the first order has an outcome.
        retry_ms: Option<u64>,
    },
    /// The run exists on the server. If the reply to a hold that was sent after `since_ms` doesn't
    /// list the run, the run is gone.
    Present {
        /// When the scheduler learned this.
        since_ms: u64,
    },
    /// The run has to end; the stop order isn't accepted yet.
    Stopping {
        /// When to send the stop order; `None` while a reply to the last one may come.
        next_ms: Option<u64>,
    },
    /// The run is ending or has never started, for example because its stop was accepted. If the
    /// reply to a hold that was sent after `since_ms` doesn't list the run, the run is gone.
    AwaitingEnd {
        /// When the scheduler learned this.
        since_ms: u64,
    },
}

/// A run that may exist on a backend server.
#[derive(Clone, Debug)]
pub struct LiveRun {
    /// The backend server that the run was placed on.
    pub server: id::BackendServerId,
    /// Number of the run among the runs of its task.
    pub run: id::Run,
    /// Where the run is in its life cycle.
    pub phase: RunPhase,
    /// Resources that the run takes on the server.
    pub need: job::Resources,
    /// Progress in percent according to the newest report, 0 to 100.
    pub percent: u32,
    /// Whether the newest report says 100 percent, from which on a long-running task is available.
    pub is_available: bool,
    /// When `percent` last rose, or when the run became present if it hasn't risen.
    pub last_progress_ms: u64,
    /// Whether the run resumes from a checkpoint.
    pub is_resumed: bool,
    /// Whether a previous scheduler has placed the run.
    pub is_restored: bool,
    /// When the first start order was due to be sent; `None` before, and for a restored run.
    pub start_sent_ms: Option<u64>,
    /// Whether a server has shown the run to this scheduler.
    pub is_confirmed: bool,
    /// When the run became present, or was restored.
    pub first_present_ms: Option<u64>,
    /// When the run became present; `None` before, and for a run that resumes from a checkpoint or
    /// was restored, since the speed of such a run can't be computed from that time.
    pub present_since_ms: Option<u64>,
    /// Why the run was stopped.
    pub stop_reason: Option<&'static str>,
    /// When the last speed sample was taken from the run, or when the run became present.
    pub speed_sampled_ms: u64,
    /// Measurement of how neighbours change the progress of the run.
    pub interference: interference::RunTrack,
}

impl LiveRun {
    /// Creates a run whose placement is in `generation` of the job's progress.
    pub fn placed(
        server: id::BackendServerId,
        run: id::Run,
        need: job::Resources,
        generation: u64,
    ) -> Self {
        Self {
            server,
            run,
            phase: RunPhase::AwaitingWrite { generation },
            need,
            percent: 0,
            is_available: false,
            last_progress_ms: 0,
            is_resumed: false,
            is_restored: false,
            start_sent_ms: None,
            is_confirmed: false,
            first_present_ms: None,
            present_since_ms: None,
            stop_reason: None,
            speed_sampled_ms: 0,
            interference: interference::RunTrack::default(),
        }
    }

    /// Creates a run that a previous scheduler has placed. It counts as present until the reply to
    /// a hold shows otherwise.
    pub fn restored(
        server: id::BackendServerId,
        run: id::Run,
        need: job::Resources,
        now_ms: u64,
    ) -> Self {
        Self {
            phase: RunPhase::Present { since_ms: now_ms },
            last_progress_ms: now_ms,
            is_restored: true,
            first_present_ms: Some(now_ms),
            ..Self::placed(server, run, need, 0)
        }
    }

    /// Records that the run is present on its server.
    pub fn mark_present(&mut self, now_ms: u64) {
        self.phase = RunPhase::Present { since_ms: now_ms };
        self.is_confirmed = true;
        self.last_progress_ms = now_ms;
        self.speed_sampled_ms = now_ms;
        self.first_present_ms.get_or_insert(now_ms);
        self.present_since_ms = (!self.is_resumed).then_some(now_ms);
    }

    /// Time that the run has worked: since it was first seen, or what its reported progress amounts
    /// to if that is more, since a previous scheduler may have placed it long ago.
    pub fn worked_ms(&self, estimate_ms: u64, now_ms: u64) -> u64 {
        let seen_ms = self
            .first_present_ms
            .map_or(0, |since_ms| now_ms.saturating_sub(since_ms));
        seen_ms.max(estimate_ms.saturating_mul(u64::from(self.percent)) / 100)
    }

    /// Core-seconds of work that are lost if the run ends unfinished now. None of a long-running
    /// task, whose work has no end.
    pub fn lost_core_s(&self, step: &job::StepSpec, now_ms: u64) -> f64 {
        let worked_ms = self.worked_ms(step.estimate_ms, now_ms);
        let lost_ms = match step.is_long_running {
            true => 0,
            false => preemption::lost_ms(worked_ms, step.supports_checkpoints),
        };
        preemption::core_seconds(&self.need, lost_ms)
    }

    /// Whether the run is running or will run: its stop was not requested, and it isn't known to be
    /// ending.
    pub fn is_active(&self) -> bool {
        matches!(
            self.phase,
            RunPhase::AwaitingWrite { .. } | RunPhase::StartSent { .. } | RunPhase::Present { .. }
        )
    }
}
