//! The cases. Each starts a deployment, brings about its disruption and checks one rule by what
//! callers and backend servers have seen.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::backend::{Health, Plan};
use crate::deployment::{Account, Deployment, Queue, ACCOUNT};
use crate::json::{self, Value};
use crate::record::Record;

const SERVICE: &str = "render";

/// `finish_s` of the settings: time from the end of the traffic until jobs are asked for.
const FINISH: Duration = Duration::from_secs(14);

/// Time for which a job has to have nothing running.
const IDLE: Duration = Duration::from_secs(3);

pub enum Verdict {
    Held(String),
    Broken(String),
}

pub struct Case {
    run: fn(&Path, Record, bool) -> Result<Verdict, String>,
}

impl Case {
    pub fn named(name: &str) -> Option<Self> {
        let run = match name {
            "account-name" => account_name,
            "waiting-number" => waiting_number,
            "other-kind" => other_kind,
            "lowered-attempts" => lowered_attempts,
            _ => return None,
        };
        Some(Self { run })
    }

    pub fn run(&self, root: &Path, record: Record, has_trouble: bool) -> Result<Verdict, String> {
        (self.run)(root, record, has_trouble)
    }
}

fn queue(name: &'static str, priority: u64, max_attempts: u64) -> Queue {
    Queue {
        name,
        priority,
        max_attempts,
    }
}

/// Number of servers in a rack.
const RACK: usize = 8;

/// `count` backend servers in racks. The labels are the kind and the rack; those in
/// `special` have the kind `b`, the others `a`.
fn servers(count: usize, special: &[usize]) -> Vec<Plan> {
    let plan = |number: usize| Plan {
        id: format!("i-{:08x}", 0x7f3a_0000_u32 + number as u32),
        zone: ["zone-a", "zone-b", "zone-c"][number % 3].to_owned(),
        labels: vec![
            if special.contains(&number) { "b" } else { "a" }.to_owned(),
            format!("r1-{}", number / RACK),
        ],
    };
    (0..count).map(plan).collect()
}

/// A step of equal tasks. `label` is a label that the server must have; empty for none.
fn step(count: u64, cpu: u64, work_ms: u64, label: &str) -> Value {
    let mut step = std::collections::BTreeMap::from([
        ("count".to_owned(), Value::from(count)),
        ("cpu".to_owned(), cpu.into()),
        ("mem_mb".to_owned(), 256_u64.into()),
        ("estimate_ms".to_owned(), work_ms.into()),
    ]);
    if !label.is_empty() {
        step.insert("requirements".to_owned(), label.into());
    }
    Value::Map(step)
}

fn job(payload: &str, steps: Vec<Value>) -> Value {
    json::map([("spec", payload.into()), ("steps", steps.into())])
}

