//! What is said not to have run has not run, whatever fails at any message of the request.

use async_std::task;
use camphorbeam_testing::environment::{self, Environment};
use camphorbeam_testing::sweep::{self, Fault, Sweep};
use rstest::rstest;

/// Time in which a lost member of a gang has to be noticed, in milliseconds.
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
        report.expect("the environment is repaired")
    });
    println!("{name}: {report:?}");
    assert!(report.findings.violations.is_empty(), "{report:#?}");
}
