//! Passes the revision of the source to the compiler, for `camphorbeam --version`.

use std::process::Command;

/// Named in the version if the source is not in a git checkout.
const UNKNOWN: &str = "unknown";

fn main() {
    println!("cargo:rerun-if-changed=../.git/HEAD");
    println!("cargo:rerun-if-changed=../.git/logs/HEAD");
    let described = Command::new("git")
        .args(["rev-parse", "--short=12", "HEAD"])
        .output();
    let revision = match described {
        Ok(output) if output.status.success() => {
            String::from_utf8_lossy(&output.stdout).trim().to_owned()
        }
        _ => UNKNOWN.to_owned(),
    };
    println!("cargo:rustc-env=CAMPHORBEAM_REVISION={revision}");
}
