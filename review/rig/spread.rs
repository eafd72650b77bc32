//! Case: an urgent job that limits its tasks on one backend server, while other work fills them.

use std::collections::BTreeMap;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::backend_servers::Room;
use crate::system::{Step, System, BATCH, URGENT};
use crate::Verdict;

const HOSTS: usize = 3;
const SERVERS: usize = 8;
const ROOM: Room = Room {
    cpu: 64_000,
    mem_mb: 131_072,
    gpu: 8,
};
const TASK: Room = Room {
    cpu: 6_000,
    mem_mb: 8_000,
    gpu: 1,
};

/// The large jobs: together they take more accelerators than there are.
const LARGE_JOBS: usize = 5;
const LARGE_TASKS: u32 = 16;
const LARGE_WORK_MS: u64 = 9_500;

/// Urgent jobs, one after the other: their number, the time between them, their tasks, and how
/// many of these may run on one server.
const URGENT_JOBS: usize = 6;
const URGENT_INTERVAL: Duration = Duration::from_secs(4);
const URGENT_TASKS: u32 = 6;
const PER_SERVER: u32 = 1;
const URGENT_WORK_MS: u64 = 2_500;

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
    if has_trouble {
        system.record.note("large jobs come at once");
        for job in 0..LARGE_JOBS {
            let step = Step {
                count: LARGE_TASKS,
                need: TASK,
                work_ms: LARGE_WORK_MS,
                ..Step::default()
            };
            system.submit(job % HOSTS, BATCH, step);
        }
        thread::sleep(Duration::from_secs(2));
    }
    let mut urgent = Vec::new();
    for job in 0..URGENT_JOBS {
        let step = Step {
            count: URGENT_TASKS,
            need: TASK,
            work_ms: URGENT_WORK_MS,
            per_server: PER_SERVER,
            ..Step::default()
        };
        urgent.push(system.submit(job % HOSTS, URGENT, step));
        thread::sleep(URGENT_INTERVAL);
    }
    let fleet = system.servers.lock();
    let mut wrong = 0;
    for id in &urgent {
        let mut running: BTreeMap<usize, u32> = BTreeMap::new();
        for start in fleet
            .starts
            .iter()
            .filter(|start| start.task.starts_with(id.as_str()))
        {
            let beside = start.beside;
            *running.entry(start.server).or_default() += 1;
            if beside >= PER_SERVER {
                wrong += 1;
                system.record.note(&format!(
                    "ROUTE: {} run {} was started on {} beside {beside} of its step, though at most \
                     {PER_SERVER} may run on one server",
                    start.task, start.run, fleet.servers[start.server].id
                ));
            }
        }
        system
            .record
            .note(&format!("{id}: starts by server {running:?}"));
    }
    system
        .record
        .note(&format!("starts beyond anti_affinity: {wrong}"));
    system.record.flush();
    Ok(wrong > 0)
}
