//! Exit codes and messages of the binary for invalid settings, an unreachable host and a missing
//! secret.

use std::process::Command;

use rstest::rstest;

fn camphorbeam() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_camphorbeam"));
    command.env_clear();
    command
}

#[rstest]
fn test_command_line_reports_every_invalid_setting() {
    let output = camphorbeam()
        .args(["serve", "--host", "e 1", "--zone", "z1"])
        .args(["--listen", "nowhere", "--peer-listen", "127.0.0.1:0"])
        .args(["--platform", "127.0.0.1:1", "--task-lease-ms", "5"])
        .output()
        .expect("the binary runs");

    let message = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{message}");
    for expected in [
        "--host \"e 1\"",
        "--listen \"nowhere\"",
        "--task-lease-ms \"5\"",
        "--secret-file",
    ] {
        assert!(message.contains(expected), "{expected} is not in {message}");
    }
}

#[rstest]
fn test_command_line_unreachable_host_has_its_own_exit_code() {
    let output = camphorbeam()
        .args(["status", "--server", "127.0.0.1:1", "r00"])
        .output()
        .expect("the binary runs");

    assert_eq!(output.status.code(), Some(4));
}

#[rstest]
fn test_command_line_token_requires_a_secret() {
    let output = camphorbeam()
        .args(["token", "--account", "sonede"])
        .output()
        .expect("the binary runs");

    assert_eq!(output.status.code(), Some(2));
}
