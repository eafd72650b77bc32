//! Maintenance waves: which machine is next, what is known of each, and what happens to its work.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

use camphorbeam_fleet_model as support;
use camphorbeam_fleet_model::{gang, step, Simulation};
use camphorbeam_jobs::engine::{Engine, Now};
use camphorbeam_jobs::maintenance::{
    Machine, MachineName, MachineState, Machines, Plan, UpkeepOutcome, Wave, WaveName, WaveRecord,
    WaveState, Work,
};
use camphorbeam_jobs::orders;
use camphorbeam_jobs::progress::JobState;
use camphorbeam_model::{fleet, id, job};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn server(name: &str) -> id::BackendServerId {
    id::BackendServerId::new(name).unwrap()
}

fn wave(version: u64, machines: &[&str], concurrency_max: usize) -> Wave {
    Wave {
        key: "wave/1".into(),
        version,
        name: WaveName::Number(1),
        machines: machines.iter().copied().map(MachineName::from).collect(),
        duration_ms: 100_000,
        concurrency_max,
    }
}

fn listed_up(machines: &[&str]) -> Machines {
    let state = MachineState::Up;
    let machine = |name: &&str| {
        let server = Some(server(name));
        (MachineName::from(*name), Machine { state, server })
    };
    machines.iter().map(machine).collect()
}

fn work(runs: usize, lost_core_ms: u64) -> Work {
    Work { runs, lost_core_ms }
}

fn no_reply() -> UpkeepOutcome {
    UpkeepOutcome::Unknown {
        reason: "no reply".to_owned(),
    }
}

fn new_state(wave: Wave) -> WaveState {
    let record = WaveRecord::of_wave(&wave, None, 0);
    WaveState::new(wave, record)
}

fn asked(plan: &Plan) -> Vec<&str> {
    plan.ask.iter().map(|(name, _)| &**name).collect()
}

/// Guards against too many machines in upkeep, a false completion, a wave that doesn't end, and a
/// second upkeep, with refused calls, lost calls and replies, a machine that leaves, takeovers, and
/// a row that is written again.
#[rstest]
fn test_maintenance_of_a_whole_wave_with_faults(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64,
) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let names = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
    let mut machines = listed_up(&names);
    let mut begun: BTreeMap<MachineName, u64> = BTreeMap::new();
    let mut state = new_state(wave(5, &names, 2));
    for second in 0..200 {
        let now_ms = second * 1_000;
        for (name, at_ms) in &begun {
            if let Some(machine) = machines.get_mut(name).filter(|_| now_ms > at_ms + 4_000) {
                machine.state = MachineState::Up;
            }
        }
        match second {
            12 => drop(machines.remove("e")),
            20 if seed.is_multiple_of(2) => {
                let renewed = wave(6, &names, 2);
                let record = WaveRecord::of_wave(&renewed, Some(&state.record), now_ms);
                state = WaveState::new(renewed, record);
            }
            15 | 25 => {
                let text = serde_json::to_string(&state.record).unwrap();
                let record = serde_json::from_str(&text).unwrap();
                state = WaveState::new(state.wave.clone(), record);
            }
            _ => {}
        }
        state.record_list(&machines);

        let plan = state.plan(
            &machines,
            &BTreeSet::new(),
            &|_| work(0, 0),
            &|_| true,
            now_ms,
            now_ms,
        );
        if plan.is_complete {
            assert!(machines.keys().all(|name| begun.contains_key(name)));
            return;
        }
        for (name, _) in plan.ask {
            state.record.asked.insert(name.clone());
            let fault = random.random_range(0..6);
            let outcome = match (fault, machines.contains_key(&name)) {
                (0, _) => UpkeepOutcome::RateLimited,
                (1, _) => UpkeepOutcome::Busy,
                (2, _) => no_reply(),
                (_, false) => UpkeepOutcome::UnknownMachine,
                _ => {
                    if begun.insert(name.clone(), now_ms).is_none() {
                        machines.get_mut(&name).unwrap().state = MachineState::Upkeep;
                    }
                    match fault {
                        3 => no_reply(),
                        _ => UpkeepOutcome::Begun,
                    }
                }
            };
            state.record_outcome(&name, &outcome, now_ms);
        }
        let in_upkeep = machines
            .values()
            .filter(|machine| machine.state == MachineState::Upkeep);
        assert!(in_upkeep.count() <= 2);
    }
    panic!("the wave has not ended: {:?}", state.record);
}

