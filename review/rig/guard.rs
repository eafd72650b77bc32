//! Ends the processes of a case that lasts too long or is told to end. What a case starts it ends by
//! itself in all other ways out.

use std::fs;
use std::path::PathBuf;
use std::process::Child;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Time that a case may take.
const LIMIT: Duration = Duration::from_secs(112);

const SIGHUP: i32 = 1;
const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;

static IS_TOLD_TO_END: AtomicBool = AtomicBool::new(false);
static STARTED: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());
static DIRECTORY: Mutex<Option<PathBuf>> = Mutex::new(None);

extern "C" {
    fn signal(number: i32, handler: extern "C" fn(i32)) -> usize;
}

extern "C" fn note_signal(_: i32) {
    IS_TOLD_TO_END.store(true, Ordering::SeqCst);
}

/// Starts the guard.
pub fn watch() {
    for number in [SIGHUP, SIGINT, SIGTERM] {
        // SAFETY: the handler only stores to an atomic.
        unsafe { signal(number, note_signal) };
    }
    let began = Instant::now();
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(50));
        let is_late = began.elapsed() > LIMIT;
        if !is_late && !IS_TOLD_TO_END.load(Ordering::SeqCst) {
            continue;
        }
        // Held to the end, so that nothing more is started.
        let started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
        for child in started.iter() {
            end(child);
        }
        let directory = DIRECTORY.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(directory) = &*directory {
            let _ = fs::remove_dir_all(directory);
        }
        let reason = if is_late {
            "the case lasts too long"
        } else {
            "told to end"
        };
        println!("not run: {reason}");
        std::process::exit(2);
    });
}

/// Names the temporary folder of the case.
pub fn set_directory(directory: PathBuf) {
    *DIRECTORY.lock().unwrap_or_else(PoisonError::into_inner) = Some(directory);
}

/// Starts a process with `start`, and ends it with the case.
pub fn start(start: impl FnOnce() -> Option<Child>) -> Option<Arc<Mutex<Child>>> {
    let mut started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
    let child = Arc::new(Mutex::new(start()?));
    started.push(Arc::clone(&child));
    Some(child)
}

/// Kills a process and waits for its end. The library sends no signal to one that was waited for.
pub fn end(child: &Mutex<Child>) {
    let mut child = child.lock().unwrap_or_else(PoisonError::into_inner);
    let _ = child.kill();
    let _ = child.wait();
}
