//! Task state of one fake backend server: leases, fencing, execution and answers.

use std::collections::BTreeMap;
use std::sync::Arc;

use camphorbeam_backend::{orders, sync, task};
use camphorbeam_model::{id, task as task_model};

use crate::journal;

/// Run time of a task whose payload sets none, in milliseconds.
const DEFAULT_RUN_TIME_MS: u64 = 50;

/// Speed of a task that is not throttled, in thousandths.
const FULL_SPEED_PERMILLE: u64 = 1_000;

/// Behavior of the tasks of a request. The payload holds it as JSON.
#[derive(Clone, Copy, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct TaskBehavior {
    /// Run time in milliseconds on a server of speed ratio 1.0.
    #[serde(default)]
    pub run_time_ms: Option<u64>,
    /// Whether every task of the request fails once its run time is over.
    #[serde(default)]
    pub fails: bool,
    /// Whether every task of the request crashes its server once its run time is over. The server is
    /// back at once and knows nothing of before.
    #[serde(default)]
    pub crashes_server: bool,
    /// Minimum length of each member's part of the answer; shorter parts are padded.
    #[serde(default)]
    pub answer_bytes: usize,
}

/// State of one fake backend server.
#[derive(Debug)]
pub struct Tasks {
    /// ID of the server.
    pub server: id::BackendServerId,
    /// Random number that tells one start of the server from the next.
    pub incarnation: u64,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Maximum number of tasks that are reserved or running at the same time.
    pub slots: u32,
    /// Speed relative to a standard server, which has 1.0.
    pub speed_ratio: f64,
    /// Whether the server reports that it is leaving and refuses new tasks.
    pub is_leaving: bool,
    /// Whether the server refuses new tasks because it is leaving, but does not report that it is.
    pub leaves_silently: bool,
    /// Whether every task fails once its run time is over.
    pub fails_everything: bool,
    /// Highest epoch of all orders so far.
    highest_epoch: id::Epoch,
    /// Number of the latest change of a task or of the server.
    last_event: u64,
    tasks: BTreeMap<task_model::TaskKey, Task>,
    journal: journal::Journal,
}

#[derive(Debug)]
struct Task {
    /// `None` if the task was stopped before its reservation arrived.
    spec: Option<task::TaskSpec>,
    state: task::TaskState,
    has_started: bool,
    /// Whether a sync has released the task. It is then no longer listed, and it is removed once
    /// its lease has expired.
    is_released: bool,
    lease_until_ms: u64,
    /// Value of the server's `last_event` when the task last changed.
    changed_in_event: u64,
    /// Remaining run time at full speed on a server of speed ratio 1.0.
    remaining_work_ms: f64,
    /// Time up to which progress has been subtracted from `remaining_work_ms`.
    advanced_until_ms: u64,
    speed_permille: u64,
    /// Part of the answer; empty until the task finishes and after it is released.
    answer: Vec<u8>,
}

/// Returns the part of the answer that the task `key` produces: its key, a digest of the payload,
/// and padding up to `answer_bytes`.
pub fn answer_part(key: &task_model::TaskKey, payload: &str, answer_bytes: usize) -> Vec<u8> {
    let digest = blake3::hash(payload.as_bytes()).to_hex();
    let mut part = format!("{key} {digest}\n").into_bytes();
    while part.len() < answer_bytes {
        part.push(b'.');
    }
    part
}

/// Reads the behavior from a payload. A payload that is not such JSON gives the default behavior.
pub fn task_behavior(payload: &str) -> TaskBehavior {
    serde_json::from_str(payload).unwrap_or_default()
}

