//! Terms that change under open jobs: each job can start, waits for something that has a name, or
//! ends with a reason for its caller.

use std::collections::BTreeSet;

use camphorbeam_fleet_model as support;
use camphorbeam_fleet_model::start_promise::{Judged, StartPromise};
use camphorbeam_fleet_model::{gang, step, Simulation, TaskBehavior, STEP_MS};
use camphorbeam_jobs::event::Event;
use camphorbeam_jobs::orders::EndKind;
use camphorbeam_jobs::progress::JobState;
use camphorbeam_jobs::settings::Settings;
use camphorbeam_model::{id, job, terms};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// More than a decision, the stop of a run and its report take.
const SETTLED_MS: u64 = 3_000;

const RUN_TIME_MS: u64 = 2_000;

fn set_attempts(terms: &mut terms::Terms, attempts_max: u32) {
    for queue in &mut terms.queues {
        queue.job_settings.attempts_max = attempts_max;
    }
}

fn remove_queue(sim: &mut Simulation, name: &str) {
    sim.change_terms(|terms| terms.queues.retain(|queue| queue.name.as_str() != name));
}

/// Puts a queue into force again, with another number of attempts.
fn restore_queue(sim: &mut Simulation, name: &str, attempts_max: u32) {
    let mut standard = support::standard_terms(0);
    set_attempts(&mut standard, attempts_max);
    sim.change_terms(|terms| {
        let queues = standard.queues.into_iter();
        terms
            .queues
            .extend(queues.filter(|queue| queue.name.as_str() == name));
    });
}

fn lower_attempts(sim: &mut Simulation, attempts_max: u32) {
    sim.change_terms(|terms| set_attempts(terms, attempts_max));
}

fn fail_always(sim: &mut Simulation, name: &str) {
    let behavior = TaskBehavior {
        always_fails: true,
        ..TaskBehavior::default()
    };
    sim.task_behaviors
        .insert(id::JobId::new(name).unwrap(), behavior);
}

fn failed_runs(sim: &Simulation, job: &id::JobId) -> BTreeSet<id::Run> {
    let of_job = sim
        .run_records
        .iter()
        .filter(|record| &record.name.task.job == job);
    let failed = of_job.filter(|record| record.end == Some(EndKind::Failed));
    failed.map(|record| record.name.run).collect()
}

