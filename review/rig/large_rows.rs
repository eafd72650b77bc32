//! Case: a backend server crashes under many tasks of one job, whose stored progress then outgrows a row of
//! the store.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::backend_servers::Room;
use crate::system::{Step, System, BATCH, NORMAL, URGENT};
use crate::Verdict;

const HOSTS: usize = 3;
const SERVERS: usize = 8;

/// Room of a backend server of the small sites.
const ROOM: Room = Room {
    cpu: 64_000,
    mem_mb: 131_072,
    gpu: 8,
};

/// Traffic of small jobs: how long it lasts, and the time between two of them.
const TRAFFIC: Duration = Duration::from_secs(30);
const TRAFFIC_INTERVAL: Duration = Duration::from_millis(500);
const SMALL_TASKS: u32 = 2;

/// When the wide job comes, its number of tasks, and what each needs: a tenth of a core.
const WIDE_AT: Duration = Duration::from_secs(3);
const WIDE_TASKS: u32 = 600;
const WIDE_NEED: Room = Room {
    cpu: 100,
    mem_mb: 128,
    gpu: 0,
};
const WIDE_WORK_MS: u64 = 12_000;

/// When the server with the most tasks crashes, and for how long it is down.
const CRASH_AT: Duration = Duration::from_secs(9);
const DOWN: Duration = Duration::from_millis(3_500);

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
    let mut system = System::start(directory, HOSTS, ROOM, &["a"; SERVERS])?;
    thread::sleep(Duration::from_secs(3));
    let began = Instant::now();
    let mut jobs: Vec<(String, &str)> = Vec::new();
    let mut wide: Option<String> = None;
    let mut crashed: Option<usize> = None;
    let mut is_back = false;
    while began.elapsed() < TRAFFIC {
        if began.elapsed() >= WIDE_AT && wide.is_none() {
            let step = Step {
                count: WIDE_TASKS,
                need: WIDE_NEED,
                work_ms: WIDE_WORK_MS,
                ..Step::default()
            };
            let id = system.submit(0, BATCH, step);
            system
                .record
                .note(&format!("the job of {WIDE_TASKS} tasks is {id}"));
            wide = Some(id.clone());
            jobs.push((id, BATCH));
        }
        if has_trouble && began.elapsed() >= CRASH_AT && crashed.is_none() {
            let server = system.servers.lock().busiest();
            system.servers.crash(server);
            crashed = Some(server);
        }
        if let Some(server) = crashed.filter(|_| !is_back && began.elapsed() >= CRASH_AT + DOWN) {
            is_back = true;
            system.servers.restart(server);
            system.servers.beat(server);
        }
        let host = jobs.len() % HOSTS;
        let queue = if jobs.len() % 2 == 0 { URGENT } else { NORMAL };
        let need = Room {
            cpu: 2_000,
            mem_mb: 1_024,
            gpu: 1,
        };
        let step = Step {
            count: SMALL_TASKS,
            need,
            work_ms: 600,
            ..Step::default()
        };
        let id = system.submit(host, queue, step);
        jobs.push((id, queue));
        thread::sleep(TRAFFIC_INTERVAL);
    }
    system.record.note("the traffic has ended");
    thread::sleep(FINISH);
    system
        .record
        .note("finish_s after the end of the traffic, the jobs are asked for");
    let mut waiting: Vec<(String, &str)> = Vec::new();
    for (id, queue) in jobs {
        if !system.accepted.contains_key(&id) {
            continue;
        }
        let state = system.state(0, queue, &id).unwrap_or_default();
        if state != "completed" && state != "failed" && state != "cancelled" {
            waiting.push((id, queue));
        }
    }
    // Those that have had nothing running for the whole time, while half of the room was free.
    let watched = Instant::now();
    while watched.elapsed() < STANDSTILL {
        let fleet = system.servers.lock();
        let is_half_free = fleet.is_half_free();
        waiting.retain(|(id, _)| {
            let count = if Some(id) == wide.as_ref() {
                WIDE_TASKS
            } else {
                SMALL_TASKS
            };
            is_half_free && !fleet.is_running(id) && fleet.has_open_task(id, count)
        });
        drop(fleet);
        thread::sleep(Duration::from_millis(20));
    }
    for (id, _) in &waiting {
        let has_begun = system.servers.lock().has_begun(id);
        let begun = if has_begun {
            "has begun before"
        } else {
            "has never begun"
        };
        system.record.note(&format!(
            "LOST: {id} is accepted, isn't done and had nothing running for 3 s, though less than \
             half of the service was in use; it {begun}"
        ));
    }
    let refused = system.store.refused_large_rows();
    system.record.note(&format!(
        "jobs that stand still: {}; writes that the store has refused as larger than row_bytes: {refused}",
        waiting.len()
    ));
    system.record.flush();
    Ok(!waiting.is_empty())
}
