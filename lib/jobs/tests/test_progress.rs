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