/// Guards against lost work before the time requires it, a broken budget, and a refused or blocked
/// machine that keeps others from their upkeep.
#[test]
fn test_maintenance_order_of_machines() {
    let names = ["a", "b", "c", "d"];
    let machines = listed_up(&names);
    let mut state = new_state(wave(5, &names, 1));
    let work_of = |id: &id::BackendServerId| match id.as_str() {
        "a" => work(1, 900),
        "b" => work(1, 100),
        "c" => work(1, 0),
        _ => work(0, 0),
    };
    let none = BTreeSet::new();
    let checked = RefCell::new(Vec::new());
    let may_interrupt = |id: &id::BackendServerId| {
        checked.borrow_mut().push(id.to_string());
        id.as_str() != "c"
    };
    let plan_at = |state: &mut WaveState, now_ms| {
        state.plan(&machines, &none, &work_of, &may_interrupt, now_ms, now_ms)
    };
    // The idle machine at once; after its refusal the least work, which is drained until it is due.
    assert_eq!(asked(&plan_at(&mut state, 0)), ["d"]);
    state.record.asked.insert("d".into());
    state.record_outcome(&"d".into(), &UpkeepOutcome::NotOfWave, 0);
    assert!(state.record.asked.is_empty());
    let plan = plan_at(&mut state, 1_000);
    assert!(plan.closed == BTreeSet::from([server("b")]) && plan.vacate.is_none());
    // The budgets are not checked for a machine without a place.
    assert!(!checked.borrow().contains(&"a".to_owned()));
    let plan = plan_at(&mut state, 16_000);
    assert_eq!(plan.vacate, Some(("b".into(), server("b"))));
    state.record_vacated(&"b".into(), 16_000);
    assert_eq!(plan_at(&mut state, 18_000).ask, []);
    // Some runs are left after the limit.
    assert_eq!(asked(&plan_at(&mut state, 19_000)), ["b"]);
    for name in ["a", "b", "d"] {
        state.record_outcome(&name.into(), &UpkeepOutcome::Begun, 20_000);
    }
    // Also a late wave keeps the budgets.
    let plan = plan_at(&mut state, 99_000);
    assert!(plan.vacate.is_none() && plan.ask.is_empty() && !plan.is_complete);
    assert_eq!(plan.blocked, [MachineName::from("c")]);
    for _ in 0..3 {
        state.record_outcome(&"c".into(), &UpkeepOutcome::NotOfWave, 20_000);
    }
    let plan = plan_at(&mut state, 99_000);
    assert!(plan.closed.is_empty() && plan.blocked.is_empty() && !plan.is_complete);
}

/// Guards against several machines that lose their runs at once if the operator began a wave anew
/// under the same name, so that the upkeep of machines that were confirmed isn't over.
#[test]
fn test_maintenance_repeats_calls_one_by_one_for_machines_with_runs() {
    let names = ["a", "b", "c", "d"];
    let machines = listed_up(&names);
    let mut record = WaveRecord::of_wave(&wave(5, &names, 4), None, 0);
    record.confirmed = names.map(MachineName::from).into();
    let renewed = wave(6, &names, 4);
    let record = WaveRecord::of_wave(&renewed, Some(&record), 0);
    let mut state = WaveState::new(renewed, record);
    let work_of = |id: &id::BackendServerId| work(usize::from(id.as_str() < "d"), 0);
    let none = BTreeSet::new();
    let plan = state.plan(&machines, &none, &work_of, &|_| true, 0, 0);
    assert_eq!(asked(&plan), ["a", "d"]);
}

/// Guards against starts on a closed server, a partial gang, a second run beside the first, and
/// work that isn't placed elsewhere, when the machine is taken down before all of its runs have
/// ended.
#[rstest]
fn test_maintenance_moves_the_work_of_a_vacated_server(#[values(false, true)] has_takeover: bool) {
    let mut sim = Simulation::new(2, 3, 0);
    sim.delayed_start_ratio = 0.05;
    for number in 0..6 {
        let work = [gang(3, 4, 6_000), step(4, 2, 4_000)][number % 2].clone();
        sim.submit(&format!("job{number}"), support::NORMAL, "b", vec![work]);
        sim.run(200);
    }
    sim.run(1_000);
    let names: Vec<String> = sim.servers.keys().cloned().collect();
    let busiest = names.iter().max_by_key(|name| sim.running_on(name));
    let name = busiest.unwrap();
    let any = |_: &Engine, _: &id::BackendServerId, _: Now| true;
    let now = sim.now();
    let work = sim.engine.work_on(&server(name));
    assert!(sim.running_on(name) > 0 && work.lost_core_ms > 0);
    assert!(!sim.engine.vacate(&server(name), &|_, _, _| false, now));
    assert!(sim.engine.vacate(&server(name), &any, now));
    sim.run(if has_takeover { 100 } else { 900 });
    sim.crash(name);
    sim.server(name).is_unreachable = true;
    if has_takeover {
        sim.take_over();
        let closed = BTreeSet::from([server(name)]);
        sim.engine.close_for_maintenance(closed);
    }
    sim.run(4_000);
    sim.server(name).is_unreachable = false;
    sim.run(2_000);
    let mut records = sim.run_records.iter();
    let is_late = records.any(|run| run.server == *name && run.started_at_ms > now.ms);
    assert!(has_takeover || !is_late);
    sim.engine.close_for_maintenance(BTreeSet::new());
    sim.run(60_000);
    let mut ids = sim.accepted.keys();
    assert!(ids.all(|id| sim.state(id) == JobState::Completed));
    sim.assert_no_duplicate_runs();
}

