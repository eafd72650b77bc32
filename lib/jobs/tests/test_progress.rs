//! The stored progress of a job.

use camphorbeam_jobs::progress::{JobState, Progress, TaskRecord, TaskState};
use camphorbeam_model::{id, job};

/// Size limit of a row in the store, in bytes; set by the platform.
const ROW_MAX_BYTES: usize = 65_536;

fn index(occurrence: u32, step: u32, rank: u32) -> job::TaskIndex {
    job::TaskIndex {
        occurrence,
        step,
        rank,
    }
}

fn started_record() -> TaskRecord {
    TaskRecord {
        run: id::Run(12),
        state: TaskState::Started,
        server: Some(id::BackendServerId::new("i-7f3a91c2e1").unwrap()),
        failures: 2,
        checkpoint: "00000bb87a21d94b".into(),
        failed_run: id::Run(11),
    }
}

#[test]
fn test_progress_round_trips_through_json() {
    let mut progress = Progress {
        state: JobState::Running,
        has_begun: true,
        ..Progress::default()
    };
    progress.tasks.insert(index(0, 1, 3), started_record());
    progress.finish_step(0, 0);
    let text = serde_json::to_string(&progress).unwrap();
    assert_eq!(serde_json::from_str::<Progress>(&text).unwrap(), progress);
}

#[test]
fn test_progress_without_an_account_and_counted_runs_is_read() {
    let text = r#"{"s":"running","b":true,"e":0,"t":[[0,1,3,12,"s","i-7f3a91c2e1",2,"ab"]]}"#;
    let progress: Progress = serde_json::from_str(text).unwrap();
    assert_eq!(progress.account, None);
    let record = progress.task(index(0, 1, 3));
    assert_eq!((record.failures, record.failed_run), (2, id::Run(0)));
    assert_eq!(serde_json::to_string(&progress).unwrap(), text);
}

/// The row of a job with many tasks is rewritten with each end, so its finished tasks have to take
/// little room on a slow link.
#[test]
fn test_progress_of_finished_tasks_is_stored_as_ranges() {
    let mut progress = Progress::default();
    for rank in 0..80 {
        let state = match rank {
            40 => TaskState::Waiting,
            41 => TaskState::Started,
            _ => TaskState::Done,
        };
        let record = TaskRecord {
            state,
            ..started_record()
        };
        progress.tasks.insert(index(0, 0, rank), record);
    }
    let text = serde_json::to_string(&progress).unwrap();
    assert!(text.len() < 250, "{text}");
    let read: Progress = serde_json::from_str(&text).unwrap();
    for rank in 0..80 {
        let index = index(0, 0, rank);
        assert_eq!(read.task_state(index), progress.task_state(index));
    }
    assert_eq!(read.task(index(0, 0, 41)), started_record());
    assert_eq!(read.tasks.len(), 80);
}

#[test]
fn test_progress_with_an_invalid_range_is_refused() {
    for range in [
        "[0,0,5,4]",
        "[0,0,5,4294967295]",
        "[0,0,5,99999999999]",
        "[0,0,5]",
    ] {
        let text = format!(r#"{{"s":"running","b":true,"e":0,"t":[{range}]}}"#);
        assert!(serde_json::from_str::<Progress>(&text).is_err(), "{text}");
    }
}

#[test]
fn test_progress_of_a_finished_step_drops_its_task_records() {
    let mut progress = Progress::default();
    progress.tasks.insert(index(0, 0, 0), started_record());
    progress.tasks.insert(index(0, 1, 0), started_record());
    progress.finish_step(0, 0);
    assert_eq!(progress.task_state(index(0, 0, 0)), TaskState::Done);
    assert_eq!(progress.task_state(index(0, 1, 0)), TaskState::Started);
    assert_eq!(progress.tasks.len(), 1);
}

#[test]
fn test_progress_of_the_largest_job_fits_in_a_store_row() {
    let mut progress = Progress::default();
    for rank in 0..job::TASKS_MAX {
        progress
            .tasks
            .insert(index(100, 10, rank), started_record());
    }
    for occurrence in 0..100 {
        progress.finish_step(occurrence, 10);
    }
    let text = serde_json::to_string(&progress).unwrap();
    assert!(text.len() <= ROW_MAX_BYTES, "{} bytes", text.len());
}