/// A simulation in which the only task or gang of a job has failed once and waits for a server, since
/// urgent work takes all of them.
fn sim_with_waiting_failure(spec: job::StepSpec) -> (Simulation, id::JobId) {
    let mut sim = Simulation::new(1, 2, 0);
    fail_always(&mut sim, "waiting");
    let job = sim.submit("waiting", support::BATCH, "b", vec![spec]);
    assert!(sim.run_until(SETTLED_MS, |sim| !sim.run_records.is_empty()));
    sim.submit("urgent", support::URGENT, "a", vec![step(2, 8, 60_000)]);
    assert!(sim.run_until(SETTLED_MS, |sim| failed_runs(sim, &job).len() == 1));
    sim.run(SETTLED_MS);
    assert_eq!(failed_runs(&sim, &job).len(), 1);
    assert_eq!(sim.state(&job), JobState::Running);
    (sim, job)
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Takeover {
    None,
    Before,
    After,
}

/// Guards against a job that is neither started nor ended, since a task of it has failed as often as
/// newer terms allow.
#[rstest]
fn test_job_whose_waiting_task_has_no_attempt_left_under_new_terms_ends_as_failed(
    #[values(step(1, 8, 500), gang(2, 8, 500))] spec: job::StepSpec,
    #[values(Takeover::None, Takeover::Before, Takeover::After)] takeover: Takeover,
    #[values(false, true)] is_queue_removed_first: bool,
) {
    let (mut sim, job) = sim_with_waiting_failure(spec);
    if takeover == Takeover::Before {
        sim.take_over();
    }
    if is_queue_removed_first {
        remove_queue(&mut sim, support::BATCH);
        sim.run(1_000);
        assert_eq!(sim.state(&job), JobState::Running);
        restore_queue(&mut sim, support::BATCH, 1);
    } else {
        lower_attempts(&mut sim, 1);
    }
    if takeover == Takeover::After {
        sim.take_over();
    }
    sim.run(SETTLED_MS);
    assert_eq!(sim.state(&job), JobState::Failed);
    let reason = sim.stored[&job].0.failure.clone();
    let reason = reason.expect("the caller is told why");
    assert!(reason.contains("1 failed"), "{reason}");
    let is_reported = |(_, event): &(u64, Event)| matches!(event, Event::OutOfAttempts { job: of, .. } if of == &job);
    assert_eq!(
        sim.events.iter().filter(|event| is_reported(event)).count(),
        1
    );
}

/// Guards against a job that waits for ever after the run under which its attempts were lowered was
/// stopped.
#[rstest]
fn test_job_ends_as_failed_once_the_run_that_lowered_attempts_leave_it_is_gone(
    #[values(false, true)] has_takeover: bool,
) {
    let mut sim = Simulation::new(1, 2, 0);
    fail_always(&mut sim, "waiting");
    let job = sim.submit(
        "waiting",
        support::BATCH,
        "b",
        vec![step(1, 8, RUN_TIME_MS)],
    );
    assert!(sim.run_until(SETTLED_MS, |sim| failed_runs(sim, &job).len() == 1));
    sim.task_behaviors.clear();
    assert!(sim.run_until(SETTLED_MS, |sim| sim.open_runs("waiting").count() == 1));
    lower_attempts(&mut sim, 1);
    if has_takeover {
        sim.take_over();
    }
    sim.run(500);
    assert_eq!(sim.state(&job), JobState::Running);
    // Preempts the run.
    sim.submit("urgent", support::URGENT, "a", vec![step(2, 8, 60_000)]);
    sim.run(SETTLED_MS);
    assert_eq!(sim.state(&job), JobState::Failed);
}

/// Guards against the opposite fault: a run that is at work when the attempts are lowered may still
/// complete its job.
#[test]
fn test_run_at_work_completes_its_job_although_lowered_attempts_allow_no_other() {
    let mut sim = Simulation::new(1, 2, 0);
    fail_always(&mut sim, "j1");
    let job = sim.submit("j1", support::BATCH, "b", vec![step(1, 8, RUN_TIME_MS)]);
    assert!(sim.run_until(SETTLED_MS, |sim| failed_runs(sim, &job).len() == 1));
    sim.task_behaviors.clear();
    assert!(sim.run_until(SETTLED_MS, |sim| sim.open_runs("j1").count() == 1));
    lower_attempts(&mut sim, 1);
    sim.run(RUN_TIME_MS + SETTLED_MS);
    assert_eq!(sim.state(&job), JobState::Completed);
}

/// Guards against a job that is failed by the terms of its acceptance while a host that has taken over
/// doesn't know the newer ones, which allow more attempts.
#[test]
fn test_job_is_not_failed_by_a_scheduler_that_knows_no_terms() {
    let (sim, job) = sim_with_waiting_failure(step(1, 8, 500));
    let now = sim.now();
    let mut accepted = sim.accepted[&job].clone();
    accepted.terms.attempts_max = 1;
    let mut engine = camphorbeam_jobs::engine::Engine::default();
    engine.submit(job.clone(), accepted, sim.stored.get(&job).cloned(), 0, now);
    engine.decide(now);
    assert_eq!(engine.job(&job).unwrap().progress.state, JobState::Running);
    engine.set_terms(support::standard_terms(0).into());
    engine.decide(now);
    assert_eq!(engine.job(&job).unwrap().progress.state, JobState::Running);
}

/// Guards against long-running tasks that end by a limit of attempts, which they don't have.
#[test]
fn test_long_running_job_stays_open_when_attempts_are_lowered() {
    let mut sim = Simulation::new(1, 2, 0);
    fail_always(&mut sim, "serving");
    let serving = job::StepSpec {
        is_long_running: true,
        ..step(1, 1, 500)
    };
    let job = sim.submit("serving", support::NORMAL, "b", vec![serving]);
    assert!(sim.run_until(20_000, |sim| failed_runs(sim, &job).len() >= 4));
    lower_attempts(&mut sim, 1);
    sim.run(SETTLED_MS);
    assert_eq!(sim.state(&job), JobState::Running);
}

/// Guards against a job that waits for servers that don't exist, and nobody is told for what.
#[rstest]
#[case::service_is_gone(step(2, 1, 500), "service")]
#[case::no_server_has_the_label(
    job::StepSpec { required_label: Some("r9".into()), ..step(2, 1, 500) },
    "label"
)]
#[case::no_server_is_large_enough(gang(2, 9, 500), "capacity")]
fn test_job_that_no_server_can_run_is_reported_and_starts_once_one_can(
    #[case] spec: job::StepSpec,
    #[case] need: &str,
) {
    let mut sim = Simulation::new(1, 2, 0);
    let set_service = |sim: &mut Simulation, name: &str| {
        sim.change_terms(|terms| {
            for queue in &mut terms.queues {
                queue.job_settings.service = id::ServiceName::new(name).unwrap();
            }
        });
    };
    if need == "service" {
        set_service(&mut sim, OTHER_SERVICE);
    }
    let job = sim.submit("j1", support::NORMAL, "b", vec![spec]);
    sim.run(SETTLED_MS);
    let reports = sim.events.iter().filter_map(|(_, event)| match event {
        Event::NoServer { job: of, need, .. } if of == &job => Some(*need),
        _ => None,
    });
    assert_eq!(reports.collect::<Vec<_>>(), [need]);
    match need {
        "service" => set_service(&mut sim, support::SERVICE),
        "label" => {
            let servers = sim.servers.values_mut();
            servers.for_each(|server| server.entry.labels = vec!["kind".into(), "r9".into()]);
        }
        _ => {
            let servers = sim.servers.values_mut();
            servers.for_each(|server| server.entry.capacity.accelerators = 16);
        }
    }
    sim.register();
    sim.run(SETTLED_MS);
    assert_eq!(sim.state(&job), JobState::Completed);
}

