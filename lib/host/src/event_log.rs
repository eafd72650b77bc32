//! Logs the events of the scheduling engine, one line each.

use camphorbeam_jobs::event::Event;
use camphorbeam_jobs::hindrance;
use camphorbeam_model::{id, job};

/// Logs an event of the scheduler that runs in `epoch`.
pub fn log_event(epoch: id::Epoch, event: &Event) {
    match event {
        Event::Opened {
            job,
            queue,
            priority,
            tasks,
            is_gang,
            accelerators,
            core_s,
            critical_path_ms,
            objective_ms,
            is_scheduled_or_long_running,
            age_ms,
        } => spdlog::info!("job open", kv: {
            job = job.as_str(), queue = queue.as_str(), priority = *priority, tasks = *tasks,
            is_gang = *is_gang, accelerators = *accelerators, core_s = core_s.round(),
            critical_path_ms = *critical_path_ms, objective_ms = *objective_ms,
            is_scheduled_or_long_running = *is_scheduled_or_long_running, age_ms = *age_ms,
            epoch = epoch.0
        }),
        Event::Preemption {
            job,
            first,
            tasks,
            victims,
            lost_core_s,
            waited_ms,
        } => spdlog::info!("preempts", kv: {
            job = job.as_str(), task = format_task_index(*first).as_str(), tasks = *tasks,
            victims = *victims, lost_core_s = lost_core_s.round(), waited_ms = *waited_ms,
            epoch = epoch.0
        }),
        Event::Reservation {
            job,
            first,
            tasks,
            servers,
            remaining_ms,
            allowed,
            waited_ms,
        } => spdlog::info!("reserves for a gang", kv: {
            job = job.as_str(), task = format_task_index(*first).as_str(), tasks = *tasks,
            servers = *servers, remaining_ms = *remaining_ms, allowed = *allowed,
            waited_ms = *waited_ms, epoch = epoch.0
        }),
        Event::StartBlocked {
            job,
            first,
            tasks,
            obstacle,
        } => spdlog::info!("start blocked", kv: {
            job = job.as_str(), task = format_task_index(*first).as_str(), tasks = *tasks,
            obstacle = *obstacle, epoch = epoch.0
        }),
        Event::StartWithheld {
            job,
            first,
            tasks,
            cause,
            room_ms,
            room,
            free_percent,
            claims,
            claims_end_ms,
            waited_ms,
        } => spdlog::info!("start withheld", kv: {
            job = job.as_str(), task = format_task_index(*first).as_str(), tasks = *tasks,
            cause = *cause, room_ms = *room_ms, room = format_room(room).as_str(),
            free_percent = *free_percent, claims = *claims, claims_end_ms = *claims_end_ms,
            waited_ms = *waited_ms, epoch = epoch.0
        }),
        Event::Placed {
            job,
            first,
            tasks,
            run,
            server,
            waited_ms,
        } => spdlog::info!("placed", kv: {
            job = job.as_str(), task = format_task_index(*first).as_str(), tasks = *tasks,
            run = run.0, server = server.as_str(), waited_ms = *waited_ms, epoch = epoch.0
        }),
        Event::Ended {
            job,
            task,
            run,
            server,
            how,
            cause,
            worked_ms,
            lost_core_s,
            failures,
        } => spdlog::info!("run ended", kv: {
            job = job.as_str(), task = format_task_index(*task).as_str(), run = run.0,
            server = server.as_str(), how = *how, cause = *cause, worked_ms = *worked_ms,
            lost_core_s = lost_core_s.round(), failures = *failures, epoch = epoch.0
        }),
        Event::Stopping {
            job,
            task,
            run,
            server,
            reason,
        } => spdlog::info!("stopping", kv: {
            job = job.as_str(), task = format_task_index(*task).as_str(), run = run.0,
            server = server.as_str(), reason = *reason, epoch = epoch.0
        }),
        Event::State { job, state, age_ms } => spdlog::info!("job state", kv: {
            job = job.as_str(), state = state.name(), age_ms = *age_ms, epoch = epoch.0
        }),
        Event::Server {
            server,
            belief,
            runs,
        } => spdlog::info!("backend server", kv: {
            server = server.as_str(), belief = *belief, runs = *runs, epoch = epoch.0
        }),
        Event::AddressReused {
            server,
            by,
            runs,
            silent_ms,
        } => spdlog::info!("address reused", kv: {
            server = server.as_str(), by = by.as_str(), runs = *runs, silent_ms = *silent_ms,
            epoch = epoch.0
        }),
        Event::RunLost {
            job,
            task,
            run,
            server,
            age_ms,
            has_begun,
            neighbours,
        } => spdlog::info!("run lost", kv: {
            job = job.as_str(), task = format_task_index(*task).as_str(), run = run.0,
            server = server.as_str(), age_ms = *age_ms, has_begun = *has_begun,
            neighbours = *neighbours, epoch = epoch.0
        }),
        Event::Crash {
            job,
            task,
            server,
            blame,
            is_proven,
            has_begun,
            crashes,
        } => spdlog::info!("server lost under a task", kv: {
            job = job.as_str(), task = format_task_index(*task).as_str(),
            server = server.as_str(), blame = *blame, is_proven = *is_proven,
            has_begun = *has_begun, crashes = *crashes, epoch = epoch.0
        }),
        Event::LossResolved {
            server,
            has_crashed,
            jobs,
        } => spdlog::info!("loss of a server resolved", kv: {
            server = server.as_str(), has_crashed = *has_crashed, jobs = *jobs, epoch = epoch.0
        }),
        Event::GivenUp { job, task, crashes } => spdlog::warn!("job given up", kv: {
            job = job.as_str(), task = format_task_index(*task).as_str(), crashes = *crashes,
            epoch = epoch.0
        }),
        Event::OutOfAttempts {
            job,
            task,
            failures,
            attempts_max,
            terms,
        } => spdlog::info!("job out of attempts", kv: {
            job = job.as_str(), task = format_task_index(*task).as_str(), failures = *failures,
            attempts_max = *attempts_max, terms = terms.0, epoch = epoch.0
        }),
        Event::EarlierRunDone {
            job,
            task,
            run,
            server,
            newest_run,
        } => spdlog::info!("done by an earlier run", kv: {
            job = job.as_str(), task = format_task_index(*task).as_str(), run = run.0,
            server = server.as_str(), newest_run = newest_run.0, epoch = epoch.0
        }),
        Event::LateStartRefused {
            job,
            task,
            run,
            server,
            left_ms,
        } => spdlog::info!("late start refused", kv: {
            job = job.as_str(), task = format_task_index(*task).as_str(), run = run.0,
            server = server.as_str(), left_ms = *left_ms, epoch = epoch.0
        }),
        Event::NoServer { job, first, need } => spdlog::warn!("waits for a server", kv: {
            job = job.as_str(), task = format_task_index(*first).as_str(), need = *need,
            epoch = epoch.0
        }),
        Event::Evacuation {
            zone,
            state,
            servers,
            runs,
        } => spdlog::info!("evacuation", kv: {
            zone = zone.as_str(), state = *state, servers = *servers, runs = *runs,
            epoch = epoch.0
        }),
        Event::StartPause {
            is_paused,
            confirmation_age_ms,
        } => spdlog::warn!("starts paused or resumed", kv: {
            is_paused = *is_paused, confirmation_age_ms = *confirmation_age_ms, epoch = epoch.0
        }),
        Event::EvacuationWait { job, reason } => {
            spdlog::info!("waits for an evacuation to end", kv: {
                job = job.as_str(), reason = *reason, epoch = epoch.0
            })
        }
        Event::WaitsForProven {
            job,
            first,
            tasks,
            proven,
        } => spdlog::info!("waits for proven servers", kv: {
            job = job.as_str(), task = format_task_index(*first).as_str(), tasks = *tasks,
            proven = *proven, epoch = epoch.0
        }),
        Event::Advice {
            step,
            outcome,
            asked,
            good,
            foreign,
            malformed,
            took_ms,
        } => spdlog::info!("advice", kv: {
            job = step.job.as_str(), step = step.to_string().as_str(), outcome = *outcome,
            asked = *asked, good = *good, foreign = *foreign, malformed = *malformed,
            took_ms = *took_ms, epoch = epoch.0
        }),
        Event::AdviceWait {
            step,
            tasks,
            good,
            bad,
        } => spdlog::info!("waits for a good server", kv: {
            job = step.job.as_str(), step = step.to_string().as_str(), tasks = *tasks,
            good = *good, bad = *bad, epoch = epoch.0
        }),
        Event::Adviser { is_away, silent_ms } => spdlog::warn!("advice lost or regained", kv: {
            is_away = *is_away, silent_ms = *silent_ms, epoch = epoch.0
        }),
        Event::NoAdviser { queue } => spdlog::error!("no address for advice", kv: {
            queue = queue.as_str(), epoch = epoch.0
        }),
        Event::StopRefused {
            job,
            task,
            reason,
            unavailable,
            unavailable_max,
        } => spdlog::info!("stop refused", kv: {
            job = job.as_str(), task = format_task_index(*task).as_str(), reason = *reason,
            unavailable = *unavailable, unavailable_max = *unavailable_max, epoch = epoch.0
        }),
        Event::RestartDelayed {
            job,
            first,
            quick_ends,
            delay_ms,
        } => spdlog::info!("restart delayed", kv: {
            job = job.as_str(), task = format_task_index(*first).as_str(),
            quick_ends = *quick_ends, delay_ms = *delay_ms, epoch = epoch.0
        }),
        Event::Pace {
            server,
            change,
            tail_permille,
            fillers,
            allowed_percent,
        } => spdlog::info!("pace", kv: {
            server = server.as_str(), change = change.name(), tail_permille = *tail_permille,
            fillers = *fillers, allowed_percent = *allowed_percent, epoch = epoch.0
        }),
        Event::ShareOrder {
            ahead,
            passed,
            younger_ms,
            decisions,
        } => spdlog::info!("order changed by shares", kv: {
            ahead = ahead.as_str(), passed = passed.as_str(), younger_ms = *younger_ms,
            decisions = *decisions, epoch = epoch.0
        }),
        Event::Reach {
            view,
            name,
            servers,
            silent_ms,
        } => spdlog::info!("reach", kv: {
            view = view.name(), name = name.as_ref(), servers = *servers, silent_ms = *silent_ms,
            epoch = epoch.0
        }),
        Event::Interference(change) => spdlog::info!("interference", kv: {
            kind = &*change.kind, neighbour = &*change.neighbour, counts = change.counts,
            slowdown_ratio = change.slowdown_ratio, evidence = change.evidence,
            reason = change.reason, epoch = epoch.0
        }),
    }
}

/// The tasks for which there is room as `hindrance count`, separated by commas.
fn format_room(room: &hindrance::RoomByHindrance) -> String {
    let entries = room
        .iter()
        .map(|(hindrance, tasks)| format!("{} {tasks}", hindrance.name()));
    entries.collect::<Vec<_>>().join(", ")
}

fn format_task_index(task: job::TaskIndex) -> String {
    format!("{}.{}.{}", task.occurrence, task.step, task.rank)
}
