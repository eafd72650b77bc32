//! Case: the number of waiting jobs while the scheduler is handed over.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::backend_servers::Room;
use crate::json::Json;
use crate::system::{Step, System, BATCH, NORMAL};
use crate::Verdict;

/// As many entry hosts as on the small sites, and how many of them are stopped.
const HOSTS: usize = 7;
const STOPS: u32 = 3;
const SERVERS: usize = 4;
const ROOM: Room = Room {
    cpu: 64_000,
    mem_mb: 131_072,
    gpu: 8,
};

/// Jobs that find no room.
const WAITING: usize = 40;

/// `visible_ms` and 2 s more: the age from which a waiting job has to be counted.
const VISIBLE: Duration = Duration::from_millis(5_000);

/// Time between two questions to one host.
const QUESTION_INTERVAL: Duration = Duration::from_millis(50);

/// Time between the stops of two hosts.
const STOP_INTERVAL: Duration = Duration::from_secs(10);

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
    let task = Room {
        cpu: 6_000,
        mem_mb: 8_000,
        gpu: 1,
    };
    for job in 0..SERVERS {
        let step = Step {
            count: 8,
            need: task,
            work_ms: 100_000,
            ..Step::default()
        };
        system.submit(job % HOSTS, NORMAL, step);
    }
    thread::sleep(Duration::from_secs(2));
    let mut waiting = Vec::new();
    for job in 0..WAITING {
        let step = Step {
            count: 1,
            need: task,
            work_ms: 100_000,
            ..Step::default()
        };
        waiting.push(system.submit(job % HOSTS, BATCH, step));
    }
    let began = Instant::now();
    let (mut stops, mut wrong) = (0, 0);
    let mut stopped: Option<usize> = None;
    while began.elapsed() < Duration::from_secs(45) {
        let is_due = began.elapsed() > VISIBLE + Duration::from_secs(3) + STOP_INTERVAL * stops;
        if has_trouble && is_due && stopped.is_none() && stops < STOPS {
            if let Some(leader) = system.leader() {
                let name = system.hosts.hosts[leader].name.clone();
                system
                    .record
                    .note(&format!("SIGTERM to {name}, which holds the lease"));
                system.hosts.signal(leader, "TERM");
                stopped = Some(leader);
                stops += 1;
            }
        }
        if let Some(host) = stopped {
            if system.hosts.has_exited(host) {
                system
                    .record
                    .note("the stopped process has ended and is started again");
                system
                    .hosts
                    .launch(host)
                    .ok_or("an entry host can't be started again")?;
                stopped = None;
            }
        }
        for host in 0..HOSTS {
            if !system.is_in_touch(host) {
                continue;
            }
            let asked = Instant::now();
            let Some((200, body)) = system.call(host, "GET", BATCH, "") else {
                continue;
            };
            let Some(body) = Json::parse(&body) else {
                continue;
            };
            let fleet = system.servers.lock();
            let is_owed = |id: &&String| {
                let accepted = system.accepted.get(*id);
                accepted.is_some_and(|at| asked.duration_since(*at) > VISIBLE)
                    && !fleet.has_begun(id)
            };
            let owed = waiting.iter().filter(is_owed).count() as u64;
            drop(fleet);
            if 2 * body.get("waiting").number() < owed {
                wrong += 1;
                system.record.note(&format!(
                    "MIXED: {} gives as waiting {}, though {owed} jobs were accepted over 5 s before \
                     and haven't begun",
                    system.hosts.hosts[host].name,
                    body.get("waiting").number()
                ));
            }
        }
        thread::sleep(QUESTION_INTERVAL);
    }
    system
        .record
        .note(&format!("hand-overs: {stops}; wrong answers: {wrong}"));
    system.record.flush();
    Ok(wrong > 0)
}
