//! Case: the scheduler is replaced while what it has to read doesn't pass a narrow link in time.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::backend_servers::Room;
use crate::system::{Step, System, NORMAL, URGENT};
use crate::Verdict;

const HOSTS: usize = 7;
const SERVERS: usize = 8;
const ROOM: Room = Room {
    cpu: 64_000,
    mem_mb: 131_072,
    gpu: 8,
};

/// Bandwidth of the entry hosts' links: that of the large site's small twin.
const LINK_MBPS: f64 = 2.0;

/// Jobs that are handed in before: their number, the time between two of them, and the bytes of
/// their `spec`, the mean of the first kind of request of the sites.
const JOBS_BEFORE: usize = 400;
const INTERVAL_BEFORE: Duration = Duration::from_millis(40);
const SPEC_BYTES: usize = 1_200;

/// What each task needs, and for how long it works.
const NEED: Room = Room {
    cpu: 1_000,
    mem_mb: 512,
    gpu: 0,
};
const WORK_MS: u64 = 300;

/// Traffic after that: how long it lasts, and the time between two jobs.
const TRAFFIC: Duration = Duration::from_secs(20);
const TRAFFIC_INTERVAL: Duration = Duration::from_millis(500);

/// When in it the entry host that holds the lease loses power, and for how long it is dark.
const POWER_OFF_AT: Duration = Duration::from_secs(2);
const DARK: Duration = Duration::from_millis(3_500);

/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(14);

/// Time for which a job may have nothing running although there is room.
const STANDSTILL: Duration = Duration::from_secs(3);

pub fn run(directory: &Path, has_trouble: bool) -> Verdict {
    match play(directory, has_trouble) {
        Ok(true) => Verdict::Broken,
        Ok(false) => Verdict::Held,
        Err(reason) => Verdict::NotRun(reason),
    }
}

fn play(directory: &Path, has_trouble: bool) -> Result<bool, String> {
    let kinds = ["a"; SERVERS];
    let mut system = System::start_over(directory, HOSTS, ROOM, &kinds, Some(LINK_MBPS))?;
    thread::sleep(Duration::from_secs(3));
    let step = Step {
        count: 2,
        need: NEED,
        work_ms: WORK_MS,
        ..Step::default()
    };
    for job in 0..JOBS_BEFORE {
        let long = Step {
            spec_bytes: SPEC_BYTES,
            ..step
        };
        system.submit(job % HOSTS, NORMAL, long);
        thread::sleep(INTERVAL_BEFORE);
    }
    system
        .record
        .note(&format!("{JOBS_BEFORE} jobs are handed in"));
    let began = Instant::now();
    let mut jobs: Vec<(String, &str)> = Vec::new();
    let mut dark: Option<usize> = None;
    let mut is_over = !has_trouble;
    while began.elapsed() < TRAFFIC {
        match dark {
            None if !is_over && began.elapsed() >= POWER_OFF_AT => {
                let leader = system.leader().ok_or("no entry host holds the lease")?;
                let name = system.hosts.hosts[leader].name.clone();
                system
                    .record
                    .note(&format!("{name}, which holds the lease, loses power"));
                system.hosts.signal(leader, "KILL");
                dark = Some(leader);
            }
            Some(host) if !is_over && began.elapsed() >= POWER_OFF_AT + DARK => {
                system.record.note("the entry host has power again");
                system.hosts.has_exited(host);
                system.hosts.launch(host).ok_or("no start")?;
                is_over = true;
            }
            _ => {}
        }
        let queue = if jobs.len() % 2 == 0 { URGENT } else { NORMAL };
        let id = system.submit(jobs.len() % HOSTS, queue, step);
        jobs.push((id, queue));
        thread::sleep(TRAFFIC_INTERVAL);
    }
    system.record.note("the traffic has ended");
    thread::sleep(FINISH);
    system
        .record
        .note("finish_s after the end of the traffic, the jobs are asked for");
    let mut waiting: Vec<String> = Vec::new();
    for (id, queue) in jobs {
        let is_accepted = system.accepted.contains_key(&id);
        if is_accepted && system.state(0, queue, &id).as_deref() != Some("completed") {
            waiting.push(id);
        }
    }
    let watched = Instant::now();
    while watched.elapsed() < STANDSTILL {
        let fleet = system.servers.lock();
        waiting.retain(|id| {
            fleet.is_half_free() && !fleet.is_running(id) && fleet.has_open_task(id, step.count)
        });
        drop(fleet);
        thread::sleep(Duration::from_millis(20));
    }
    for id in &waiting {
        system.record.note(&format!(
            "LOST: {id} is accepted, isn't done and had nothing running for 3 s, though \
             less than half of the service was in use"
        ));
    }
    system.record.note(&format!(
        "jobs that stand still: {} of {} accepted",
        waiting.len(),
        system.accepted.len()
    ));
    system.record.flush();
    Ok(!waiting.is_empty())
}
