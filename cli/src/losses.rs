//! `camphorbeam losses`: says from the logs of `camphorbeam host` why jobs were late and what work
//! was lost. It calls no entry host.

use std::fs::File;
use std::io::{self, BufRead, BufReader};

use camphorbeam_losses::{log_line, report, timeline};
use clap::{Arg, ArgAction, ArgMatches, Command};

use crate::{exit, print};

/// Returns the definition of the command.
pub fn command() -> Command {
    Command::new("losses")
        .about("Say from logs why jobs missed their objectives, and what work was lost")
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print JSON for programs"),
        )
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .action(ArgAction::Append)
                .help("Logs of `camphorbeam host`, of any number of hosts; - for standard input"),
        )
}

/// Prints the report.
pub fn run(matches: &ArgMatches) -> exit::Code {
    let paths = matches.get_many::<String>("file").unwrap_or_default();
    let mut lines = Vec::new();
    let mut undecodable_lines = 0;
    for path in paths {
        if let Err(error) = read(path, &mut lines, &mut undecodable_lines) {
            eprintln!("camphorbeam losses: {path}: {error}");
            return exit::Code::Usage;
        }
    }
    let timeline = timeline::Timeline::new(lines);
    if timeline.jobs.is_empty() {
        eprintln!("camphorbeam losses: no line `job open`; are these logs of `camphorbeam host`?");
        return exit::Code::Usage;
    }
    let report = report::report(&timeline, undecodable_lines);
    match matches.get_flag("json") {
        true => print::print_json(&report),
        false => print::bytes(report.to_string().as_bytes()),
    }
    exit::Code::Success
}

fn read(
    path: &str,
    lines: &mut Vec<log_line::LogLine>,
    undecodable_lines: &mut u64,
) -> io::Result<()> {
    let input: Box<dyn BufRead> = match path {
        "-" => Box::new(io::stdin().lock()),
        path => Box::new(BufReader::new(File::open(path)?)),
    };
    for bytes in input.split(b'\n') {
        let bytes = bytes?;
        // A log may be cut off anywhere.
        match log_line::decode(&String::from_utf8_lossy(&bytes)) {
            Ok(line) => lines.extend(line),
            Err(_) => *undecodable_lines += 1,
        }
    }
    Ok(())
}
