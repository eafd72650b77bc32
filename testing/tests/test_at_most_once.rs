//! A request that is not idempotent runs at most once, whichever fault occurs at any of its
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
#[case::kill_scheduler("kill-scheduler", &[Fault::KillScheduler], false)]
#[case::pause_scheduler("pause-scheduler", &[Fault::PauseScheduler], true)]
#[case::cut_scheduler("cut-scheduler", &[Fault::CutScheduler], true)]
#[case::cut_platform("cut-platform", &[Fault::CutPlatform], true)]
#[case::lose_message("lose-message", &[Fault::LoseMessage], true)]
#[case::kill_acceptor("kill-acceptor", &[Fault::KillAcceptor], true)]
#[case::kill_and_cut("kill-and-cut", &[Fault::KillScheduler, Fault::CutPlatform], false)]
#[case::pause_and_lose("pause-and-lose", &[Fault::PauseScheduler, Fault::LoseMessage], false)]
fn test_at_most_once_with_a_fault_at_every_message(
    #[case] name: &str,
    #[case] faults: &[Fault],
    #[case] all_must_finish: bool,
) {
    let sweep = Sweep {
        name: name.to_owned(),
        accelerators: 4,
        idempotent: false,
        run_time_ms: RUN_TIME_MS,
        faults: faults.to_vec(),
        resubmits: true,
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
    let is_finished = |end: &String| end.starts_with("finished");
    assert!(
        !all_must_finish || report.ends.keys().all(is_finished),
        "a request did not finish, though the fault can be waited out: {report:#?}"
    );
}
