//! The cases.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::deployment::{self, Deployment, KEY, OTHER_KEY};
use crate::record::Record;
use crate::workers::{Need, Worker};

/// `finish_s` of the settings.
const FINISH_S: f64 = 14.0;

/// What a task of an ordinary job takes.
const ORDINARY: Need = Need {
    cpu: 4_000,
    mem_mb: 4_096,
    gpu: 1,
};

/// Runs a case; returns whether the rule held.
pub fn run(case: &str, record: Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    match case {
        "past-occurrences" => past_occurrences(record, has_trouble),
        "lasting-job" => lasting_job(record, has_trouble),
        "lost-start" => lost_start(record, has_trouble),
        "three-losses" => three_losses(record, has_trouble),
        _ => Err(format!("there is no case {case}")),
    }
}

fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

fn sleep_until(record: &Record, second: f64) {
    let left_s = (second - record.seconds()).max(0.0);
    std::thread::sleep(Duration::from_secs_f64(left_s));
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

fn job_id(number: u64) -> String {
    format!("{:016x}", 0x5c0e_7a21_0000_0000 + number)
}

fn step(count: usize, need: Need, more: &str) -> String {
    let Need { cpu, mem_mb, gpu } = need;
    format!("{{\"count\":{count},\"cpu\":{cpu},\"mem_mb\":{mem_mb},\"gpu\":{gpu}{more}}}")
}

/// The tasks that run, by worker.
fn running(workers: &[Arc<Worker>]) -> Vec<String> {
    workers.iter().flat_map(|worker| worker.running()).collect()
}

/// Accelerators that are free on all workers that are up.
fn free_gpu(workers: &[Arc<Worker>]) -> u64 {
    let up = workers.iter().filter(|worker| worker.is_up());
    up.map(|worker| worker.capacity.gpu.saturating_sub(worker.used().gpu))
        .sum()
}

/// Ends a crash: the worker with this number starts again under its id and registers its new life.
fn bring_back(deployment: &Deployment, number: usize) {
    let worker = &deployment.workers[number];
    worker.restart();
    let entry = deployment::entry_of(number, worker);
    deployment.store.put("servers", &worker.id, &entry);
}

/// Two tenants hand in jobs of one class, 20 of them in 3 s. With the disruption, one of these 20, of
/// the second tenant, can never be done: its occurrences lie in the past, and no worker is large
/// enough. Judges the jobs of the first tenant.
fn past_occurrences(record: Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    const OCCURRENCES: u64 = 2_000_000;
    const OCCURRENCE_INTERVAL_MS: u64 = 1_000;
    const JOBS: u64 = 60;
    const JOB_INTERVAL_MS: u64 = 150;
    const HOPELESS: u64 = 30;
    const TASKS: usize = 2;
    let mut deployment = Deployment::start(Arc::clone(&record), 3, 6)?;
    sleep_ms(4_000);
    let accepted: Mutex<BTreeMap<String, String>> = Mutex::default();
    let estimate = ",\"estimate_ms\":500";
    let body = format!(
        "{{\"spec\":\"work_ms=500\",\"steps\":[{}]}}",
        step(TASKS, ORDINARY, estimate)
    );
    let need = Need {
        gpu: 64,
        ..ORDINARY
    };
    let first_ms = unix_ms() - OCCURRENCES * OCCURRENCE_INTERVAL_MS;
    let hopeless_body = format!(
        "{{\"spec\":\"work_ms=500\",\"steps\":[{}],\"repeat_count\":{OCCURRENCES},\"first_ms\":{first_ms},\"interval_ms\":{OCCURRENCE_INTERVAL_MS}}}",
        step(1, need, estimate)
    );
    std::thread::scope(|scope| {
        for number in 0..JOBS {
            let (deployment, accepted) = (&deployment, &accepted);
            let (record, body, hopeless_body) = (&record, &body, &hopeless_body);
            let id = job_id(number);
            let path = format!("/batches/{id}");
            let first = number as usize % 3;
            deployment.set_need(&id, 0, ORDINARY);
            scope.spawn(move || match number == HOPELESS {
                true if has_trouble => {
                    let is_accepted = deployment.submit(first, &path, OTHER_KEY, hopeless_body);
                    record.say(&format!(
                        "the job with past occurrences was accepted: {is_accepted}"
                    ));
                }
                true => {}
                false => {
                    if deployment.submit(first, &path, KEY, body) {
                        accepted.lock().unwrap().insert(id, path);
                    }
                }
            });
            sleep_ms(JOB_INTERVAL_MS);
        }
    });
    let accepted = accepted.into_inner().unwrap();
    let traffic_end_s = record.seconds();
    record.say(&format!(
        "traffic ends; the first tenant has {} accepted jobs",
        accepted.len()
    ));
    // What runs in the last three seconds of `finish_s`, and how much is free.
    let mut seen: Vec<String> = Vec::new();
    let mut free_min = u64::MAX;
    sleep_until(&record, traffic_end_s + FINISH_S - 3.0);
    while record.seconds() < traffic_end_s + FINISH_S {
        seen.extend(running(&deployment.workers));
        free_min = free_min.min(free_gpu(&deployment.workers));
        sleep_ms(20);
    }
    for index in 0..deployment.hosts.len() {
        let host = &deployment.hosts[index];
        let (is_ready, memory) = (deployment.is_ready(host), deployment.memory_mb(index));
        record.say(&format!(
            "{}: ready {is_ready}, memory {memory:?} MB",
            host.name
        ));
    }
    record.say(&format!(
        "processes that have ended by themselves: {:?}",
        deployment.ended()
    ));
    // Under half of the 48 accelerators were in use, which leaves room for each job many times over.
    let has_room = free_min > 24;
    let mut broken = 0;
    for (id, path) in &accepted {
        let tasks: Vec<String> = (0..TASKS).map(|rank| format!("{id}.0.0.{rank}")).collect();
        let is_done = tasks.iter().all(|task| record.is_done(task));
        if is_done || !has_room || tasks.iter().any(|task| seen.contains(task)) {
            continue;
        }
        broken += 1;
        if broken <= 3 {
            let state = deployment.state(0, path, KEY);
            record.say(&format!(
                "LOST: job {id}, asked for: {state:?}; for 3 s none of its tasks ran, {free_min} of 48 accelerators were free all the while"
            ));
        }
    }
    record.say(&format!(
        "{broken} of {} accepted jobs are lost",
        accepted.len()
    ));
    Ok(broken == 0)
}

/// A job of six tasks that last, one on each worker. With the disruption, one worker after the other
/// crashes and comes back. Judges the job.
fn lasting_job(record: Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    const ROUNDS: usize = 5;
    const DOWN_MS: u64 = 1_000;
    const INTERVAL_MS: u64 = 2_800;
    let deployment = Deployment::start(Arc::clone(&record), 3, 6)?;
    sleep_ms(4_000);
    let id = job_id(1);
    let path = format!("/batches/{id}");
    let count = deployment.workers.len();
    let step = step(
        count,
        ORDINARY,
        ",\"anti_affinity\":1,\"long_running\":true",
    );
    let body = format!("{{\"spec\":\"lasts\",\"steps\":[{step}]}}");
    deployment.set_need(&id, 0, ORDINARY);
    if !deployment.submit(0, &path, KEY, &body) {
        return Err("the job was not accepted".to_owned());
    }
    sleep_ms(3_000);
    let mut is_kept = true;
    for round in 1..=ROUNDS {
        for (number, worker) in deployment.workers.iter().enumerate() {
            if has_trouble {
                worker.crash();
            }
            sleep_ms(DOWN_MS);
            if has_trouble {
                bring_back(&deployment, number);
            }
            sleep_ms(INTERVAL_MS - DOWN_MS);
        }
        let state = deployment.state(round % 3, &path, KEY);
        let tasks = running(&deployment.workers).len();
        record.say(&format!(
            "after round {round}: state {state:?}, {tasks} of {count} tasks run"
        ));
        if state.as_deref() == Some("failed") {
            break;
        }
    }
    // No worker has crashed for longer than the avoidance of a machine or a lease lasts.
    sleep_ms(9_000);
    let (_, answer) = deployment.call(0, "GET", &path, KEY, "")?;
    let tasks = running(&deployment.workers).len();
    record.say(&format!(
        "9 s after the last crash: {answer}, {tasks} of {count} tasks run"
    ));
    if answer.contains("\"failed\"") {
        record.say("LOST: the job is shown as failed, though no run has ended as failed and nobody has cancelled it");
        is_kept = false;
    }
    Ok(is_kept)
}

/// A job of 24 tasks that last, on six workers. With the disruption, one worker crashes while it
/// handles a start, and comes back. Judges each task.
fn lost_start(record: Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    const DOWN_MS: u64 = 3_000;
    let deployment = Deployment::start(Arc::clone(&record), 3, 6)?;
    sleep_ms(4_000);
    let id = job_id(1);
    let path = format!("/batches/{id}");
    let count = 24;
    let step = step(count, ORDINARY, ",\"long_running\":true");
    let body = format!("{{\"spec\":\"lasts\",\"steps\":[{step}]}}");
    deployment.set_need(&id, 0, ORDINARY);
    let victim = Arc::clone(&deployment.workers[0]);
    if has_trouble {
        victim.crash_at_start(4);
    }
    if !deployment.submit(0, &path, KEY, &body) {
        return Err("the job was not accepted".to_owned());
    }
    sleep_ms(DOWN_MS);
    if has_trouble {
        if victim.will_crash() {
            return Err("the worker got too few starts to crash at one".to_owned());
        }
        bring_back(&deployment, 0);
    }
    // All is calm from now on. The rule looks at 3 s after 4 calm ones.
    sleep_ms(4_000);
    judge_tasks(&deployment, &id, count, 16.0)
}

/// Watches each task of a job that lasts for `watch_s`, all of them calm. Returns whether each has a
/// run, or has been without one for less than 3 s on end, or lacked room.
fn judge_tasks(
    deployment: &Deployment,
    id: &str,
    count: usize,
    watch_s: f64,
) -> Result<bool, String> {
    let record = &deployment.record;
    let end_s = record.seconds() + watch_s;
    let mut idle_s: BTreeMap<usize, f64> = BTreeMap::new();
    let mut longest_s: BTreeMap<usize, f64> = BTreeMap::new();
    let mut free_min = u64::MAX;
    while record.seconds() < end_s {
        let tasks = running(&deployment.workers);
        free_min = free_min.min(free_gpu(&deployment.workers));
        for rank in 0..count {
            let task = format!("{id}.0.0.{rank}");
            match tasks.contains(&task) {
                true => {
                    idle_s.remove(&rank);
                }
                false => {
                    let now_s = record.seconds();
                    let since_s = *idle_s.entry(rank).or_insert(now_s);
                    let longest = longest_s.entry(rank).or_default();
                    *longest = longest.max(now_s - since_s);
                }
            }
        }
        sleep_ms(20);
    }
    let state = deployment.state(0, &format!("/batches/{id}"), KEY);
    let capacity = 8 * deployment.workers.len();
    record.say(&format!(
        "state {state:?}, at least {free_min} of {capacity} accelerators were free"
    ));
    let mut is_kept = true;
    for (rank, seconds) in longest_s.iter().filter(|(_, seconds)| **seconds >= 3.0) {
        record.say(&format!(
            "LOST: task {id}.0.0.{rank} had no run for {seconds:.1} s on end, all of them calm"
        ));
        is_kept &= free_min < 2;
    }
    Ok(is_kept)
}

/// A job of eight tasks that last, on twelve workers. With the disruption, three workers are lost for
/// good, one after the other. Judges each task.
fn three_losses(record: Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    const LOSSES: usize = 3;
    const INTERVAL_MS: u64 = 12_000;
    let deployment = Deployment::start(Arc::clone(&record), 3, 12)?;
    sleep_ms(4_000);
    let id = job_id(1);
    let path = format!("/batches/{id}");
    let count = 8;
    let step = step(count, ORDINARY, ",\"long_running\":true");
    let body = format!("{{\"spec\":\"lasts\",\"steps\":[{step}]}}");
    deployment.set_need(&id, 0, ORDINARY);
    if !deployment.submit(0, &path, KEY, &body) {
        return Err("the job was not accepted".to_owned());
    }
    sleep_ms(3_000);
    for loss in 1..=LOSSES {
        if has_trouble {
            let workers = deployment.workers.iter();
            let busiest = workers.max_by_key(|worker| worker.running().len());
            let victim = busiest.ok_or("there are no workers")?;
            record.say(&format!("{} is lost for good", victim.id));
            victim.crash();
        }
        if loss < LOSSES {
            sleep_ms(INTERVAL_MS);
            let tasks = running(&deployment.workers).len();
            record.say(&format!("{tasks} of {count} tasks run"));
        }
    }
    // The disruption counts as over 4.82 s after the loss. The rule looks at 3 s after 4 calm ones.
    sleep_ms(9_000);
    judge_tasks(&deployment, &id, count, 22.0)
}
