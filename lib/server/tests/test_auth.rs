//! Tests that a token identifies its holder, and that it can't be forged without the secret.

use camphorbeam_model::id;
use camphorbeam_server::auth;
use proptest::prelude::*;
use rstest::rstest;

const SECRET: &str = "a secret of enough bytes";

fn keyring(secret: &str) -> auth::Keyring {
    auth::Keyring::new(secret).expect("the secret is long enough")
}

fn caller(account: &str) -> auth::Identity {
    auth::Identity::Caller(id::ClientAccountName::new(account).expect("a valid name"))
}

#[rstest]
#[case::caller(caller("sonede"))]
#[case::caller_named_operator(caller("operator"))]
#[case::operator(auth::Identity::Operator)]
#[case::peer(auth::Identity::Peer)]
fn test_auth_token_identifies_its_holder_only_if_whole(#[case] identity: auth::Identity) {
    let token = keyring(SECRET).token(&identity);

    assert_eq!(keyring(SECRET).identify(&token), Some(identity.clone()));
    assert_eq!(
        keyring("another secret of enough bytes").identify(&token),
        None
    );
    for end in 0..token.len() {
        assert_eq!(
            keyring(SECRET).identify(&token[..end]),
            None,
            "cut at {end}"
        );
    }
}

#[rstest]
#[case::another_account("caller:sonede", "caller:steg")]
#[case::longer_account("caller:sonede", "caller:sonede2")]
#[case::operator("caller:sonede", "operator")]
#[case::peer("operator", "peer")]
fn test_auth_token_is_invalid_for_another_subject(#[case] subject: &str, #[case] other: &str) {
    let keyring = keyring(SECRET);
    let token = match subject {
        "operator" => keyring.token(&auth::Identity::Operator),
        _ => keyring.token(&caller("sonede")),
    };
    let mac = token
        .strip_prefix(subject)
        .expect("the token names its subject");

    assert_eq!(keyring.identify(&format!("{other}{mac}")), None);
}

#[rstest]
fn test_auth_short_secret_is_refused_and_the_key_is_not_printed() {
    let short = "x".repeat(auth::SECRET_MIN_BYTES - 1);

    assert!(auth::Keyring::new(&short).is_err());
    assert_eq!(
        format!("{:?}", keyring(SECRET)),
        "Keyring",
        "the key must not be printed"
    );
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
    fn test_auth_arbitrary_text_is_no_valid_token(text in "\\PC*|(caller:|operator|peer)[a-z:]{0,6}:[0-9a-f]{64}") {
        prop_assert_eq!(keyring(SECRET).identify(&text), None);
    }

    #[test]
    fn test_auth_token_with_a_changed_byte_is_invalid(
        index in any::<prop::sample::Index>(),
        byte in 0x20_u8..0x7f,
    ) {
        let token = keyring(SECRET).token(&caller("sonede"));
        let mut bytes = token.as_bytes().to_vec();
        let index = index.index(bytes.len());
        prop_assume!(!bytes[index].eq_ignore_ascii_case(&byte));
        bytes[index] = byte;
        let changed = String::from_utf8(bytes).expect("ASCII stays ASCII");
        prop_assert_eq!(keyring(SECRET).identify(&changed), None);
    }
}
