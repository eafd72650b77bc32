//! Serialization of the sync messages: round trips, truncated and malformed input.

use std::sync::Arc;

use camphorbeam_backend::{sync, task};
use camphorbeam_model::{id, task as task_model};
use proptest::prelude::*;
use rstest::rstest;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn task_key() -> impl Strategy<Value = task_model::TaskKey> {
    ("[a-z][a-z0-9._-]{0,20}", any::<u32>(), any::<u32>()).prop_map(|(request, attempt, rank)| {
        task_model::TaskKey {
            request: id::RequestId::new(&request).expect("a valid name"),
            attempt: id::Attempt(attempt),
            rank: id::Rank(rank),
        }
    })
}

fn task_state() -> impl Strategy<Value = task::TaskState> {
    prop_oneof![
        Just(task::TaskState::Reserved),
        Just(task::TaskState::Running),
        Just(task::TaskState::Lapsed),
        ("\\PC{0,16}", any::<u64>()).prop_map(|(digest, bytes)| task::TaskState::Finished {
            digest: Arc::from(digest),
            bytes,
        }),
        "\\PC{0,16}".prop_map(|reason| task::TaskState::Failed { reason }),
        prop::option::of("\\PC{0,16}").prop_map(|checkpoint| task::TaskState::Stopped {
            checkpoint: checkpoint.map(Arc::from),
        }),
    ]
}

fn sync_request() -> impl Strategy<Value = sync::SyncRequest> {
    let keys = || prop::collection::vec(task_key(), 0..4);
    (any::<[u64; 4]>(), keys(), keys()).prop_map(|(numbers, unrenewed, released)| {
        sync::SyncRequest {
            epoch: id::Epoch(numbers[0]),
            after_event: numbers[1],
            wait_ms: numbers[2],
            lease_until_server_ms: numbers[3],
            unrenewed,
            released,
        }
    })
}

fn task_status() -> impl Strategy<Value = task::TaskStatus> {
    (task_key(), task_state(), any::<bool>()).prop_map(|(key, state, has_started)| {
        task::TaskStatus {
            key,
            state,
            has_started,
        }
    })
}

fn sync_reply() -> impl Strategy<Value = sync::SyncReply> {
    let changed = prop::collection::vec(task_status(), 0..4);
    (any::<[u64; 3]>(), any::<bool>(), any::<u32>(), changed).prop_map(
        |(numbers, is_leaving, busy_accelerators, changed)| sync::SyncReply {
            incarnation: numbers[0],
            server_now_ms: numbers[1],
            last_event: numbers[2],
            is_leaving,
            busy_accelerators,
            changed,
        },
    )
}

/// Text made of the characters of JSON, so that decoding often gets beyond the first byte.
fn json_like_text() -> impl Strategy<Value = String> {
    "[\\[\\]{}0-9,:\"a-z./ -]{0,40}"
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn test_sync_request_round_trips(request in sync_request()) {
        let bytes = serde_json::to_vec(&request).expect("the request can be serialized");
        prop_assert_eq!(serde_json::from_slice::<sync::SyncRequest>(&bytes).ok(), Some(request));
    }

    #[test]
    fn test_sync_reply_round_trips(reply in sync_reply()) {
        let bytes = serde_json::to_vec(&reply).expect("the reply can be serialized");
        prop_assert_eq!(serde_json::from_slice::<sync::SyncReply>(&bytes).ok(), Some(reply));
    }

    #[test]
    fn test_decoding_arbitrary_bytes_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = serde_json::from_slice::<sync::SyncRequest>(&bytes);
        let _ = serde_json::from_slice::<sync::SyncReply>(&bytes);
    }

    #[test]
    fn test_decoding_malformed_json_never_panics(text in json_like_text()) {
        let _ = serde_json::from_str::<sync::SyncRequest>(&text);
        let _ = serde_json::from_str::<sync::SyncReply>(&text);
        let _ = serde_json::from_str::<task::TaskSpec>(&text);
        let _ = serde_json::from_str::<task::ListedTask>(&text);
    }

    #[test]
    fn test_truncated_sync_reply_is_rejected(reply in sync_reply(), length in any::<prop::sample::Index>()) {
        let bytes = serde_json::to_vec(&reply).expect("the reply can be serialized");
        let truncated = &bytes[..length.index(bytes.len())];
        prop_assert!(serde_json::from_slice::<sync::SyncReply>(truncated).is_err());
    }
}

#[rstest]
#[case::missing_field("[1,2,3,4,[]]")]
#[case::extra_field("[1,2,3,4,[],[],0]")]
#[case::negative_epoch("[-1,2,3,4,[],[]]")]
#[case::invalid_task_key("[1,2,3,4,[\"r1\"],[]]")]
#[case::object_instead_of_array("{\"epoch\":1}")]
fn test_malformed_sync_request_is_rejected(#[case] text: &str) {
    assert!(serde_json::from_str::<sync::SyncRequest>(text).is_err());
}
