//! Output for people and, with `--json`, for programs.

use std::io::Write as _;

use camphorbeam_protocol::messages;
use camphorbeam_server::{api, lookup};

fn as_json<T: serde::Serialize>(value: &T) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("can't print as JSON: {error}"),
    }
}

/// Prints bytes as they are.
pub fn bytes(content: &[u8]) {
    let mut stdout = std::io::stdout().lock();
    // A reader that has gone away needs no answer.
    let _ = stdout.write_all(content).and_then(|()| stdout.flush());
}

/// Prints a submission.
pub fn submission(submitted: &api::SubmitResponse, is_json: bool) {
    match is_json {
        true => as_json(submitted),
        false if submitted.is_new => {
            println!("{}  accepted for zone {}", submitted.id, submitted.zone)
        }
        false => println!(
            "{}  known from an earlier submission, {} in zone {}",
            submitted.id, submitted.state, submitted.zone
        ),
    }
}

/// Prints the standing of a request.
pub fn status(explanation: &lookup::Explanation, is_json: bool) {
    match is_json {
        true => as_json(explanation),
        false => println!("{}  {}", explanation.id, explanation.summary),
    }
}

/// Prints every step of a request.
pub fn explanation(explanation: &lookup::Explanation, is_json: bool) {
    if is_json {
        as_json(explanation);
        return;
    }
    print!("{}", lookup::render_text(explanation));
}

/// Prints what became of a cancellation.
pub fn cancel_outcome(outcome: &messages::CancelOutcome, is_json: bool) {
    match outcome {
        _ if is_json => as_json(outcome),
        messages::CancelOutcome::Ended { verdict, state } => println!("{state}: it {verdict}"),
        messages::CancelOutcome::Stopping => println!("being stopped; ask `status` for its end"),
    }
}

/// Prints a sheet.
pub fn sheet(sheet: &api::SheetResponse, is_json: bool) {
    if is_json {
        as_json(sheet);
        return;
    }
    let note = match sheet.is_confirmed {
        true => "the newest",
        false => "may not be the newest: this entry host can't confirm it",
    };
    eprintln!("version {} ({note})", sheet.version);
    bytes(sheet.csv.as_bytes());
}

/// Prints what an apply has put in force.
pub fn applied_sheet(sheet: &api::SheetResponse, is_json: bool) {
    match is_json {
        true => as_json(sheet),
        false => println!("version {} is in force", sheet.version),
    }
}

/// Prints how far a drain has come.
pub fn drain(drain: &messages::DrainServer, progress: &messages::DrainProgress, is_json: bool) {
    match (drain.is_drained, progress.running.len()) {
        _ if is_json => as_json(progress),
        (false, _) => println!("{} may have new work again", drain.server),
        (true, 0) => println!("{} is drained", drain.server),
        (true, count) => println!(
            "{} gets no new work; {count} requests still run",
            drain.server
        ),
    }
}

/// Prints that an entry host is leaving.
pub fn leaving_host(health: &api::Health, is_json: bool) {
    match is_json {
        true => as_json(health),
        false => println!("entry host {} is leaving", health.host),
    }
}

/// Prints an entry host and those that it has heard of.
pub fn members(health: &api::Health, is_json: bool) {
    if is_json {
        as_json(health);
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
