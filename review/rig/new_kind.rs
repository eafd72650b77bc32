//! Case: a backend server that is cut off from the store crashes behind the cut, and starts again under its
//! id as a server of another kind.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::backend_servers::Room;
use crate::system::{Step, System, NORMAL};
use crate::Verdict;

const HOSTS: usize = 3;
const KINDS: [&str; 6] = ["a", "a", "a", "b", "b", "b"];
const ROOM: Room = Room {
    cpu: 64_000,
    mem_mb: 131_072,
    gpu: 8,
};

/// The server that crashes, of kind `a`.
const SERVER: usize = 1;

/// When it is cut off from the store, and for how long. Shorter than three heartbeats, so that its
/// entry stays.
const CUT_AT: Duration = Duration::from_millis(7_500);
const CUT: Duration = Duration::from_millis(4_000);

/// When it crashes behind the cut, and how long it is down.
const CRASH_AT: Duration = Duration::from_millis(8_000);
const DOWN: Duration = Duration::from_millis(1_000);

/// How long the case lasts.
const LENGTH: Duration = Duration::from_secs(25);

/// Time between two jobs. Each takes a whole server of kind `a`.
const JOB_INTERVAL: Duration = Duration::from_millis(700);

pub fn run(directory: &Path, has_trouble: bool) -> Verdict {
    match play(directory, has_trouble) {
        Ok(true) => Verdict::Broken,
        Ok(false) => Verdict::Held,
        Err(reason) => Verdict::NotRun(reason),
    }
}

fn play(directory: &Path, has_trouble: bool) -> Result<bool, String> {
    let mut system = System::start(directory, HOSTS, ROOM, &KINDS)?;
    thread::sleep(Duration::from_secs(3));
    let began = Instant::now();
    let mut jobs = 0;
    let mut next_job = Duration::ZERO;
    let (mut is_cut, mut is_down, mut is_back, mut is_known) = (false, false, false, false);
    while began.elapsed() < LENGTH {
        let elapsed = began.elapsed();
        if elapsed >= next_job {
            next_job = elapsed + JOB_INTERVAL;
            let need = Room {
                cpu: 7_500,
                mem_mb: 11_000,
                gpu: 1,
            };
            let step = Step {
                count: 8,
                need,
                work_ms: 2_500,
                requirements: "a",
                ..Step::default()
            };
            system.submit(jobs % HOSTS, NORMAL, step);
            jobs += 1;
        }
        if has_trouble && elapsed >= CUT_AT && !is_cut {
            system.servers.set_cut(SERVER, true);
            is_cut = true;
        }
        if is_cut && elapsed >= CRASH_AT && !is_down {
            system.servers.crash(SERVER);
            is_down = true;
        }
        if is_down && elapsed >= CRASH_AT + DOWN && !is_back {
            system.servers.restart(SERVER, "b");
            is_back = true;
        }
        if is_cut && elapsed >= CUT_AT + CUT && !is_known {
            system.servers.set_cut(SERVER, false);
            system.servers.beat(SERVER);
            system.record.note("the server has written its entry");
            is_known = true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    let fleet = system.servers.lock();
    let wrong = fleet.starts.iter().filter(|start| start.kind != "a");
    let mut count = 0;
    for start in wrong {
        count += 1;
        system.record.note(&format!(
            "ROUTE: {} run {} was started on {}, which is of kind {}, though its step requires a",
            start.task, start.run, fleet.servers[start.server].id, start.kind
        ));
    }
    system.record.note(&format!(
        "starts: {}; without the required label: {count}",
        fleet.starts.len()
    ));
    system.record.flush();
    Ok(count > 0)
}
