//! What the crashes of backend servers say about a task that ran there. See
//! docs/design/crashes.md for the rules and their reasons.

use std::net::SocketAddr;

use camphorbeam_model::{fleet, id, job};

/// Number of crashes with a confirmed run below which a task is never given up. Fewer may not have
/// happened under the task.
const CONFIRMED_MIN: usize = 2;

/// Number of crashes below which a task is never given up. Two may meet a sound task by chance.
const CRASHES_MIN: usize = 3;

/// Sum of weights from which on a task with [`CRASHES_MIN`] crashes is given up: three crashes have
/// to point to it.
const WEIGHT_MIN: u32 = 5;

/// The same while servers are known to crash by themselves: four crashes have to point to it.
const DOUBTFUL_WEIGHT_MIN: u32 = 7;

/// Number of crashes at which a task is given up whatever else may explain them: two starts after
/// the third crash are allowed.
const CRASHES_MAX: usize = 5;

/// Number of starts after the third crash, whether or not they crash a server too.
const LATER_STARTS_MAX: u32 = 2;

/// Number of losses without proof from which on the next start is delayed.
const UNPROVEN_MAX: usize = 3;

/// Delay of that start; doubled with each further loss without proof.
const UNPROVEN_DELAY_MS: u64 = 15_000;

/// Upper bound on that delay.
const UNPROVEN_DELAY_MAX_MS: u64 = 60_000;

/// How likely a run is to have caused the loss of its server.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Blame {
    /// A task of another job has been found to be the cause.
    Cleared,
    /// Something else explains the loss better.
    Bystander,
    /// Tasks of several jobs explain it equally well.
    Shared,
    /// No other job explains it as well.
    Sole,
}

impl Blame {
    fn weight(self) -> u32 {
        match self {
            Self::Cleared | Self::Bystander => 0,
            Self::Shared => 1,
            Self::Sole => 2,
        }
    }

    /// The name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Cleared => "cleared",
            Self::Bystander => "bystander",
            Self::Shared => "shared",
            Self::Sole => "sole",
        }
    }
}

/// One life of a backend server: from the start of its process to the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ServerLife {
    /// Address on which the server accepted orders.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// The incarnation; `None` if the server has never replied.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<fleet::Incarnation>,
}

/// The loss of a server under a run of a task. Stored with the progress of the job.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct CrashEntry {
    /// Occurrence, step and rank of the task.
    #[serde(rename = "t")]
    pub(crate) task: (u32, u32, u32),
    /// The run.
    #[serde(rename = "r")]
    pub run: id::Run,
    /// The server.
    #[serde(rename = "s")]
    pub server: id::BackendServerId,
    /// The life of the server that has ended; `None` if the address isn't known.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub life: Option<ServerLife>,
    /// How likely the run is to have caused it.
    #[serde(rename = "b")]
    pub blame: Blame,
    /// Whether it is known that the server has crashed, and not only that it was out of reach.
    #[serde(rename = "p")]
    pub is_proven: bool,
    /// Whether the server has confirmed the start of the run.
    #[serde(rename = "c")]
    pub has_begun: bool,
    /// When it was recorded, in milliseconds since the Unix epoch.
    #[serde(rename = "u")]
    pub at_unix_ms: u64,
}

impl CrashEntry {
    /// Creates an entry of a loss without proof of a crash.
    pub fn new(
        task: job::TaskIndex,
        run: id::Run,
        server: id::BackendServerId,
        blame: Blame,
        at_unix_ms: u64,
    ) -> Self {
        Self {
            task: (task.occurrence, task.step, task.rank),
            run,
            server,
            life: None,
            blame,
            is_proven: false,
            has_begun: false,
            at_unix_ms,
        }
    }

    /// The task.
    pub fn task(&self) -> job::TaskIndex {
        let (occurrence, step, rank) = self.task;
        job::TaskIndex {
            occurrence,
            step,
            rank,
        }
    }
}

/// How the runs of a task are kept apart from other work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Isolation {
    /// Not at all.
    #[default]
    None,
    /// Nothing else is started on the server until the run has lasted for a short time.
    Probation,
    /// Nothing else is started on the server while the run is there.
    Exclusive,
}

/// The crash entries of one task.
#[derive(Clone, Debug, Default)]
pub struct Evidence<'a> {
    entries: Vec<&'a CrashEntry>,
}

impl<'a> Evidence<'a> {
    /// Selects the entries of `task`.
    pub fn of(entries: &'a [CrashEntry], task: job::TaskIndex) -> Self {
        let of_task = entries.iter().filter(|entry| entry.task() == task);
        Self {
            entries: of_task.collect(),
        }
    }

    /// The entries, in the order in which they were recorded.
    pub fn entries(&self) -> &[&'a CrashEntry] {
        &self.entries
    }

    /// The entries of servers that are known to have crashed.
    fn proven(&self) -> impl Iterator<Item = &'a CrashEntry> + '_ {
        self.entries.iter().copied().filter(|entry| entry.is_proven)
    }

    /// The entries that still count against the task.
    pub fn suspicions(&self) -> impl Iterator<Item = &'a CrashEntry> + '_ {
        let entries = self.entries.iter().copied();
        entries.filter(|entry| entry.blame != Blame::Cleared)
    }

    /// Number of crashes, also of those that another task has caused: more than one task may crash
    /// servers.
    pub fn crashes(&self) -> usize {
        self.proven().count()
    }

    /// Whether the task is given up: it was running on several servers as they crashed, and is the
    /// best explanation for that. `are_spontaneous` says that servers crash by themselves too.
    pub fn is_deadly(&self, are_spontaneous: bool) -> bool {
        let confirmed = self.proven().filter(|entry| entry.has_begun).count();
        let weight: u32 = self.proven().map(|entry| entry.blame.weight()).sum();
        let weight_min = match are_spontaneous {
            true => DOUBTFUL_WEIGHT_MIN,
            false => WEIGHT_MIN,
        };
        match self.crashes() {
            _ if confirmed < CONFIRMED_MIN => false,
            CRASHES_MAX.. => true,
            CRASHES_MIN.. => weight >= weight_min,
            _ => false,
        }
    }

    /// Whether the task is given up in place of another start after `last_run`, since it has been
    /// started often enough after its third crash.
    pub fn is_out_of_starts(&self, last_run: id::Run) -> bool {
        let mut confirmed = self.proven().filter(|entry| entry.has_begun);
        let third = confirmed.nth(CRASHES_MIN - 1);
        third.is_some_and(|third| last_run.0 >= third.run.0 + LATER_STARTS_MAX)
    }

    /// How the next run is kept apart from other work.
    pub fn isolation(&self) -> Isolation {
        let blames: Vec<Blame> = self.suspicions().map(|entry| entry.blame).collect();
        match blames.as_slice() {
            [] | [Blame::Bystander] => Isolation::None,
            [_] => Isolation::Probation,
            [_, _, ..] => Isolation::Exclusive,
        }
    }

    /// Until when the next start is delayed, in milliseconds since the Unix epoch, because several
    /// losses are not explained.
    pub fn delayed_until_unix_ms(&self) -> Option<u64> {
        let mut unproven = self.entries.iter().filter(|entry| !entry.is_proven);
        let newest_unix_ms = unproven.clone().map(|entry| entry.at_unix_ms).max()?;
        let surplus = unproven.by_ref().count().checked_sub(UNPROVEN_MAX)?;
        let doublings = surplus.min(8) as u32;
        let delay_ms = (UNPROVEN_DELAY_MS << doublings).min(UNPROVEN_DELAY_MAX_MS);
        Some(newest_unix_ms + delay_ms)
    }
}
