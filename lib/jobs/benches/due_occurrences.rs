//! Processor time of a decision, and memory, against the number of due occurrences of a job.
//!
//! Prints a table: each row is measured in a process of its own, on 48 servers with 8 accelerators
//! each, over half a second of simulated time.

use std::process::Command;

use camphorbeam_fleet_model as fleet_model;
use camphorbeam_fleet_model::Simulation;
use camphorbeam_model::job;

const DUE_COUNTS: [u32; 4] = [10, 1_000, 100_000, 10_000_000];

const SIMULATED_MS: u64 = 500;

/// Names a row in the arguments of its process.
const ROW_OPTION: &str = "--row";

/// Steps of the jobs, by name. Those that can't start need more accelerators than a server has.
fn steps(shape: &str) -> Vec<job::StepSpec> {
    match shape {
        "cannot start" => vec![fleet_model::step(1, 64, 500)],
        "gang, cannot start" => vec![fleet_model::gang(4, 64, 500)],
        "wide, cannot start" => vec![fleet_model::step(100, 64, 500)],
        _ => vec![fleet_model::step(1, 1, 500)],
    }
}

const SHAPES: [&str; 4] = [
    "cannot start",
    "gang, cannot start",
    "wide, cannot start",
    "can start",
];

/// Resident memory of this process, in kilobytes, by the named field of its status.
fn memory_kb(field: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    number.unwrap_or(0)
}

fn measure(shape: &str, due_count: u32) {
    let mut sim = Simulation::new(6, 8, 0);
    sim.run(SIMULATED_MS);
    let before_kb = memory_kb("VmRSS:");
    sim.decision_times = fleet_model::DecisionTimes::default();
    let schedule = job::Schedule {
        first_unix_ms: 0,
        interval_ms: 0,
        occurrences: due_count,
    };
    sim.submit_scheduled("j1", fleet_model::NORMAL, "a", steps(shape), schedule);
    sim.run(SIMULATED_MS);
    sim.take_over();
    sim.run(SIMULATED_MS);
    let times = sim.decision_times;
    let peak_kb = memory_kb("VmHWM:").saturating_sub(before_kb);
    println!(
        "| {shape} | {due_count} | {:.3} | {:.3} | {:.1} |",
        1_000.0 * times.total.as_secs_f64() / f64::from(times.count),
        1_000.0 * times.longest.as_secs_f64(),
        peak_kb as f64 / 1_024.0,
    );
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let row = arguments.iter().position(|word| word == ROW_OPTION);
    if let Some([shape, due_count]) = row.and_then(|at| arguments.get(at + 1..at + 3)) {
        if let Ok(due_count) = due_count.parse() {
            measure(shape, due_count);
        }
        return;
    }
    println!("| Job | due | mean ms | longest ms | memory MB |");
    println!("| --- | --- | --- | --- | --- |");
    for shape in SHAPES {
        for due_count in DUE_COUNTS {
            let due_count = due_count.to_string();
            let row = [ROW_OPTION, shape, &due_count];
            let program = &arguments[0];
            match Command::new(program).args(row).status() {
                Ok(status) if status.success() => {}
                Ok(status) => println!("| {shape} | {due_count} | {status} | | |"),
                Err(error) => println!("| {shape} | {due_count} | {error} | | |"),
            }
        }
    }
}
