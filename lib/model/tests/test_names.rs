//! Tests of names, task keys and request ids, also with arbitrary text.

use camphorbeam_model::{id, task};
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case::empty("")]
#[case::too_few_parts("r1/1")]
#[case::too_many_parts("r1/1/0/0")]
#[case::signed("r1/+1/0")]
#[case::leading_zero("r1/01/0")]
#[case::negative("r1/-1/0")]
#[case::over_32_bits("r1/4294967296/0")]
#[case::invalid_request_id("r 1/1/0")]
fn test_names_invalid_task_key_is_rejected(#[case] text: &str) {
    assert!(text.parse::<task::TaskKey>().is_err());
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 1_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn test_names_accept_exactly_the_documented_alphabet(text in "[ -~é]{0,70}") {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
        let expected = (1..=id::NAME_MAX_BYTES).contains(&text.len())
            && text.starts_with(|c: char| c.is_ascii_alphanumeric())
            && text.chars().all(is_allowed);
        prop_assert_eq!(id::HostId::new(&text).is_ok(), expected);
    }

    #[test]
    fn test_names_task_key_round_trips(
        request in "[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}",
        attempt in any::<u32>(),
        rank in any::<u32>(),
    ) {
        let key = task::TaskKey {
            request: id::RequestId::new(&request).expect("a valid name"),
            attempt: id::Attempt(attempt),
            rank: id::Rank(rank),
        };
        prop_assert_eq!(key.to_string().parse::<task::TaskKey>().ok(), Some(key.clone()));
        let json = serde_json::to_string(&key).expect("a task key can be serialized");
        prop_assert_eq!(serde_json::from_str::<task::TaskKey>(&json).ok(), Some(key));
    }

    #[test]
    fn test_names_parsed_task_key_formats_to_the_same_text(text in "[r1/+0.-]{0,12}|\\PC*") {
        if let Ok(key) = text.parse::<task::TaskKey>() {
            prop_assert_eq!(key.to_string(), text);
        }
    }

    #[test]
    fn test_names_request_id_is_unique_per_account_and_key(
        first in ("[a-c]{1,3}", "[a-c]{1,3}"),
        second in ("[a-c]{1,3}", "[a-c]{1,3}"),
    ) {
        let derive = |(account, key): &(String, String)| id::RequestId::derive(
            &id::ClientAccountName::new(account).expect("a valid name"),
            &id::IdempotencyKey::new(key).expect("a valid name"),
        );
        prop_assert_eq!(derive(&first) == derive(&second), first == second);
    }
}
