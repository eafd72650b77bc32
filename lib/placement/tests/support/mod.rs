//! Shared by the tests of placement: names, jobs, servers and sheets in short form.
#![allow(dead_code, reason = "each test file uses some of these")]

pub mod harness;
pub mod matcher;

use camphorbeam_model::{id, sheet};
use camphorbeam_placement::policy;

/// Availability zone of all tests.
pub const ZONE: &str = "tunis-lab";

/// The availability zone of all tests.
pub fn zone() -> id::ZoneName {
    id::ZoneName::new(ZONE).unwrap()
}

/// A request id.
pub fn request(number: usize) -> id::RequestId {
    id::RequestId::new(&format!("r{number:05}")).unwrap()
}

/// A job of account `account` with `accelerators`; neither idempotent nor checkpointable.
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

/// The same job, checkpointable.
pub fn checkpointable(number: usize, account: &str, accelerators: u32) -> policy::Job {
    policy::Job {
        checkpointable: true,
        ..job(number, account, accelerators)
    }
}

/// The same job, idempotent.
pub fn idempotent(number: usize, account: &str, accelerators: u32) -> policy::Job {
    policy::Job {
        idempotent: true,
        ..job(number, account, accelerators)
    }
}

/// A backend server in rack `rack`.
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

/// A sheet with these guarantees: account, count, accelerators.
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
        let terms = sheet::KindTerms { priority, urgent };
        sheet.kinds.insert(id::KindName::new(kind).unwrap(), terms);
    }
    sheet
}
