//! Backend servers that crash and come back under a new id at the same address, by themselves or
//! because of a task.

use std::collections::BTreeMap;

use camphorbeam_model::{id, job};

use crate::{close_record, ModelServer, Simulation};

/// Time until a crashed server is back.
pub const RESTART_MS: u64 = 3_000;

/// Whether a process listens at the address of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// The server itself.
    Up,
    /// No process, until another server is started there, if any.
    Down {
        /// When the next server is started; `None` if the server is lost for good.
        back_at_ms: Option<u64>,
    },
    /// Another server.
    Replaced,
}

/// When a task crashes its server.
#[derive(Clone, Copy, Debug, Default)]
pub struct CrashTrigger {
    /// Run time after which the server crashes.
    pub run_time_ms: u64,
    /// Progress from which on it crashes.
    pub percent: f64,
}

/// A crash of a server.
#[derive(Clone, Debug)]
pub struct CrashRecord {
    /// Simulated time.
    pub at_ms: u64,
    /// The server.
    pub server: String,
    /// The task that caused it, if one did.
    pub cause: Option<job::TaskName>,
}

impl Simulation {
    /// Lets the first task of each step of a job crash the servers that run it.
    pub fn make_deadly(&mut self, name: &str, trigger: CrashTrigger) {
        self.make_task_deadly(name, 0, trigger);
    }

    /// Lets the tasks of a rank crash the servers that run them.
    pub fn make_task_deadly(&mut self, name: &str, rank: u32, trigger: CrashTrigger) {
        let id = id::JobId::new(name).unwrap();
        let behavior = self.task_behaviors.entry(id).or_default();
        behavior.deadly.insert(rank, trigger);
    }

    /// Crashes a server. `back_after_ms` later another one starts at its address, if given.
    pub fn crash_for_good_or(&mut self, name: &str, back_after_ms: Option<u64>) {
        self.end_life(name, None, back_after_ms);
    }

    fn end_life(&mut self, name: &str, cause: Option<job::TaskName>, back_after_ms: Option<u64>) {
        let now_ms = self.now_ms;
        let server = self.servers.get_mut(name).unwrap();
        server.life = Life::Down {
            back_at_ms: back_after_ms.map(|after_ms| now_ms + after_ms),
        };
        server.unacknowledged_ends.clear();
        for run in std::mem::take(&mut server.running).into_keys() {
            close_record(&mut self.run_records, &run, name, now_ms, None);
        }
        self.crash_records.push(CrashRecord {
            at_ms: now_ms,
            server: name.to_owned(),
            cause,
        });
        self.register();
    }

    /// Crashes the servers of tasks that do so, and starts the servers that are due to be back.
    pub(crate) fn advance_lives(&mut self) {
        let mut causes: BTreeMap<String, job::TaskName> = BTreeMap::new();
        for (name, server) in &self.servers {
            for (run, state) in &server.running {
                let behavior = self.task_behaviors.get(&run.task.job);
                let deadly = behavior.and_then(|known| known.deadly.get(&run.task.index.rank));
                let is_due = deadly.is_some_and(|trigger| {
                    state.run_time_ms >= trigger.run_time_ms as f64
                        && state.percent >= trigger.percent
                });
                if is_due {
                    causes.insert(name.clone(), run.task.clone());
                }
            }
        }
        for (name, cause) in causes {
            match self.keeps_ids {
                true => {
                    self.crash(&name);
                    self.crash_records.push(CrashRecord {
                        at_ms: self.now_ms,
                        server: name,
                        cause: Some(cause),
                    });
                }
                false => self.end_life(&name, Some(cause), Some(self.restart_ms)),
            }
        }
        let now_ms = self.now_ms;
        let is_back = |server: &ModelServer| matches!(server.life, Life::Down { back_at_ms: Some(at_ms) } if at_ms <= now_ms);
        let back: Vec<String> = self
            .servers
            .iter()
            .filter(|(_, server)| is_back(server))
            .map(|(name, _)| name.clone())
            .collect();
        for name in back {
            self.replace(&name);
        }
    }

    /// Starts another server at the address of `name`, as it is after a crash.
    pub fn replace(&mut self, name: &str) {
        let old = self.servers.get_mut(name).unwrap();
        old.life = Life::Replaced;
        let (base, number) = name.split_once('.').unwrap_or((name, "1"));
        let next = format!("{base}.{}", number.parse::<u32>().unwrap() + 1);
        let mut entry = old.entry.clone();
        entry.id = id::BackendServerId::new(&next).unwrap();
        entry.is_draining = false;
        let mut server = ModelServer::new(entry);
        server.incarnation = self.now_ms;
        server.clock_origin_ms = self.now_ms;
        self.servers.insert(next, server);
        self.register();
    }

    /// Whether the rule BUDGET is kept: no task is started three times more after three servers
    /// have crashed under it.
    pub fn assert_crash_budget(&self) {
        let mut crashes: BTreeMap<&job::TaskName, Vec<u64>> = BTreeMap::new();
        for record in &self.crash_records {
            if let Some(cause) = &record.cause {
                crashes.entry(cause).or_default().push(record.at_ms);
            }
        }
        for (task, at_ms) in crashes {
            let Some(third_ms) = at_ms.get(2) else {
                continue;
            };
            let is_later = |record: &&crate::RunRecord| {
                &record.name.task == task && record.started_at_ms > *third_ms
            };
            let later = self.run_records.iter().filter(is_later).count();
            assert!(
                later < 3,
                "{task} was started {later} times after three crashes\n{}",
                self.event_log(task)
            );
        }
    }
}