/// Simulated time during which terms change, servers fail and hosts take over.
const CHANGES_MS: u64 = 16_000;

/// Simulated time without changes, as the platform's `finish_s`.
const END_PHASE_MS: u64 = 14_000;

const OTHER_SERVICE: &str = "other";

const ADVICE: job::AdviceTerms = job::AdviceTerms {
    decide_ms: 20,
    each_ms: 1,
    valid_ms: 4_000,
};

/// Changes one setting of one queue, or removes or restores the queue.
fn change_randomly(sim: &mut Simulation, random: &mut ChaCha8Rng) {
    let standard = support::standard_terms(32);
    let number = random.random_range(0..standard.queues.len());
    let settings_of_queue = &standard.queues[number];
    let kind = random.random_range(0..8);
    let attempts_max = random.random_range(1..=4);
    let priority = random.random_range(0..=2);
    let objective_ratio = [0.0, 1.0, 1.5, 4.0][random.random_range(0..4)];
    let service = [support::SERVICE, OTHER_SERVICE][random.random_range(0..2)];
    let advised = sim.advised_queues();
    sim.change_terms(|terms| {
        let is_same = |queue: &terms::Queue| queue.name == settings_of_queue.name;
        if kind == 0 {
            terms.queues.retain(|queue| !is_same(queue));
            return;
        }
        let has_advice = advised.contains(&settings_of_queue.name);
        if !terms.queues.iter().any(is_same) {
            let mut queue = settings_of_queue.clone();
            queue.job_settings.advice = has_advice.then_some(ADVICE);
            terms.queues.push(queue);
        }
        for queue in terms.queues.iter_mut().filter(|queue| is_same(queue)) {
            let settings = &mut queue.job_settings;
            match kind {
                1 | 2 => settings.attempts_max = attempts_max,
                3 => settings.priority = priority,
                4 => settings.objective_ratio = objective_ratio,
                5 => settings.service = id::ServiceName::new(service).unwrap(),
                _ => {}
            }
        }
        for account in terms.accounts.values_mut() {
            if kind == 6 {
                account.guaranteed_accelerators = 8 * u64::from(attempts_max);
            }
        }
    });
    if kind == 7 {
        let advised = [
            &[][..],
            &[support::NORMAL],
            &[support::URGENT, support::BATCH],
        ];
        sim.set_advice_of_queues(advised[random.random_range(0..3)], ADVICE, |_| true);
    }
}

