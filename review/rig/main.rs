//! Plays the cases of this review that can't be put as a day of the bench.
//!
//! `rig CASE DIRECTORY` starts the project's entry hosts as separate processes, with stand-ins of
//! the store, the backend servers and the clients, and writes `DIRECTORY/record.txt`. It exits with 1 if
//! the rule of the case was broken, 0 if it held and 2 if the case couldn't run. `TROUBLE=0` leaves
//! the disruption out.

mod backend_servers;
mod guard;
mod hosts;
mod http;
mod json;
mod large_rows;
mod many_ends;
mod narrow_link;
mod record;
mod spread;
mod store;
mod system;
mod waiting;

use std::path::Path;
use std::process::ExitCode;

/// How a case has ended.
pub enum Verdict {
    Held,
    Broken,
    /// The case couldn't run, for this reason.
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, directory] = arguments.as_slice() else {
        eprintln!("usage: rig CASE DIRECTORY");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    guard::watch();
    let directory = Path::new(directory);
    let play = || match case.as_str() {
        "large-rows" => large_rows::run(directory, has_trouble),
        "many-ends" => many_ends::run(directory, has_trouble),
        "narrow-link" => narrow_link::run(directory, has_trouble),
        "spread" => spread::run(directory, has_trouble),
        "waiting" => waiting::run(directory, has_trouble),
        _ => Verdict::NotRun(format!("no case {case}")),
    };
    // A panic has ended the processes by the time it arrives here.
    let verdict = std::panic::catch_unwind(play)
        .unwrap_or_else(|_| Verdict::NotRun("the case has panicked".to_owned()));
    match verdict {
        Verdict::Held => {
            println!("held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            println!("broken");
            ExitCode::from(1)
        }
        Verdict::NotRun(reason) => {
            println!("not run: {reason}");
            ExitCode::from(2)
        }
    }
}
