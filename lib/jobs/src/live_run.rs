//! Runs that may exist, as the engine believes.

use camphorbeam_model::{id, job};

/// How a run stands between its record and the proof that it is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// The order is not sent before its record is stored.
    AwaitingWrite {
        /// The generation of the job's progress that holds the record.
        generation: u64,
    },
    /// The order was sent; `retry_ms` says when to send it again without an answer.
    StartSent {
        /// When the first order was sent.
        since_ms: u64,
        /// When it is sent again; `None` while an answer may come.
        retry_ms: Option<u64>,
    },
    /// It is there; a hold sent after `since_ms` that does not list it proves that it is gone.
    Present {
        /// When this was learned.
        since_ms: u64,
    },
    /// It has to end; the stop is sent at `next_ms`.
    Stopping {
        /// When the stop is sent next; `None` while an answer may come.
        next_ms: Option<u64>,
    },
    /// The stop was accepted; a hold sent after `since_ms` that does not list it proves its end.
    AwaitingEnd {
        /// When this was learned.
        since_ms: u64,
    },
}

/// A run that may exist.
#[derive(Clone, Debug)]
pub struct LiveRun {
    /// Where.
    pub server: id::BackendServerId,
    /// Its number.
    pub run: id::Run,
    /// How it stands.
    pub phase: RunPhase,
    /// What it takes there.
    pub need: job::Resources,
    /// Newest known share of its work, 0 to 100.
    pub percent: u32,
    /// When `percent` last rose, or when the run became present.
    pub last_progress_ms: u64,
    /// Whether it goes on from a checkpoint.
    pub is_resumed: bool,
    /// When it became present, if it began its work then and not from a checkpoint.
    pub work_began_ms: Option<u64>,
    /// When its speed was last observed.
    pub speed_observed_ms: u64,
}

impl LiveRun {
    /// A run whose record is in `generation` of the job's progress.
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
            work_began_ms: None,
            speed_observed_ms: 0,
        }
    }

    /// A run that an earlier scheduler has recorded.
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

    /// Notes that it is there and begins its work.
    pub fn mark_present(&mut self, now_ms: u64) {
        self.phase = RunPhase::Present { since_ms: now_ms };
        self.last_progress_ms = now_ms;
        self.speed_observed_ms = now_ms;
        self.work_began_ms = (!self.is_resumed).then_some(now_ms);
    }

    /// Whether it works or is about to, and nobody has asked for its end.
    pub fn is_active(&self) -> bool {
        matches!(
            self.phase,
            RunPhase::AwaitingWrite { .. } | RunPhase::StartSent { .. } | RunPhase::Present { .. }
        )
    }
}