fn wait(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// Waits until `is_over`, for at most `seconds`; returns whether it is.
fn wait_for(seconds: f64, is_over: impl Fn() -> bool) -> bool {
    let end = std::time::Instant::now() + Duration::from_secs_f64(seconds);
    while std::time::Instant::now() < end {
        if is_over() {
            return true;
        }
        wait(0.05);
    }
    is_over()
}

/// A configuration with a client account whose name has spaces has to come into force like any other.
fn account_name(root: &Path, record: Record, has_trouble: bool) -> Result<Verdict, String> {
    /// `config_apply_ms`, and a second.
    const APPLIED_S: f64 = 3.0;
    const KEPT: Account = Account {
        name: ACCOUNT.name,
        keys: &["key-1"],
    };
    const ADDED: Account = Account {
        name: "Sharkawy & Sons",
        keys: &["key-3"],
    };
    let queues = [queue("batch", 2, 4)];
    let deployment = Deployment::start(root, record, SERVICE, &queues, servers(10, &[]))?;
    let (fleet, record) = (&deployment.fleet, &deployment.record);
    let hosts = 0..deployment.host_count();
    let body = job("work_ms=1000", vec![step(1, 1_000, 1_000, "")]).to_string();
    // Makes a call at each host and returns the statuses.
    let statuses = |key: &str, method: &str, name: &str, body: &str| -> Vec<u16> {
        let path = |host: usize| match method {
            "POST" => format!("/batch/5c0e7a21d94b{name}{host}"),
            _ => format!("/{name}/"),
        };
        let answers = hosts.clone();
        let answers =
            answers.map(|host| deployment.request_at(host, key, method, &path(host), body));
        answers
            .map(|answer| answer.map_or(0, |answer| answer.status))
            .collect()
    };
    let before = statuses("key-2", "POST", "600", &body);
    if before.iter().any(|status| !(200..300).contains(status)) {
        return Err(format!("calls before the change got {before:?}"));
    }
    // Takes a key away, and adds an account.
    let accounts: &[Account] = if has_trouble { &[KEPT, ADDED] } else { &[KEPT] };
    deployment.configure(2, &queues, accounts);
    wait(APPLIED_S);
    let revoked = statuses("key-2", "POST", "610", &body);
    let added = match has_trouble {
        true => statuses("key-3", "POST", "620", &body),
        false => Vec::new(),
    };
    // Adds a route.
    deployment.configure(3, &[queues[0].clone(), queue("late", 1, 4)], accounts);
    wait(APPLIED_S);
    let late = statuses("key-1", "GET", "late", "");
    wait(3.0);
    let count = |statuses: &[u16], is_old: fn(u16) -> bool| {
        statuses.iter().filter(|status| is_old(**status)).count()
    };
    let run = hosts
        .clone()
        .filter(|host| !fleet.tasks_of(&format!("5c0e7a21d94b610{host}")).is_empty());
    let summary = format!(
        "of {} hosts {} accept a key that was taken away and {} refuse one that was added, {} don't \
         know a route that was added by the next version; {} jobs with the key that was taken away \
         have run",
        hosts.len(),
        count(&revoked, |status| (200..300).contains(&status)),
        count(&added, |status| status == 401),
        count(&late, |status| status == 404),
        run.count()
    );
    record.line(&summary);
    let old = count(&revoked, |status| (200..300).contains(&status))
        + count(&added, |status| status == 401)
        + count(&late, |status| status == 404);
    match old {
        0 => Ok(Verdict::Held(summary)),
        _ => Ok(Verdict::Broken(summary)),
    }
}

/// The jobs that have not ended and of which no task runs for `IDLE` from now on.
fn idle_jobs(deployment: &Deployment, queue: &str, jobs: &[String]) -> Vec<String> {
    let is_open = |id: &String| {
        let answer = deployment.job_state(queue, id);
        answer.is_none_or(|answer| matches!(answer.state(), "" | "queued" | "running"))
    };
    let mut idle: Vec<String> = jobs.iter().filter(|id| is_open(id)).cloned().collect();
    let end = std::time::Instant::now() + IDLE;
    while std::time::Instant::now() < end {
        idle.retain(|id| deployment.fleet.running_of(id) == 0);
        wait(0.02);
    }
    idle.retain(|id| is_open(id));
    idle
}

/// The number of waiting jobs has to count those whose starts the servers have refused, also after
/// the host that schedules was killed.
fn waiting_number(root: &Path, record: Record, has_trouble: bool) -> Result<Verdict, String> {
    const JOBS: usize = 8;
    /// `visible_ms` + 2 s.
    const VISIBLE: Duration = Duration::from_millis(5_000);
    let queues = [queue("proof", 1, 2)];
    let deployment = Deployment::start(root, record, SERVICE, &queues, servers(10, &[4]))?;
    let deployment = Arc::new(deployment);
    let (fleet, record) = (&deployment.fleet, &deployment.record);
    let leader = deployment.scheduling_host().ok_or("no host schedules")?;
    let unhealthy = Arc::clone(&fleet.servers[4]);
    if has_trouble {
        fleet.set_health(&unhealthy, Health::Busy);
    }
    let began = record.elapsed();
    let mut accepted = Vec::new();
    for number in 0..JOBS {
        let id = format!("5c0e7a21d94b300{number}");
        let body = job("work_ms=6800", vec![step(1, 4_000, 6_800, "b")]);
        if deployment.submit("proof", &id, &body) {
            accepted.push((id, record.elapsed()));
        }
    }
    if has_trouble {
        // The scheduler tries the server again 3 s after it has refused the first starts.
        wait(3.3);
        deployment.kill_host(root, &leader, Duration::from_millis(500));
    }
    let mut worst: Option<String> = None;
    let mut asked = 0;
    // The server is unhealthy for 7 s.
    while record.elapsed() < began + Duration::from_millis(7_000) {
        let sent = record.elapsed();
        let is_due = |accepted_at: &Duration| sent > *accepted_at + VISIBLE;
        let owed_now = |accepted: &[(String, Duration)]| {
            let due = accepted.iter().filter(|(_, at)| is_due(at));
            due.filter(|(id, _)| fleet.tasks_of(id).is_empty()).count()
        };
        let owed = owed_now(&accepted);
        if let Some(answer) = deployment.request(asked, "GET", "/proof/", "") {
            let waiting = answer.body.as_ref().and_then(|body| body.number("waiting"));
            // What has begun meanwhile isn't owed.
            let owed = owed.min(owed_now(&accepted));
            if let (200, Some(waiting)) = (answer.status, waiting) {
                let is_in_touch = answer.host != leader || !has_trouble;
                if is_in_touch && 2 * waiting < owed as u64 {
                    let text = format!("{} says {waiting} while {owed} wait", answer.host);
                    record.line(&text);
                    worst.get_or_insert(text);
                }
            }
        }
        asked += 1;
        wait(0.2);
    }
    fleet.set_health(&unhealthy, Health::Sound);
    if accepted.len() < JOBS {
        return Err(format!("only {} jobs were accepted", accepted.len()));
    }
    match worst {
        Some(text) => Ok(Verdict::Broken(text)),
        None => Ok(Verdict::Held(format!("{asked} answers"))),
    }
}

/// A job whose task has failed as often as a new configuration allows has to be shown as failed.
fn lowered_attempts(root: &Path, record: Record, has_trouble: bool) -> Result<Verdict, String> {
    const JOB: &str = "5c0e7a21d94b4001";
    const OTHER: &str = "5c0e7a21d94b4002";
    let queues = [queue("batch", 2, 4), queue("urgent", 0, 4)];
    let deployment = Deployment::start(root, record, SERVICE, &queues, servers(10, &[4]))?;
    let (fleet, record) = (&deployment.fleet, &deployment.record);
    // Both need the one server of the kind `b`, which has 64 cores: room for the first job three
    // times, and none beside the second one.
    let body = job(
        "work_ms=2000 fails_first",
        vec![step(1, 20_000, 2_000, "b")],
    );
    if !deployment.submit("batch", JOB, &body) {
        return Err("the job was not accepted".to_owned());
    }
    if !wait_for(5.0, || fleet.running_of(JOB) == 1) {
        return Err("the job doesn't run".to_owned());
    }
    let has_failed = || {
        let history = fleet.tasks_of(JOB).into_values().next().unwrap_or_default();
        history.ends.iter().any(|(_, how)| *how == "failed")
    };
    if !wait_for(5.0, has_failed) {
        return Err("the task has not failed".to_owned());
    }
    let body = job("work_ms=8000", vec![step(1, 64_000, 8_000, "b")]);
    if !deployment.submit("urgent", OTHER, &body) {
        return Err("the other job was not accepted".to_owned());
    }
    if !wait_for(8.0, || fleet.running_of(OTHER) == 1) {
        return Err("the other job doesn't run".to_owned());
    }
    if has_trouble {
        // The route is removed, and added again with fewer attempts.
        deployment.configure(2, &[queue("urgent", 0, 4)], &[ACCOUNT]);
        wait(1.0);
        deployment.configure(
            3,
            &[queue("batch", 2, 1), queue("urgent", 0, 4)],
            &[ACCOUNT],
        );
    }
    wait(12.0);
    record.line("end of the traffic");
    thread::sleep(FINISH);
    let idle = idle_jobs(&deployment, "batch", &[JOB.to_owned()]);
    let history = fleet.tasks_of(JOB).into_values().next().unwrap_or_default();
    let summary = format!("runs: {:?}, ends: {:?}", history.starts, history.ends);
    record.line(&summary);
    match idle.is_empty() {
        true => Ok(Verdict::Held(summary)),
        false => Ok(Verdict::Broken(format!(
            "the job is open and nothing of it runs; {summary}"
        ))),
    }
}

/// A server that is back under its id as another kind must not get work that needs the kind that it
/// was, although its entry in the store still names that.
fn other_kind(root: &Path, record: Record, has_trouble: bool) -> Result<Verdict, String> {
    const JOBS: usize = 4;
    let queues = [queue("proof", 1, 2)];
    let deployment = Deployment::start(root, record, SERVICE, &queues, servers(10, &[4, 7]))?;
    let (fleet, record) = (&deployment.fleet, &deployment.record);
    let changing = Arc::clone(&fleet.servers[4]);
    if has_trouble {
        fleet.crash(&changing);
        wait(2.0);
        // It is back as another kind. Its first heartbeat comes 1.4 s later.
        fleet.return_as(&changing, "c");
        wait(0.4);
    }
    let ids: Vec<String> = (0..JOBS)
        .map(|number| format!("5c0e7a21d94b500{number}"))
        .collect();
    for id in &ids {
        // Each takes the whole of a server, so that the other one of the kind can't have them all.
        let body = job("work_ms=6800", vec![step(1, 64_000, 6_800, "b")]);
        if !deployment.submit("proof", id, &body) {
            return Err("a job was not accepted".to_owned());
        }
    }
    if has_trouble {
        wait(1.0);
        fleet.register(&changing);
    }
    wait(12.0);
    let misplaced: Vec<String> = ids
        .iter()
        .flat_map(|id| fleet.tasks_of(id))
        .flat_map(|(task, history)| {
            let starts = history.starts.into_iter();
            starts.map(move |start| (task.clone(), start))
        })
        .filter(|(_, start)| !start.labels.iter().any(|label| label == "b"))
        .map(|(task, start)| format!("{task} on {} with labels {:?}", start.server, start.labels))
        .collect();
    let started = ids
        .iter()
        .filter(|id| !fleet.tasks_of(id).is_empty())
        .count();
    record.line(&format!(
        "{started} of {JOBS} jobs have started; without the label: {misplaced:?}"
    ));
    match misplaced.first() {
        Some(first) => Ok(Verdict::Broken(format!(
            "{} starts without the label: {first}",
            misplaced.len()
        ))),
        None if started > 0 => Ok(Verdict::Held(format!("{started} jobs have started"))),
        None => Err("no job has started".to_owned()),
    }
}