impl Tasks {
    /// Creates a server without tasks and records its start in the journal.
    pub fn new(
        server: id::BackendServerId,
        incarnation: u64,
        accelerators: u32,
        slots: u32,
        speed_ratio: f64,
        journal: journal::Journal,
    ) -> Self {
        let tasks = Self {
            server,
            incarnation,
            accelerators,
            slots,
            speed_ratio,
            is_leaving: false,
            leaves_silently: false,
            fails_everything: false,
            highest_epoch: id::Epoch(0),
            last_event: 0,
            tasks: BTreeMap::new(),
            journal,
        };
        tasks.write_journal(journal::Event::ServerStarted, None, None);
        tasks
    }

    fn write_journal(
        &self,
        event: journal::Event,
        key: Option<&task_model::TaskKey>,
        spec: Option<&task::TaskSpec>,
    ) {
        self.journal.push(journal::Line {
            at_unix_ms: camphorbeam_clock::Clock::system().unix_ms(),
            server: self.server.clone(),
            event,
            task: key.cloned(),
            idempotent: spec.is_some_and(|spec| spec.idempotent),
            gang_size: spec.map_or(0, |spec| spec.members.len()),
            epoch: self.highest_epoch,
        });
    }

    /// Refuses an epoch below the highest one, and otherwise records it as the highest.
    fn check_epoch(&mut self, epoch: id::Epoch) -> Result<(), orders::OrderRefusal> {
        match epoch < self.highest_epoch {
            true => Err(orders::OrderRefusal::StaleEpoch {
                highest: self.highest_epoch,
            }),
            false => {
                self.highest_epoch = epoch;
                Ok(())
            }
        }
    }

    /// Raises the highest known epoch, so that orders of lower epochs are refused, and lists all
    /// tasks except released ones and those that were stopped before their reservation arrived.
    ///
    /// # Errors
    ///
    /// Refuses a stale epoch, as every order does.
    pub fn fence(
        &mut self,
        request: &orders::FenceRequest,
        now_ms: u64,
    ) -> Result<orders::Inventory, orders::OrderRefusal> {
        self.check_epoch(request.epoch)?;
        let listed = self.tasks.iter().filter_map(|(key, task)| {
            let spec = task.spec.as_ref().filter(|_| !task.is_released)?;
            Some(task::ListedTask {
                status: task.status(key),
                members: spec.members.clone(),
            })
        });
        Ok(orders::Inventory {
            incarnation: self.incarnation,
            server_now_ms: now_ms,
            last_event: self.last_event,
            is_leaving: self.is_leaving,
            accelerators: self.accelerators,
            slots: self.slots,
            tasks: listed.collect(),
        })
    }

    /// Reserves accelerators for a task. Repeating the order has no further effect.
    ///
    /// # Errors
    ///
    /// Refuses a stale epoch, an expired lease, a task that has already ended, accelerators that
    /// are taken or do not exist, a new task if no slot is free, and any new task once the server
    /// is leaving.
    pub fn reserve(
        &mut self,
        request: &orders::ReserveRequest,
        now_ms: u64,
    ) -> Result<task::TaskStatus, orders::OrderRefusal> {
        self.check_epoch(request.epoch)?;
        let key = &request.task.key;
        if let Some(existing) = self.tasks.get(key) {
            return match existing.state {
                task::TaskState::Reserved | task::TaskState::Running => Ok(existing.status(key)),
                _ => Err(orders::OrderRefusal::UnknownTask),
            };
        }
        self.check_capacity(request, now_ms)?;
        // A checkpoint holds the completed work in milliseconds.
        let completed_work_ms: f64 = request
            .task
            .resume_from
            .as_ref()
            .and_then(|text| text.parse().ok())
            .unwrap_or(0.0);
        let run_time_ms = task_behavior(&request.task.payload)
            .run_time_ms
            .unwrap_or(DEFAULT_RUN_TIME_MS);
        self.last_event += 1;
        let task = Task {
            spec: Some(request.task.clone()),
            state: task::TaskState::Reserved,
            has_started: false,
            is_released: false,
            lease_until_ms: request.lease_until_server_ms,
            changed_in_event: self.last_event,
            remaining_work_ms: (run_time_ms as f64 - completed_work_ms).max(0.0),
            advanced_until_ms: now_ms,
            speed_permille: FULL_SPEED_PERMILLE,
            answer: Vec::new(),
        };
        let status = task.status(key);
        self.tasks.insert(key.clone(), task);
        self.write_journal(journal::Event::Reserved, Some(key), Some(&request.task));
        Ok(status)
    }

