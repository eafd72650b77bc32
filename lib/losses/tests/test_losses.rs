//! What the logs of a small day lead to.

use camphorbeam_losses::{log_line, report, timeline};

/// Lines of one job each time, whose clock begins at zero.
fn line(unix_ms: u64, payload: &str, kv: &str) -> String {
    format!(
        r#"  1.0 host-1 {{"level":"info","timestamp":{unix_ms},"payload":"{payload}","kv":{{{kv},"epoch":1}}}}"#
    )
}

fn opened(unix_ms: u64, job: &str, age_ms: u64) -> String {
    let kv = format!(
        r#""job":"{job}","queue":"q","priority":0,"tasks":2,"is_gang":true,"accelerators":8,"core_s":64.0,
        "critical_path_ms":2000,"objective_ms":3000,"is_scheduled_or_long_running":false,"age_ms":{age_ms}"#
    );
    line(unix_ms, "job open", &kv)
}

fn placed(unix_ms: u64, job: &str, run: u64) -> String {
    line(
        unix_ms,
        "placed",
        &format!(r#""job":"{job}","task":"0.0.0","tasks":2,"run":{run}"#),
    )
}

fn ended(unix_ms: u64, job: &str, run: u64, how: &str, cause: &str, lost_core_s: f64) -> String {
    let kv = format!(
        r#""job":"{job}","task":"0.0.1","run":{run},"how":"{how}","cause":"{cause}","lost_core_s":{lost_core_s:.1}"#
    );
    line(unix_ms, "run ended", &kv)
}

fn finished(unix_ms: u64, job: &str, state: &str, age_ms: u64) -> String {
    let kv = format!(r#""job":"{job}","state":"{state}","age_ms":{age_ms}"#);
    line(unix_ms, "job state", &kv)
}

fn report_of(lines: &[String]) -> report::Report {
    let decoded = lines
        .iter()
        .filter_map(|line| log_line::decode(line).expect("the line can be decoded"));
    report::report(&timeline::Timeline::new(decoded.collect()), 0)
}

/// The main cause of the only late job.
fn only_cause(lines: &[String]) -> String {
    let report = report_of(lines);
    let queue = &report.queues["q"];
    assert_eq!((queue.jobs, queue.late), (1, 1));
    queue.late_by_cause.keys().next().unwrap().clone()
}

#[test]
fn test_losses_a_job_in_time_has_none() {
    let lines = [
        opened(10_020, "a", 20),
        placed(10_020, "a", 1),
        ended(12_500, "a", 1, "done", "done", 0.0),
        finished(12_500, "a", "completed", 2_500),
    ];
    let report = report_of(&lines);
    assert_eq!(report.queues["q"].late, 0);
    assert!(report.lost_core_s.is_empty());
}

#[test]
fn test_losses_tell_a_preemption_from_a_wait_for_room() {
    let of_job = |middle: Vec<String>| {
        let mut lines = vec![opened(10_020, "a", 20)];
        lines.extend(middle);
        lines.extend([
            placed(11_900, "a", 1),
            ended(14_000, "a", 1, "done", "done", 0.0),
            finished(14_000, "a", "completed", 4_000),
        ]);
        lines
    };
    assert_eq!(only_cause(&of_job(Vec::new())), "waited for room");
    let preempts = line(10_200, "preempts", r#""job":"a""#);
    assert_eq!(
        only_cause(&of_job(vec![preempts])),
        "waited for a preemption"
    );
}

#[test]
fn test_losses_name_the_member_that_ended_first() {
    let lines = [
        opened(10_020, "a", 20),
        placed(10_020, "a", 1),
        ended(12_000, "a", 1, "stopped", "another member ended", 15.0),
        ended(12_000, "a", 1, "failed", "failed", 16.0),
        placed(12_010, "a", 2),
        ended(14_100, "a", 2, "done", "done", 0.0),
        finished(14_100, "a", "completed", 4_100),
    ];
    assert_eq!(only_cause(&lines), "run again: failed");
    let lost = report_of(&lines).lost_core_s;
    assert_eq!(lost["failed"], 16.0);
    assert_eq!(lost["another member ended"], 15.0);
}

/// The second scheduler's first line ends the gap that began with the last of the first one.
#[test]
fn test_losses_find_an_end_that_nobody_took_note_of() {
    let of_epoch_2 = |line: String| line.replace(r#""epoch":1"#, r#""epoch":2"#);
    let lines = [
        opened(10_020, "a", 20),
        placed(10_020, "a", 1),
        of_epoch_2(line(14_000, "scheduling begins", r#""inbox":1"#)),
        of_epoch_2(opened(14_001, "a", 4_001)),
        of_epoch_2(ended(14_050, "a", 1, "done", "done", 0.0)),
        of_epoch_2(finished(14_050, "a", "completed", 4_050)),
    ];
    assert_eq!(only_cause(&lines), "no scheduler");
}

// Guards against step 10 taken for one before step 9, whose wait would go to the wrong cause.
#[test]
fn test_losses_follow_steps_in_the_order_of_their_numbers() {
    let of_step = |line: String, step: u32| line.replace("0.0.", &format!("0.{step}."));
    let lines = [
        opened(10_020, "a", 20),
        of_step(placed(10_020, "a", 1), 9),
        of_step(ended(11_000, "a", 1, "done", "done", 0.0), 9),
        of_step(placed(14_000, "a", 1), 10),
        of_step(ended(15_000, "a", 1, "done", "done", 0.0), 10),
        finished(15_000, "a", "completed", 5_000),
    ];
    assert_eq!(only_cause(&lines), "waited for room");
    let caused_s = report_of(&lines).queues["q"].late_by_cause["waited for room"].caused_s;
    // From the end of step 9, and not from the acceptance.
    assert_eq!(caused_s, 3.0);
}

#[test]
fn test_losses_count_cancelled_jobs_and_cut_lines_for_nothing() {
    let lines = [
        opened(10_020, "a", 20),
        finished(19_000, "a", "cancelled", 9_000),
    ];
    assert_eq!(report_of(&lines).queues["q"].jobs, 0);
    let whole = opened(10_020, "a", 20);
    assert!(log_line::decode(&whole[..whole.len() - 9]).is_err());
    assert_eq!(log_line::decode("a line of another program").unwrap(), None);
    let other = line(1, "terms in force", r#""version":3"#);
    assert_eq!(log_line::decode(&other).unwrap(), None);
}