/// Reports the progress of some tasks to the engine, as their servers do.
fn report(sim: &mut Simulation, id: &id::JobId, percents: &[u32]) {
    let now = sim.now();
    let runs = sim.engine.job(id).unwrap().runs.clone();
    for ((index, live), percent) in runs.iter().zip(percents) {
        let task = job::TaskName {
            job: id.clone(),
            index: *index,
        };
        let run = live.run;
        let started_unix_ms = sim.servers[live.server.as_str()].incarnation;
        let reply = orders::HoldReply {
            incarnation: fleet::Incarnation { started_unix_ms },
            server_ms: now.ms,
            running: vec![orders::RunningEntry {
                name: orders::RunName { task, run },
                checkpoint: "".into(),
                percent: *percent,
                load: None,
            }],
            ended: Vec::new(),
            may_have_more_ends: false,
            has_unreadable_runs: false,
            ends_readable_upto: u64::MAX,
        };
        sim.engine.hold_reply(&live.server, now.ms, &reply, now);
    }
}

/// Three available long-running tasks on three servers.
fn submit_available(sim: &mut Simulation, disrupted_tasks_max: u32) -> id::JobId {
    let work = job::StepSpec {
        is_long_running: true,
        tasks_per_server_max: 1,
        disrupted_tasks_max,
        ..step(3, 1, 1_500)
    };
    sim.let_stay("j1");
    let id = sim.submit("j1", support::NORMAL, "b", vec![work]);
    sim.run(3_000);
    id
}

fn vacated(sim: &mut Simulation, id: &id::JobId) -> usize {
    let now = sim.now();
    let runs = sim.engine.job(id).unwrap().runs.clone();
    let done = runs
        .values()
        .filter(|live| (sim.engine).vacate(&live.server, &Engine::keeps_budgets_without, now));
    done.count()
}

/// Guards against more unavailable tasks of a step than its budget allows, and against a vacated
/// machine whose upkeep is refused because other tasks become unavailable after the stop.
#[rstest]
fn test_maintenance_keeps_disruption_budgets(#[values(0, 1, 2)] disrupted_tasks_max: u32) {
    let mut sim = Simulation::new(1, 3, 0);
    let id = submit_available(&mut sim, disrupted_tasks_max);
    assert_eq!(vacated(&mut sim, &id), disrupted_tasks_max as usize);
    report(&mut sim, &id, &[40, 40, 40]);
    let now = sim.now();
    let runs = sim.engine.job(&id).unwrap().runs.values();
    let may_begin = runs.filter(|live| sim.engine.keeps_budgets_without(&live.server, now));
    assert_eq!(may_begin.count(), disrupted_tasks_max as usize);
}

/// Why a task is unavailable.
#[derive(Clone, Copy)]
enum Outage {
    FellBack,
    SilentServer,
    Takeover,
}

/// Guards against stops beside a task that fell back from 100 percent, beside one whose server is
/// silent, and by a successor before any server has reported its tasks.
#[rstest]
fn test_maintenance_counts_unavailable_tasks(
    #[values(Outage::FellBack, Outage::SilentServer, Outage::Takeover)] outage: Outage,
) {
    let mut sim = Simulation::new(1, 3, 0);
    let id = submit_available(&mut sim, 1);
    let now = sim.now();
    let runs = sim.engine.job(&id).unwrap().runs.clone();
    let mut servers = runs.values().map(|live| &live.server);
    assert!(servers.all(|server| sim.engine.keeps_budgets_without(server, now)));
    match outage {
        Outage::FellBack => report(&mut sim, &id, &[40]),
        Outage::SilentServer => {
            let silent = runs.values().next().unwrap().server.to_string();
            sim.server(&silent).is_unreachable = true;
            sim.run(3_000);
        }
        Outage::Takeover => {
            sim.sends_holds = false;
            sim.take_over();
        }
    }
    let now = sim.now();
    let others = runs.values().skip(1);
    let vacated = others
        .filter(|live| (sim.engine).vacate(&live.server, &Engine::keeps_budgets_without, now));
    assert_eq!(vacated.count(), 0);
}
