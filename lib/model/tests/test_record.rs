//! Tests of the request record: limit on the history, tokens, serialized form and standing.

use std::sync::Arc;

use camphorbeam_model::{id, record, request, verdict};
use rstest::rstest;

fn entry(number: usize) -> record::HistoryEntry {
    record::HistoryEntry {
        token: Arc::from(format!("t{number}")),
        at_unix_ms: number as u64,
        host: id::HostId::new("e1").expect("a valid name"),
        event: record::HistoryEvent::Accepted,
        attempt: id::Attempt(u32::try_from(number).expect("a small number")),
        epoch: id::Epoch(1),
        verdict: verdict::Verdict::NotRun,
        detail: String::new(),
    }
}

fn new_record() -> record::RequestRecord {
    let spec = request::RequestSpec {
        client_account: id::ClientAccountName::new("sonede").expect("a valid name"),
        key: id::IdempotencyKey::new("k1").expect("a valid name"),
        kind: id::KindName::new("curve-fit").expect("a valid name"),
        accelerators: 4,
        idempotent: false,
        checkpointable: false,
        declared_run_time_ms: 0,
        zone: None,
        payload: String::new(),
    };
    record::RequestRecord {
        id: spec.id(),
        spec,
        zone: id::ZoneName::new("z1").expect("a valid name"),
        accepted_at_unix_ms: 0,
        state: record::RequestState::Waiting,
        last_attempt: id::Attempt(0),
        crashed_attempts: Vec::new(),
        resume_from: None,
        steps: vec![entry(0)],
        steps_dropped: 0,
    }
}

#[rstest]
#[case::below_the_limit(record::HISTORY_ENTRIES_MAX - 1, 0)]
#[case::at_the_limit(record::HISTORY_ENTRIES_MAX, 0)]
#[case::above_the_limit(record::HISTORY_ENTRIES_MAX + 1, 1)]
#[case::far_above_the_limit(10 * record::HISTORY_ENTRIES_MAX, 9 * record::HISTORY_ENTRIES_MAX as u64)]
fn test_record_keeps_the_first_and_the_newest_history_entries(
    #[case] total: usize,
    #[case] dropped: u64,
) {
    let mut record = new_record();
    for number in 1..total {
        record.push_entry(entry(number));
    }

    assert_eq!(record.steps.len(), total.min(record::HISTORY_ENTRIES_MAX));
    assert_eq!(record.steps_dropped, dropped);
    assert!(record.has_token("t0"), "the first entry is lost");
    assert!(
        record.has_token(&format!("t{}", total - 1)),
        "the newest entry is lost"
    );
    assert!(record.steps.is_sorted_by_key(|entry| entry.at_unix_ms));
}

#[rstest]
fn test_record_last_attempt_never_decreases() {
    let record = new_record()
        .with_entry(record::RequestState::Waiting, entry(3))
        .with_entry(record::RequestState::Waiting, entry(2));

    assert_eq!(record.last_attempt, id::Attempt(3));
}

#[rstest]
#[case::waiting(record::RequestState::Waiting)]
#[case::started(record::RequestState::Started {
    attempt: id::Attempt(1),
    epoch: id::Epoch(2),
    members: Vec::new(),
})]
#[case::cancelled(record::RequestState::Cancelled { verdict: verdict::Verdict::MayHaveRun })]
#[case::unknown(record::RequestState::Unknown {
    attempt: id::Attempt(1),
    reason: "no reply from b1".to_owned(),
})]
fn test_record_round_trips_through_json(#[case] state: record::RequestState) {
    let record = new_record().with_entry(state, entry(1));

    let row = serde_json::to_value(&record).expect("a record can be serialized");

    assert_eq!(
        serde_json::from_value::<record::RequestRecord>(row).ok(),
        Some(record)
    );
}

#[rstest]
#[case::waiting(record::RequestState::Waiting, record::Standing::Pending)]
#[case::refused(
    record::RequestState::Refused { reason: String::new() },
    record::Standing::Ended(verdict::Verdict::NotRun)
)]
#[case::failed(
    record::RequestState::Failed { attempt: id::Attempt(1), reason: String::new() },
    record::Standing::Ended(verdict::Verdict::Ran)
)]
#[case::unknown(
    record::RequestState::Unknown { attempt: id::Attempt(1), reason: String::new() },
    record::Standing::Ended(verdict::Verdict::MayHaveRun)
)]
fn test_record_standing_matches_the_state(
    #[case] state: record::RequestState,
    #[case] standing: record::Standing,
) {
    assert_eq!(state.standing(), standing);
}