fn random_step(random: &mut ChaCha8Rng) -> job::StepSpec {
    let (count, work_ms) = (random.random_range(1..12), random.random_range(300..4_000));
    match random.random_range(0..5) {
        0 => gang(count, 8, work_ms),
        1 => gang(count, 2, work_ms),
        2 => job::StepSpec {
            tasks_per_server_max: 2,
            ..step(count, 1, work_ms)
        },
        3 => job::StepSpec {
            required_label: Some(format!("r{}", random.random_range(0..4)).into()),
            ..step(count, 1, work_ms)
        },
        _ => step(count, 1, work_ms),
    }
}

/// Guards against an open job for which no state is left in which it starts or ends, after terms have
/// changed in any order.
#[rstest]
fn test_work_starts_or_ends_after_random_changes_of_terms(#[values(0, 1, 2, 3)] block: u64) {
    for seed in block * 15..(block + 1) * 15 {
        let breaches = run_random_changes(seed);
        assert!(breaches.is_empty(), "seed {seed}: {breaches:#?}");
    }
}

/// Returns the breaches of the start promise in the end phase.
fn run_random_changes(seed: u64) -> Vec<String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let settings = Settings {
        has_adviser: true,
        ..Settings::default()
    };
    let mut sim = Simulation::with_settings(8, 6, 32, settings);
    // Half of each rack, so that each service has all labels.
    for (number, server) in sim.servers.values_mut().enumerate() {
        if number % 2 == 0 {
            server.entry.service = id::ServiceName::new(OTHER_SERVICE).unwrap();
        }
    }
    sim.register();
    let mut promise = StartPromise::new(Judged::EndPhase);
    let mut jobs = 0;
    let end_ms = sim.now_ms + CHANGES_MS;
    while sim.now_ms < end_ms {
        let mut happens = |mean_ms: u64| random.random_range(0..mean_ms / STEP_MS) == 0;
        let (is_change, is_job, is_takeover, is_failure) =
            (happens(700), happens(400), happens(5_000), happens(1_500));
        if is_change {
            change_randomly(&mut sim, &mut random);
        }
        let open = sim.open_queues();
        if is_job && !open.is_empty() {
            jobs += 1;
            let name = format!("{jobs:016x}");
            if random.random_bool(0.3) {
                fail_always(&mut sim, &name);
            }
            let queue = &open[random.random_range(0..open.len())];
            let steps = vec![random_step(&mut random)];
            sim.submit(&name, queue, ["a", "b"][random.random_range(0..2)], steps);
        }
        if is_takeover {
            sim.take_over();
        }
        if is_failure {
            let number = random.random_range(0..sim.servers.len());
            let server = sim.servers.values_mut().nth(number).unwrap();
            server.fails_all = !server.fails_all;
        }
        promise.note_fault(&sim);
        promise.run(&mut sim, STEP_MS);
    }
    for server in sim.servers.values_mut() {
        server.fails_all = false;
    }
    promise.note_fault(&sim);
    promise.begin_end_phase();
    promise.run(&mut sim, END_PHASE_MS);
    promise.breaches.iter().map(ToString::to_string).collect()
}
