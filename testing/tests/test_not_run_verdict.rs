//! A request that is reported as not run has not run, whichever fault occurs at any of its
//! messages.

use async_std::task;
use camphorbeam_testing::environment::{self, Environment};
use camphorbeam_testing::sweep::{self, Fault, Sweep};
use rstest::rstest;

/// Longest time that a gang may run with only part of its members, in milliseconds.
const PARTIAL_GANG_MAX_MS: u64 = 4_000;

/// Run time of the requests, in milliseconds.
const RUN_TIME_MS: u64 = 200;

#[rstest]
#[case::cancel("cancel", &[Fault::Cancel], true)]
#[case::cancel_and_kill("cancel-and-kill", &[Fault::Cancel, Fault::KillScheduler], true)]
#[case::cancel_and_lose("cancel-and-lose", &[Fault::Cancel, Fault::LoseMessage], false)]
#[case::cancel_and_pause("cancel-and-pause", &[Fault::Cancel, Fault::PauseScheduler], false)]
#[case::cancel_and_cut("cancel-and-cut", &[Fault::Cancel, Fault::CutServer], true)]
#[case::kill_acceptor("kill-acceptor", &[Fault::KillAcceptor], false)]
#[case::cut_platform("cut-platform", &[Fault::CutPlatform], false)]
#[case::kill_and_lose("kill-and-lose", &[Fault::KillScheduler, Fault::LoseMessage], false)]
fn test_not_run_verdict_is_true_with_a_fault_at_every_message(
    #[case] name: &str,
    #[case] faults: &[Fault],
    #[case] idempotent: bool,
) {
    let sweep = Sweep {
        name: name.to_owned(),
        accelerators: 4,
        idempotent,
        run_time_ms: RUN_TIME_MS,
        faults: faults.to_vec(),
        resubmits: false,
        stride: sweep::stride(),
    };
    let report = task::block_on(async {
        let mut environment = Environment::start(environment::Plan::one_zone(3, 3))
            .await
            .expect("the environment starts");
        let report = sweep::run(&mut environment, &sweep, PARTIAL_GANG_MAX_MS).await;
        report.expect("the environment can be repaired")
    });
    println!("{name}: {report:?}");
    assert!(report.findings.violations.is_empty(), "{report:#?}");
}
