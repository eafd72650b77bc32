//! Writes the results of commands to standard output: as text or, with `--json`, as JSON. The
//! answer of a request is always written unchanged.

use std::io::Write as _;

use camphorbeam_protocol::messages;
use camphorbeam_server::{api, requests};

/// Writes `value` as JSON.
pub fn print_json<T: serde::Serialize>(value: &T) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("can't print as JSON: {error}"),
    }
}

/// Writes `content` unchanged.
pub fn bytes(content: &[u8]) {
    let mut stdout = std::io::stdout().lock();
    // A write error is ignored: most likely, the reader has closed the pipe.
    let _ = stdout.write_all(content).and_then(|()| stdout.flush());
}

/// Prints the id of a submitted request, and whether an earlier submission had the same key.
pub fn submission(submitted: &api::SubmitResponse, is_json: bool) {
    match is_json {
        true => print_json(submitted),
        false if submitted.is_new => {
            println!("{}  accepted for zone {}", submitted.id, submitted.zone)
        }
        false => println!(
            "{}  known from an earlier submission, {} in zone {}",
            submitted.id, submitted.state, submitted.zone
        ),
    }
}

/// Prints the status of a request as one line, or its whole explanation as JSON.
pub fn status(explanation: &requests::Explanation, is_json: bool) {
    match is_json {
        true => print_json(explanation),
        false => println!("{}  {}", explanation.id, explanation.summary),
    }
}

/// Prints the status and all steps of a request.
pub fn explanation(explanation: &requests::Explanation, is_json: bool) {
    if is_json {
        print_json(explanation);
        return;
    }
    print!("{}", requests::render_text(explanation));
}

/// Prints the outcome of a cancellation.
pub fn cancel_outcome(outcome: &messages::CancelOutcome, is_json: bool) {
    match outcome {
        _ if is_json => print_json(outcome),
        messages::CancelOutcome::Ended { verdict, state } => println!("{state}: it {verdict}"),
        messages::CancelOutcome::Stopping => println!("being stopped; ask `status` for its end"),
    }
}

/// Prints a sheet. As text, its CSV goes to standard output and its version to standard error.
pub fn sheet(sheet: &api::SheetResponse, is_json: bool) {
    if is_json {
        print_json(sheet);
        return;
    }
    let note = match sheet.is_confirmed {
        true => "the newest",
        false => "may not be the newest: this entry host can't confirm it",
    };
    eprintln!("version {} ({note})", sheet.version);
    bytes(sheet.csv.as_bytes());
}

/// Prints the version of a sheet that was applied.
pub fn applied_sheet(sheet: &api::SheetResponse, is_json: bool) {
    match is_json {
        true => print_json(sheet),
        false => println!("version {} is in force", sheet.version),
    }
}

/// Prints the progress of a drain.
pub fn drain(drain: &messages::DrainServer, progress: &messages::DrainProgress, is_json: bool) {
    match (drain.is_drained, progress.running.len()) {
        _ if is_json => print_json(progress),
        (false, _) => println!("{} may have new work again", drain.server),
        (true, 0) => println!("{} is drained", drain.server),
        (true, count) => println!(
            "{} gets no new work; {count} requests still run",
            drain.server
        ),
    }
}

/// Prints that an entry host is leaving or, as JSON, its health.
pub fn leaving_host(health: &api::Health, is_json: bool) {
    match is_json {
        true => print_json(health),
        false => println!("entry host {} is leaving", health.host),
    }
}

/// Prints an entry host and the other entry hosts that it has heard of.
pub fn members(health: &api::Health, is_json: bool) {
    if is_json {
        print_json(health);
        return;
    }
    let role = match (health.is_deciding, &health.scheduler) {
        (true, _) => "schedules its zone".to_owned(),
        (false, Some(scheduler)) => format!("scheduler is {}", scheduler.host),
        (false, None) => "knows no scheduler".to_owned(),
    };
    let confirmed = match health.is_sheet_confirmed {
        true => "confirmed",
        false => "not confirmed",
    };
    println!(
        "{}  zone {}  sheet {} ({confirmed})  {role}",
        health.host, health.zone, health.sheet_version
    );
    for member in &health.members {
        let leaving = match member.is_leaving {
            true => "  leaving",
            false => "",
        };
        println!(
            "{}  zone {}  sheet {}  heard of {} ms ago{leaving}",
            member.host, member.zone, member.sheet_version, member.heard_ago_ms
        );
    }
}