    fn check_capacity(
        &self,
        request: &orders::ReserveRequest,
        now_ms: u64,
    ) -> Result<(), orders::OrderRefusal> {
        let requested = &request.task.accelerators;
        let open_tasks = || self.tasks.values().filter(|task| !task.state.is_ended());
        let is_held = |number: &u32| {
            open_tasks()
                .filter_map(|task| task.spec.as_ref())
                .any(|spec| spec.accelerators.contains(number))
        };
        match () {
            () if request.lease_until_server_ms <= now_ms => Err(orders::OrderRefusal::Expired),
            () if self.is_leaving || self.leaves_silently => Err(orders::OrderRefusal::Leaving),
            () if requested.iter().any(|number| *number >= self.accelerators) => {
                Err(orders::OrderRefusal::Invalid {
                    reason: format!("there are {} accelerators", self.accelerators),
                })
            }
            () if open_tasks().count() >= self.slots as usize || requested.iter().any(is_held) => {
                Err(orders::OrderRefusal::Occupied)
            }
            () => Ok(()),
        }
    }

    /// Starts a reserved task. Repeating the order has no further effect.
    ///
    /// # Errors
    ///
    /// Refuses a stale epoch, an expired lease, and a task that is neither reserved nor running.
    pub fn start(
        &mut self,
        request: &orders::StartRequest,
        now_ms: u64,
    ) -> Result<task::TaskStatus, orders::OrderRefusal> {
        self.check_epoch(request.epoch)?;
        let event = self.last_event + 1;
        let task = self
            .tasks
            .get_mut(&request.key)
            .ok_or(orders::OrderRefusal::UnknownTask)?;
        match task.state {
            _ if request.lease_until_server_ms <= now_ms => {
                return Err(orders::OrderRefusal::Expired)
            }
            task::TaskState::Running => return Ok(task.status(&request.key)),
            task::TaskState::Reserved => {}
            _ => return Err(orders::OrderRefusal::UnknownTask),
        }
        task.state = task::TaskState::Running;
        task.has_started = true;
        task.advanced_until_ms = now_ms;
        task.changed_in_event = event;
        let status = task.status(&request.key);
        let spec = task.spec.clone();
        self.last_event = event;
        self.write_journal(journal::Event::Started, Some(&request.key), spec.as_ref());
        Ok(status)
    }

    /// Stops a task. An unknown task is recorded as stopped, so that a reservation that arrives
    /// late is refused.
    ///
    /// # Errors
    ///
    /// Refuses a stale epoch.
    pub fn stop(
        &mut self,
        request: &orders::StopRequest,
        now_ms: u64,
    ) -> Result<task::TaskStatus, orders::OrderRefusal> {
        self.check_epoch(request.epoch)?;
        self.advance(now_ms);
        let key = &request.key;
        if !self.tasks.contains_key(key) {
            let tombstone = Task::tombstone(request.lease_until_server_ms);
            self.tasks.insert(key.clone(), tombstone);
        }
        let is_open = self
            .tasks
            .get(key)
            .is_some_and(|task| !task.state.is_ended());
        if is_open {
            let checkpoint = self.checkpoint(key, request.with_checkpoint);
            let state = task::TaskState::Stopped { checkpoint };
            self.end(key, state, journal::Event::Stopped);
        }
        let task = self.tasks.get_mut(key);
        let task = task.ok_or(orders::OrderRefusal::UnknownTask)?;
        task.lease_until_ms = task.lease_until_ms.max(request.lease_until_server_ms);
        Ok(task.status(key))
    }

