//! Tests that the settings of an entry host are read, and that all faults are reported at once,
//! each with its flag and value.

use std::path::PathBuf;

use camphorbeam_server::settings;
use clap::Command;
use rstest::rstest;

const VALID: [(&str, &str); 5] = [
    ("host", "e1"),
    ("zone", "z1"),
    ("listen", "127.0.0.1:8001"),
    ("peer-listen", "127.0.0.1:8002"),
    ("platform", "127.0.0.1:8003"),
];

/// A temporary file that contains the secret. It is removed when dropped.
struct SecretFile(PathBuf);

impl SecretFile {
    fn new(case: &str, secret: &str) -> Self {
        let name = format!("camphorbeam-settings-{}-{case}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, secret).expect("the temporary directory is writable");
        Self(path)
    }
}

impl Drop for SecretFile {
    fn drop(&mut self) {
        // A file that can't be removed does no harm.
        let _ = std::fs::remove_file(&self.0);
    }
}

fn read(
    secret: &SecretFile,
    changes: &[(&str, &str)],
) -> Result<settings::Settings, settings::SettingsError> {
    let path = secret.0.to_str().expect("the path is UTF-8");
    let valid = VALID.into_iter().chain([("secret-file", path)]);
    let unchanged = valid.filter(|(flag, _)| changes.iter().all(|(changed, _)| changed != flag));
    let args = unchanged
        .chain(changes.iter().copied())
        .map(|(flag, value)| format!("--{flag}={value}"));
    let command = Command::new("serve").args(settings::args());
    let matches = command
        .try_get_matches_from(std::iter::once("serve".to_owned()).chain(args))
        .expect("the flags are known");
    settings::read(&matches)
}

#[rstest]
fn test_settings_are_read() {
    let secret = SecretFile::new("read", "a secret of enough bytes\n");
    let peers = [("peers", "127.0.0.1:1, 127.0.0.1:2")];

    let settings = read(&secret, &peers).expect("the settings are valid");

    assert_eq!(settings.host.as_str(), "e1");
    assert_eq!(settings.peers.len(), 2);
    assert_eq!(settings.platform_timeout.as_millis(), 1000);
    assert!(settings.statsd.is_none());
}

#[rstest]
#[case::host("host", "e 1", "not a valid name")]
#[case::zone("zone", "", "not a valid name")]
#[case::listen("listen", "localhost:80", "write IP:PORT")]
#[case::platform("platform", "127.0.0.1", "write IP:PORT")]
#[case::peers("peers", "127.0.0.1:1,x", "write IP:PORT")]
#[case::statsd("statsd", "x", "write IP:PORT")]
#[case::not_a_number("scheduler-lease-ms", "2s", "whole number")]
#[case::too_low("scheduler-lease-ms", "199", "from 200 to 60000")]
#[case::too_high("platform-timeout-ms", "60001", "from 10 to 60000")]
#[case::no_worker("workers", "0", "from 1 to 256")]
#[case::threads("threads", "65", "from 1 to 64")]
// The minimum is 2 * (30000 + 1000), from the defaults of the sync wait and the order timeout.
#[case::task_lease_too_short("task-lease-ms", "61999", "at least twice")]
#[case::no_file("secret-file", "/nonexistent/secret", "No such file")]
fn test_settings_fault_names_the_flag(
    #[case] flag: &str,
    #[case] value: &str,
    #[case] reason: &str,
) {
    let secret = SecretFile::new(
        &format!("{flag}-{}", value.len()),
        "a secret of enough bytes",
    );

    let error = read(&secret, &[(flag, value)]).expect_err("the setting is wrong");

    assert_eq!(error.faults.len(), 1, "{error}");
    assert_eq!(error.faults[0].flag, flag);
    assert!(error.faults[0].reason.contains(reason), "{error}");
}

#[rstest]
fn test_settings_name_all_faults_at_once() {
    let secret = SecretFile::new("all", "short");
    let changes = [("host", "e 1"), ("listen", "x"), ("queue-max", "0")];

    let error = read(&secret, &changes).expect_err("four settings are wrong");

    let flags: Vec<_> = error.faults.iter().map(|fault| fault.flag).collect();
    assert_eq!(flags, ["host", "listen", "secret-file", "queue-max"]);
    // A fault prints its value in quotes. The secret must not be such a value.
    assert!(
        !error.to_string().contains("short\""),
        "the secret is printed: {error}"
    );
}
