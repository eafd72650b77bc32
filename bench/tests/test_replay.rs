//! Tests the replay and its measures with lists whose results are known.

use camphorbeam_bench::{
    backend_servers, clusters, entitlement, fragmentation, generate, jobs, policies, replay,
    summary,
};
use camphorbeam_model::{id, sheet, task};
use camphorbeam_placement::weights::Weights;
use rstest::rstest;

const HEADER: &str = "arrival_s,client_account,kind,accelerators,run_time_s,\
                      declared_run_time_s,idempotent,checkpointable,urgent\n";

fn replayed(csv: &str, policy: &str) -> summary::Summary {
    let scenario = replay::Scenario {
        name: "test".to_owned(),
        rows: jobs::read(csv.as_bytes()).unwrap(),
        failure_window: None,
    };
    let servers = clusters::Cluster::Union.servers();
    let sheet = clusters::sheet_for(None, &scenario.rows, &servers);
    let policy_under_test = policies::by_name(policy, &Weights::default()).unwrap();
    let replayed = replay::run(&scenario, &servers, &sheet, policy_under_test);
    let info = summary::ReplayInfo {
        policy,
        cluster: "union",
        seed: 1,
        scenario: &scenario,
        servers: &servers,
    };
    summary::summarize(info, &replayed)
}

#[rstest]
fn test_replay_runs_every_job_of_a_list(
    #[values("fifo", "fifo-backfill", "quota-count", "camphorbeam")] policy: &str,
) {
    let mut csv = HEADER.to_owned();
    for number in 0..100 {
        let size = [1, 8, 16, 4][number % 4];
        csv += &format!("{number}.5,a{},fit,{size},60,10,yes,no,no\n", number % 3);
    }
    csv += "5,a0,fit,65,60,60,no,no,no\n";
    let summary = replayed(&csv, policy);
    assert_eq!(summary.completion.finished_requests, 100);
    assert_eq!(summary.refused_requests, 1);
    assert_eq!(summary.unfinished_requests, 0);
    assert!(summary.completion.completion_ratio_p50 >= 1.0);
}

#[test]
fn test_replay_counts_late_guaranteed_requests() {
    // The jobs of account `big` occupy the whole cluster for at least 100 s. The job of account
    // `small` arrives later and has a guarantee, which FIFO ignores.
    let mut csv = HEADER.to_owned();
    for _ in 0..50 {
        csv += "0,big,study,8,300,300,no,yes,no\n";
    }
    csv += "10,small,check,1,10,10,no,no,yes\n";
    let fifo = replayed(&csv, "fifo");
    assert_eq!(fifo.guarantee_violations, 1);
    let default_policy = replayed(&csv, "camphorbeam");
    assert_eq!(default_policy.guarantee_violations, 0);
    assert!(
        default_policy.urgent_guaranteed_wait_max_s <= 5.3,
        "{default_policy:?}"
    );
}

#[rstest]
#[case::missing_column("arrival_s,client_account\n1,a\n")]
#[case::negative_time(&format!("{HEADER}-1,a,k,1,1,1,no,no,no\n"))]
#[case::bad_flag(&format!("{HEADER}1,a,k,1,1,1,maybe,no,no\n"))]
#[case::bad_name(&format!("{HEADER}1,a b,k,1,1,1,no,no,no\n"))]
fn test_replay_rejects_an_invalid_list(#[case] csv: &str) {
    assert!(jobs::read(csv.as_bytes()).is_err());
}

#[test]
fn test_replay_list_round_trips_through_csv() {
    for scenario in generate::all(clusters::Cluster::Naramky, 7) {
        let mut csv = Vec::new();
        jobs::write(&scenario.rows, &mut csv).unwrap();
        assert_eq!(jobs::read(csv.as_slice()).unwrap(), scenario.rows);
    }
}

#[test]
fn test_replay_shares_half_of_the_cluster_without_a_sheet() {
    let rows =
        jobs::read(format!("{HEADER}0,a,k,1,1,1,no,no,no\n0,b,k,1,1,1,1,0,true\n").as_bytes());
    let servers = clusters::Cluster::Union.servers();
    let sheet = clusters::sheet_for(None, &rows.unwrap(), &servers);
    let zone = clusters::zone();
    let guarantees: Vec<_> = sheet.guarantees_in(&zone).collect();
    assert_eq!(guarantees.len(), 2);
    assert!(guarantees
        .iter()
        .all(|(_, g)| (g.count, g.accelerators) == (12, 8)));
}

#[test]
fn test_replay_entitles_only_while_a_guaranteed_shape_is_unused() {
    let account = id::ClientAccountName::new("a").unwrap();
    let guarantee = sheet::Guarantee {
        zone: clusters::zone(),
        count: 2,
        accelerators: 4,
    };
    let mut sheet = sheet::Sheet::default();
    sheet.accounts.insert(account.clone(), vec![guarantee]);
    let mut entitlement = entitlement::Entitlement::new(&clusters::zone(), &sheet);
    assert!(!entitlement.arrive(&account, 8));
    assert!(entitlement.arrive(&account, 4));
    assert!(!entitlement.arrive(&account, 4));
    entitlement.leave(&account, 4);
    entitlement.leave(&account, 4);
    assert!(entitlement.arrive(&account, 1));
}

#[rstest]
#[case::nothing_held(&[], 8, (16, 16))]
#[case::split_server(&[3], 8, (15, 8))]
#[case::both_split(&[3, 11], 8, (14, 0))]
#[case::across_servers(&[], 16, (16, 16))]
#[case::across_servers_split(&[0], 16, (15, 0))]
fn test_replay_measures_open_accelerators(
    #[case] held: &[u32],
    #[case] wanted: u32,
    #[case] expected: (u32, u32),
) {
    let servers = &clusters::Cluster::Union.servers()[..2];
    let mut open = fragmentation::OpenAccelerators::default();
    for server in servers {
        open.set_server(server);
    }
    for number in held {
        let member = task::Member {
            server: servers[(*number / 8) as usize].id.clone(),
            accelerators: vec![number % 8],
        };
        open.allocate(&[member], false);
    }
    assert_eq!(open.measure(wanted, false), expected);
}

#[test]
fn test_replay_best_speed_on_an_empty_cluster() {
    let servers = clusters::Cluster::Union.servers();
    assert_eq!(backend_servers::best_speed_ratio(&servers, 8), Some(1.5));
    assert_eq!(backend_servers::best_speed_ratio(&servers, 64), Some(1.5));
    assert_eq!(backend_servers::best_speed_ratio(&servers, 65), None);
}
