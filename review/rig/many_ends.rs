//! Case: more tasks end on a backend server than it lists at a time, while the scheduler is replaced.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::backend_servers::Room;
use crate::system::{Step, System, BATCH};
use crate::Verdict;

const HOSTS: usize = 7;
const SERVERS: usize = 8;
const ROOM: Room = Room {
    cpu: 64_000,
    mem_mb: 131_072,
    gpu: 8,
};

/// The jobs: their number, the tasks of each, what a task needs (a twentieth of a core), and how
/// long it works.
const JOBS: usize = 2;
const TASKS: u32 = 620;
const NEED: Room = Room {
    cpu: 50,
    mem_mb: 64,
    gpu: 0,
};
const WORK_MS: u64 = 9_500;

/// When the machine that holds the lease loses power, counted from the acknowledgement of the jobs,
/// and for how long it is dark.
const POWER_OFF_AT: Duration = Duration::from_millis(8_500);
const DARK: Duration = Duration::from_millis(3_500);

/// How long the case lasts, from the acknowledgement of the jobs.
const LENGTH: Duration = Duration::from_secs(40);

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
    let step = Step {
        count: TASKS,
        need: NEED,
        work_ms: WORK_MS,
        ..Step::default()
    };
    let ids: Vec<String> = (0..JOBS)
        .map(|job| system.submit(job, BATCH, step))
        .collect();
    let began = Instant::now();
    let mut dark: Option<usize> = None;
    let mut is_over = !has_trouble;
    while began.elapsed() < LENGTH {
        thread::sleep(Duration::from_millis(20));
        if is_over {
            continue;
        }
        match dark {
            None if began.elapsed() >= POWER_OFF_AT => {
                let leader = system.leader().ok_or("no machine holds the lease")?;
                let name = system.hosts.hosts[leader].name.clone();
                system
                    .record
                    .note(&format!("{name}, which holds the lease, loses power"));
                system.hosts.signal(leader, "KILL");
                dark = Some(leader);
            }
            Some(host) if began.elapsed() >= POWER_OFF_AT + DARK => {
                system.record.note("the machine has power again");
                system.hosts.has_exited(host);
                system.hosts.launch(host).ok_or("no start")?;
                is_over = true;
            }
            _ => {}
        }
    }
    let asked = (0..HOSTS).find(|host| Some(*host) != dark).unwrap_or(0);
    let states: Vec<Option<String>> = ids
        .iter()
        .map(|id| system.state(asked, BATCH, id))
        .collect();
    let fleet = system.servers.lock();
    let twice = fleet.starts_after_done();
    for (start, ended) in &twice {
        system.record.note(&format!(
            "TWICE: {} run {} was started {:.3} s after run {} had ended done, whose end was \
             acknowledged",
            start.task,
            start.run,
            start.at.duration_since(ended.at).as_secs_f64(),
            ended.run
        ));
    }
    system.record.note(&format!(
        "starts: {}; starts of tasks that were done: {}; states of the jobs: {states:?}",
        fleet.starts.len(),
        twice.len()
    ));
    system.record.flush();
    Ok(!twice.is_empty())
}
