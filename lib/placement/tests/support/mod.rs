//! Helpers shared by the placement tests: builders for ids, jobs, servers and sheets.
#![allow(dead_code, reason = "each test file uses some of these")]

pub mod harness;
pub mod matcher;

use camphorbeam_model::{id, sheet};
use camphorbeam_placement::policy;

/// Name of the availability zone in all tests.
pub const ZONE: &str = "zone-1";

/// Availability zone of all tests.
pub fn zone() -> id::ZoneName {
    id::ZoneName::new(ZONE).unwrap()
}

pub fn request(number: usize) -> id::RequestId {
    id::RequestId::new(&format!("r{number:05}")).unwrap()
}

/// A job that is neither idempotent nor checkpointable.
pub fn job(number: usize, account: &str, accelerators: u32) -> policy::Job {
    policy::Job {
        id: request(number),
        client_account: id::ClientAccountName::new(account).unwrap(),
        kind: id::KindName::new("curve-fit").unwrap(),
        accelerators,
        idempotent: false,
        checkpointable: false,
        declared_run_time_ms: 1_000,
        avoided_servers: Default::default(),
        arrived_at_ms: 0,
    }
}

/// A checkpointable job.
pub fn checkpointable(number: usize, account: &str, accelerators: u32) -> policy::Job {
    policy::Job {
        checkpointable: true,
        ..job(number, account, accelerators)
    }
}

/// An idempotent job.
pub fn idempotent(number: usize, account: &str, accelerators: u32) -> policy::Job {
    policy::Job {
        idempotent: true,
        ..job(number, account, accelerators)
    }
}

/// A usable backend server of speed 1.0.
pub fn server(name: &str, rack: &str, accelerators: u32, slots: u32) -> policy::Server {
    policy::Server {
        id: id::BackendServerId::new(name).unwrap(),
        rack: id::RackName::new(rack).unwrap(),
        accelerators,
        slots,
        speed_ratio: 1.0,
        health: policy::Health::Usable,
    }
}

/// A sheet with guarantees given as (account, count, accelerators), an urgent kind and a normal
/// one.
pub fn sheet(guarantees: &[(&str, u32, u32)]) -> sheet::Sheet {
    let mut sheet = sheet::Sheet::default();
    for (account, count, accelerators) in guarantees {
        let account = id::ClientAccountName::new(account).unwrap();
        sheet
            .accounts
            .entry(account)
            .or_default()
            .push(sheet::Guarantee {
                zone: zone(),
                count: *count,
                accelerators: *accelerators,
            });
    }
    let kinds = [("quick-check", 90, true), ("curve-fit", 50, false)];
    for (kind, priority, urgent) in kinds {
        let terms = sheet::KindSettings { priority, urgent };
        sheet.kinds.insert(id::KindName::new(kind).unwrap(), terms);
    }
    sheet
}
