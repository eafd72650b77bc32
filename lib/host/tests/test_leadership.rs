//! The scheduler lease has one holder at a time, despite lost replies, suspended holders, delayed
//! writes and other candidates.

use std::time::Duration;

use async_std::task::block_on;
use camphorbeam_clock as clock;
use camphorbeam_host::leadership::{
    Candidate, LeaseCheck, LeaseHolder, LeaseWriteOutcome, Standby, HOLDER_LEASE_DURATION,
    LEASE_DURATION, SCHEDULER_LEASE_RENEWAL_INTERVAL,
};
use camphorbeam_host::rows;
use camphorbeam_model::id;
use camphorbeam_platform::memory_store::{Fault, MemoryStore};

fn candidate(host: &str, process: &str) -> Candidate {
    Candidate {
        host: id::HostId::new(host).unwrap(),
        process: process.into(),
        processor_cores: 1.0,
    }
}

/// A store in which the lease was held and released before.
fn store_with_released_lease() -> MemoryStore {
    let store = MemoryStore::default();
    let released_row = rows::LeaseRow {
        holder: None,
        process: "0".into(),
        epoch: id::Epoch(0),
        token: "t".into(),
        store_ms: 0,
        waiting: None,
        lease_ms: None,
    };
    store.put(
        &rows::lease_key(),
        &serde_json::to_string(&released_row).unwrap(),
    );
    store
}

fn register(store: &MemoryStore, host: &str, processor_share: f64) {
    let row = rows::HostRow {
        peer_address: ([127, 0, 0, 1], 1).into(),
        zone: id::ZoneName::new("z").unwrap(),
        processor_share,
        store_ms: 0,
    };
    let host = id::HostId::new(host).unwrap();
    store.put(
        &rows::host_key(&host),
        &serde_json::to_string(&row).unwrap(),
    );
}

fn check_lease(standby: Standby, store: &MemoryStore) -> LeaseCheck {
    match block_on(standby.check_lease(store)) {
        Ok(check) => check,
        Err((standby, _)) => LeaseCheck::Standby(standby),
    }
}

fn expect_holder(check: LeaseCheck) -> LeaseHolder {
    match check {
        LeaseCheck::Holder(holder) => holder,
        LeaseCheck::Standby(_) => panic!("expected the lease to be taken"),
    }
}

fn expect_standby(check: LeaseCheck) -> Standby {
    match check {
        LeaseCheck::Standby(standby) => standby,
        LeaseCheck::Holder(_) => panic!("expected the lease not to be taken"),
    }
}

fn renew(holder: &mut LeaseHolder, store: &MemoryStore) -> LeaseWriteOutcome {
    block_on(holder.renew(store))
}

#[test]
fn test_leadership_is_taken_by_one_of_two_candidates() {
    let (store, (clock, _time)) = (store_with_released_lease(), clock::Clock::manual(0));
    let first = Standby::new(candidate("a", "1"), clock.clone());
    let second = Standby::new(candidate("b", "2"), clock);
    let first = expect_holder(check_lease(first, &store));
    expect_standby(check_lease(second, &store));
    assert_eq!(first.epoch(), id::Epoch(1));
}

#[test]
fn test_leadership_is_not_taken_from_a_holder_that_renews() {
    let (store, (clock, time)) = (store_with_released_lease(), clock::Clock::manual(0));
    let mut first = expect_holder(check_lease(
        Standby::new(candidate("a", "1"), clock.clone()),
        &store,
    ));
    let mut second = Standby::new(candidate("b", "2"), clock);
    for _ in 0..20 {
        second = expect_standby(check_lease(second, &store));
        time.advance(SCHEDULER_LEASE_RENEWAL_INTERVAL);
        assert_eq!(renew(&mut first, &store), LeaseWriteOutcome::Renewed);
    }
}

#[test]
fn test_leadership_moves_with_a_higher_epoch_and_the_old_holder_loses_its_lease() {
    let (store, (clock, time)) = (store_with_released_lease(), clock::Clock::manual(0));
    let mut first = expect_holder(check_lease(
        Standby::new(candidate("a", "1"), clock.clone()),
        &store,
    ));
    let second = expect_standby(check_lease(
        Standby::new(candidate("b", "2"), clock),
        &store,
    ));
    time.advance(LEASE_DURATION);
    let second = expect_holder(check_lease(second, &store));
    assert_eq!(second.epoch(), id::Epoch(2));
    assert_eq!(renew(&mut first, &store), LeaseWriteOutcome::Lost);
}

#[test]
fn test_leadership_expires_at_the_holder_before_another_host_takes_it() {
    assert!(HOLDER_LEASE_DURATION < LEASE_DURATION);
}