    /// Returns the checkpoint of a task, which holds its completed work in milliseconds. There is
    /// one if it is requested and the task supports it and has started.
    fn checkpoint(&self, key: &task_model::TaskKey, is_requested: bool) -> Option<Arc<str>> {
        let task = self.tasks.get(key)?;
        let spec = task.spec.as_ref()?;
        let is_possible = is_requested && spec.checkpointable && task.has_started;
        let total_ms = task_behavior(&spec.payload)
            .run_time_ms
            .unwrap_or(DEFAULT_RUN_TIME_MS);
        let completed_work_ms = total_ms as f64 - task.remaining_work_ms;
        is_possible.then(|| Arc::from(completed_work_ms.to_string()))
    }

    /// Sets the speed of a running task.
    ///
    /// # Errors
    ///
    /// Refuses a stale epoch and a task that is not running.
    pub fn throttle(
        &mut self,
        request: &orders::ThrottleRequest,
        now_ms: u64,
    ) -> Result<task::TaskStatus, orders::OrderRefusal> {
        self.check_epoch(request.epoch)?;
        self.advance(now_ms);
        match self.tasks.get_mut(&request.key) {
            Some(task) if task.state == task::TaskState::Running => {
                task.speed_permille = u64::from(request.speed_permille);
                Ok(task.status(&request.key))
            }
            _ => Err(orders::OrderRefusal::UnknownTask),
        }
    }

    /// First half of a sync, before it waits for events: renews the leases of tasks that have not
    /// ended, releases tasks, and removes released tasks whose leases have expired.
    ///
    /// # Errors
    ///
    /// Refuses a stale epoch.
    pub fn renew(
        &mut self,
        request: &sync::SyncRequest,
        now_ms: u64,
    ) -> Result<(), orders::OrderRefusal> {
        self.check_epoch(request.epoch)?;
        self.advance(now_ms);
        for (key, task) in &mut self.tasks {
            if !task.state.is_ended() && !request.unrenewed.contains(key) {
                task.lease_until_ms = task.lease_until_ms.max(request.lease_until_server_ms);
            }
        }
        for key in &request.released {
            if let Some(task) = self.tasks.get_mut(key).filter(|task| task.state.is_ended()) {
                task.is_released = true;
                task.answer.clear();
            }
        }
        self.tasks
            .retain(|_, task| !task.is_released || task.lease_until_ms > now_ms);
        Ok(())
    }

    /// Returns the number of the latest change of a task or of the server.
    pub fn last_event(&self) -> u64 {
        self.last_event
    }

    /// Second half of a sync, after its wait: returns the tasks that have changed after the event
    /// `after_event` of the request.
    ///
    /// # Errors
    ///
    /// Refuses if an order of a higher epoch has arrived during the wait.
    pub fn sync_reply(
        &mut self,
        request: &sync::SyncRequest,
        now_ms: u64,
    ) -> Result<sync::SyncReply, orders::OrderRefusal> {
        self.check_epoch(request.epoch)?;
        let changed = self
            .tasks
            .iter()
            .filter(|(_, task)| task.changed_in_event > request.after_event && !task.is_released)
            .map(|(key, task)| task.status(key))
            .collect();
        let busy = self
            .tasks
            .values()
            .filter(|task| task.state == task::TaskState::Running)
            .filter_map(|task| task.spec.as_ref())
            .map(|spec| spec.accelerators.len())
            .sum::<usize>();
        Ok(sync::SyncReply {
            incarnation: self.incarnation,
            server_now_ms: now_ms,
            last_event: self.last_event,
            is_leaving: self.is_leaving,
            busy_accelerators: u32::try_from(busy).unwrap_or(u32::MAX),
            changed,
        })
    }

    /// Returns the answer of a finished task.
    pub fn answer(&self, key: &task_model::TaskKey) -> Option<Vec<u8>> {
        self.tasks
            .get(key)
            .filter(|task| matches!(task.state, task::TaskState::Finished { .. }))
            .map(|task| task.answer.clone())
    }

