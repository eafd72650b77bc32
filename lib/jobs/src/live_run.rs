//! Runs that may exist on a backend server, and what the engine knows about them.

use camphorbeam_model::{id, job};

/// Where a run is between its placement and the proof that it no longer exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// Placed, but the start order isn't sent before the placement is stored: a successor has to
    /// know of every run that may exist.
    AwaitingWrite {
        /// The generation of the job's progress that contains the placement.
        generation: u64,
    },
    /// The start order was sent; its effect is unknown.
    StartSent {
        /// When the order was first sent.
        since_ms: u64,
        /// When to send it again; `None` while the first order is unanswered.
        retry_ms: Option<u64>,
    },
    /// The run exists on the server. If the reply to a hold that was sent after `since_ms` doesn't
    /// list it, it is gone.
    Present {
        /// When the scheduler learned this.
        since_ms: u64,
    },
    /// The run has to end; the stop order isn't accepted yet.
    Stopping {
        /// When to send the stop order; `None` while an answer to the last one may come.
        next_ms: Option<u64>,
    },
    /// The run is ending or has never started, for example because its stop was accepted. If the
    /// reply to a hold that was sent after `since_ms` doesn't list it, it is gone.
    AwaitingEnd {
        /// When the scheduler learned this.
        since_ms: u64,
    },
}

/// A run that may exist on a backend server.
#[derive(Clone, Debug)]
pub struct LiveRun {
    /// The backend server that it was placed on.
    pub server: id::BackendServerId,
    /// Number of the run among the runs of its task.
    pub run: id::Run,
    /// Where it is in its life cycle.
    pub phase: RunPhase,
    /// Resources that it takes on the server.
    pub need: job::Resources,
    /// Share of its work that is done by the newest report, 0 to 100.
    pub percent: u32,
    /// When `percent` last rose, or when the run became present if it hasn't risen.
    pub last_progress_ms: u64,
    /// Whether it resumes from a checkpoint.
    pub is_resumed: bool,
    /// When it became present; `None` before, and for a run that resumes from a checkpoint or was
    /// restored, since its speed can't be told from that time.
    pub present_since_ms: Option<u64>,
    /// When its speed was last observed.
    pub speed_sampled_ms: u64,
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
            last_progress_ms: 0,
            is_resumed: false,
            present_since_ms: None,
            speed_sampled_ms: 0,
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
            ..Self::placed(server, run, need, 0)
        }
    }

    /// Records that the run is on its server and begins its work.
    pub fn mark_present(&mut self, now_ms: u64) {
        self.phase = RunPhase::Present { since_ms: now_ms };
        self.last_progress_ms = now_ms;
        self.speed_sampled_ms = now_ms;
        self.present_since_ms = (!self.is_resumed).then_some(now_ms);
    }

    /// Whether it runs or is to run: neither its stop was requested nor is it known to end.
    pub fn is_active(&self) -> bool {
        matches!(
            self.phase,
            RunPhase::AwaitingWrite { .. } | RunPhase::StartSent { .. } | RunPhase::Present { .. }
        )
    }
}