#[test]
fn test_leadership_is_taken_at_once_after_a_release() {
    let (store, (clock, _time)) = (store_with_released_lease(), clock::Clock::manual(0));
    let mut first = expect_holder(check_lease(
        Standby::new(candidate("a", "1"), clock.clone()),
        &store,
    ));
    assert_eq!(block_on(first.release(&store)), LeaseWriteOutcome::Renewed);
    expect_holder(check_lease(
        Standby::new(candidate("b", "2"), clock),
        &store,
    ));
}

#[test]
fn test_leadership_is_taken_at_once_from_an_earlier_process_of_the_same_host() {
    let (store, (clock, _time)) = (store_with_released_lease(), clock::Clock::manual(0));
    expect_holder(check_lease(
        Standby::new(candidate("a", "1"), clock.clone()),
        &store,
    ));
    expect_holder(check_lease(
        Standby::new(candidate("a", "2"), clock),
        &store,
    ));
}

#[test]
fn test_leadership_survives_renewals_whose_replies_are_lost() {
    let (store, (clock, time)) = (store_with_released_lease(), clock::Clock::manual(0));
    let mut first = expect_holder(check_lease(
        Standby::new(candidate("a", "1"), clock),
        &store,
    ));
    store.set_fault(Fault::ResponsesLost);
    assert!(matches!(
        renew(&mut first, &store),
        LeaseWriteOutcome::Unconfirmed(_)
    ));
    store.set_fault(Fault::None);
    time.advance(Duration::from_millis(200));
    // The first attempt finds the row version of the lost renewal, the second one renews.
    assert!(matches!(
        renew(&mut first, &store),
        LeaseWriteOutcome::Unconfirmed(_)
    ));
    assert_eq!(renew(&mut first, &store), LeaseWriteOutcome::Renewed);
}

#[test]
fn test_leadership_is_not_regained_by_a_renewal_that_is_applied_late() {
    let (store, (clock, time)) = (store_with_released_lease(), clock::Clock::manual(0));
    let mut first = expect_holder(check_lease(
        Standby::new(candidate("a", "1"), clock.clone()),
        &store,
    ));
    let second = expect_standby(check_lease(
        Standby::new(candidate("b", "2"), clock),
        &store,
    ));
    store.set_fault(Fault::Delayed);
    assert!(matches!(
        renew(&mut first, &store),
        LeaseWriteOutcome::Unconfirmed(_)
    ));
    store.set_fault(Fault::None);
    time.advance(LEASE_DURATION);
    let mut second = expect_holder(check_lease(second, &store));
    store.apply_delayed();
    assert_eq!(renew(&mut first, &store), LeaseWriteOutcome::Lost);
    assert_eq!(renew(&mut second, &store), LeaseWriteOutcome::Renewed);
}

#[test]
fn test_leadership_of_a_new_cluster_is_not_taken_at_the_first_check() {
    let (store, (clock, time)) = (MemoryStore::default(), clock::Clock::manual(0));
    let first = expect_standby(check_lease(
        Standby::new(candidate("a", "1"), clock),
        &store,
    ));
    time.advance(SCHEDULER_LEASE_RENEWAL_INTERVAL);
    expect_holder(check_lease(first, &store));
}

#[test]
fn test_leadership_is_left_to_a_host_with_more_processor_capacity() {
    let (store, (clock, time)) = (store_with_released_lease(), clock::Clock::manual(0));
    register(&store, "strong", 1.0);
    let weak = Candidate {
        processor_cores: 0.2,
        ..candidate("weak", "1")
    };
    let weak = expect_standby(check_lease(Standby::new(weak, clock.clone()), &store));
    time.advance(SCHEDULER_LEASE_RENEWAL_INTERVAL);
    let weak = expect_standby(check_lease(weak, &store));
    expect_holder(check_lease(
        Standby::new(candidate("strong", "2"), clock),
        &store,
    ));
    time.advance(SCHEDULER_LEASE_RENEWAL_INTERVAL);
    expect_standby(check_lease(weak, &store));
}

#[test]
fn test_leadership_is_taken_by_a_weak_host_if_no_stronger_host_takes_it() {
    let (store, (clock, time)) = (store_with_released_lease(), clock::Clock::manual(0));
    register(&store, "strong", 1.0);
    let weak = Candidate {
        processor_cores: 0.2,
        ..candidate("weak", "1")
    };
    let mut weak = expect_standby(check_lease(Standby::new(weak, clock), &store));
    time.advance(SCHEDULER_LEASE_RENEWAL_INTERVAL);
    weak = expect_standby(check_lease(weak, &store));
    time.advance(SCHEDULER_LEASE_RENEWAL_INTERVAL);
    expect_holder(check_lease(weak, &store));
}