    /// Makes the server report that it is leaving.
    pub fn leave(&mut self) {
        self.is_leaving = true;
        self.last_event += 1;
    }

    /// Advances all tasks to `now_ms` and ends those that are done or whose lease has expired.
    /// Returns whether any task has ended.
    pub fn advance(&mut self, now_ms: u64) -> bool {
        let before = self.last_event;
        let mut done = Vec::new();
        let mut lapsed = Vec::new();
        for (key, task) in &mut self.tasks {
            if task.state.is_ended() {
                continue;
            }
            task.advance_to(now_ms, self.speed_ratio);
            match task.state {
                task::TaskState::Running if task.remaining_work_ms <= 0.0 => done.push(key.clone()),
                _ if task.lease_until_ms <= now_ms => lapsed.push(key.clone()),
                _ => {}
            }
        }
        for key in done {
            self.complete(&key);
        }
        for key in lapsed {
            self.end(&key, task::TaskState::Lapsed, journal::Event::Lapsed);
        }
        self.last_event != before
    }

    fn restart(&mut self) {
        self.tasks.clear();
        self.incarnation += 1;
        self.highest_epoch = id::Epoch(0);
        self.last_event = 0;
        self.write_journal(journal::Event::ServerStarted, None, None);
    }

    fn complete(&mut self, key: &task_model::TaskKey) {
        let Some(task) = self.tasks.get_mut(key) else {
            return;
        };
        let payload = task
            .spec
            .as_ref()
            .map_or_else(|| Arc::from(""), |spec| Arc::clone(&spec.payload));
        let behavior = task_behavior(&payload);
        if behavior.crashes_server {
            self.restart();
            return;
        }
        if behavior.fails || self.fails_everything {
            let reason = "the task exited with status 1".to_owned();
            self.end(
                key,
                task::TaskState::Failed { reason },
                journal::Event::Failed,
            );
            return;
        }
        task.answer = answer_part(key, &payload, behavior.answer_bytes);
        let state = task::TaskState::Finished {
            digest: Arc::from(blake3::hash(&task.answer).to_hex().as_str()),
            bytes: task.answer.len() as u64,
        };
        self.end(key, state, journal::Event::Finished);
    }

    fn end(&mut self, key: &task_model::TaskKey, state: task::TaskState, event: journal::Event) {
        self.last_event += 1;
        let Some(task) = self.tasks.get_mut(key) else {
            return;
        };
        task.state = state;
        task.changed_in_event = self.last_event;
        let spec = task.spec.clone();
        self.write_journal(event, Some(key), spec.as_ref());
    }
}

impl Task {
    /// Marks a task that was stopped before its reservation arrived, so that it can't be reserved.
    fn tombstone(lease_until_ms: u64) -> Self {
        Self {
            spec: None,
            state: task::TaskState::Stopped { checkpoint: None },
            has_started: false,
            is_released: false,
            lease_until_ms,
            changed_in_event: 0,
            remaining_work_ms: 0.0,
            advanced_until_ms: 0,
            speed_permille: FULL_SPEED_PERMILLE,
            answer: Vec::new(),
        }
    }

    fn status(&self, key: &task_model::TaskKey) -> task::TaskStatus {
        task::TaskStatus {
            key: key.clone(),
            state: self.state.clone(),
            has_started: self.has_started,
        }
    }

    fn advance_to(&mut self, now_ms: u64, speed_ratio: f64) {
        if self.state != task::TaskState::Running {
            return;
        }
        let elapsed_ms = now_ms.saturating_sub(self.advanced_until_ms) as f64;
        let speed_share = self.speed_permille as f64 / FULL_SPEED_PERMILLE as f64;
        self.remaining_work_ms -= elapsed_ms * speed_ratio * speed_share;
        self.advanced_until_ms = now_ms;
    }
}
