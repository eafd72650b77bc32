//! The clusters that lists are replayed on, and their sheets.
//!
//! A cluster is replayed as a single availability zone, because the lists don't name zones.

use std::collections::BTreeSet;

use camphorbeam_model::{id, sheet};
use camphorbeam_placement::{policy, weights};

use crate::jobs;

/// Name of the only availability zone.
pub const ZONE: &str = "cluster";

/// Number of backend servers in each rack.
const SERVERS_PER_RACK: usize = 8;

/// Accelerators of each guaranteed shape if no sheet is given.
pub const DEFAULT_SHAPE_ACCELERATORS: u32 = 8;

/// Speeds of the racks, repeated in this order. They differ because racks are bought over years.
const SPEED_RATIOS: [f64; 7] = [1.0, 1.5, 0.7, 1.0, 1.2, 0.5, 0.8];

/// Priority of kinds that the sheet doesn't name and the list marks as urgent.
const URGENT_PRIORITY: u8 = 90;

/// Priority of all other kinds that the sheet doesn't name.
const DEFAULT_PRIORITY: u8 = 50;

/// A cluster that can be chosen by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cluster {
    /// Cluster of the Union: 50 backend servers with 8 accelerators each.
    Union,
    /// Cluster of Náramky: 50 backend servers with 8 accelerators each.
    Naramky,
    /// 800 backend servers of different sizes with 1,200 accelerators in total.
    LargeMixed,
}

impl Cluster {
    /// Names of all clusters, as given on the command line.
    pub const NAMES: [&str; 3] = ["union", "naramky", "letter1"];

    /// Returns the cluster with this name.
    pub fn by_name(name: &str) -> Option<Self> {
        match name {
            "union" => Some(Self::Union),
            "naramky" => Some(Self::Naramky),
            "letter1" => Some(Self::LargeMixed),
            _ => None,
        }
    }

    pub fn name(self) -> &'static str {
        match self {
            Self::Union => "union",
            Self::Naramky => "naramky",
            Self::LargeMixed => "letter1",
        }
    }

    /// Returns the placement weights of the cluster's user; the defaults for `letter1`.
    pub fn weights(self) -> weights::Weights {
        match self {
            Self::Union => weights::Weights::fragmentation_first(),
            Self::Naramky => weights::Weights::completion_first(),
            Self::LargeMixed => weights::Weights::default(),
        }
    }

    pub fn servers(self) -> Vec<policy::Server> {
        match self {
            Self::Union | Self::Naramky => servers(&[8; 50], 8),
            Self::LargeMixed => mixed_servers(800),
        }
    }
}

/// Returns `count` backend servers with 1.5 accelerators each on average: of every 32 servers, 3
/// have 8 accelerators, 6 have 4 and the others none.
pub fn mixed_servers(count: usize) -> Vec<policy::Server> {
    let eights = count * 3 / 32;
    let fours = count * 6 / 32;
    let mut accelerators = vec![8; eights];
    accelerators.extend(vec![4; fours]);
    accelerators.resize(count, 0);
    servers(&accelerators, 8)
}

fn servers(accelerators: &[u32], slots: u32) -> Vec<policy::Server> {
    let server = |(number, accelerators): (usize, &u32)| {
        let rack = number / SERVERS_PER_RACK;
        policy::Server {
            id: id::BackendServerId::new(&format!("server-{number:04}")).expect("a valid name"),
            rack: id::RackName::new(&format!("rack-{rack:03}")).expect("a valid name"),
            accelerators: *accelerators,
            slots,
            speed_ratio: SPEED_RATIOS[rack % SPEED_RATIOS.len()],
            health: policy::Health::Usable,
        }
    };
    accelerators.iter().enumerate().map(server).collect()
}

/// Returns the only availability zone.
pub fn zone() -> id::ZoneName {
    id::ZoneName::new(ZONE).expect("a valid name")
}

/// Returns the sheet for a replay.
///
/// It is `given`, with the guarantees of all availability zones moved to the only zone. Without it,
/// half of the cluster is guaranteed to the accounts of the list, in equal shares of 8-accelerator
/// shapes. Kinds that the sheet doesn't name are urgent if the list marks most of their jobs as
/// urgent.
pub fn sheet_for(
    given: Option<&sheet::Sheet>,
    rows: &[jobs::JobRow],
    servers: &[policy::Server],
) -> sheet::Sheet {
    let mut sheet = match given {
        Some(given) => in_one_zone(given),
        None => equal_shares(rows, servers),
    };
    let kinds: BTreeSet<&id::KindName> = rows.iter().map(|row| &row.kind).collect();
    for kind in kinds {
        let of_kind = rows.iter().filter(|row| row.kind == *kind);
        let (urgent, other): (Vec<_>, Vec<_>) = of_kind.partition(|row| row.urgent);
        let is_urgent = urgent.len() > other.len();
        let terms = sheet::KindSettings {
            priority: match is_urgent {
                true => URGENT_PRIORITY,
                false => DEFAULT_PRIORITY,
            },
            urgent: is_urgent,
        };
        sheet.kinds.entry(kind.clone()).or_insert(terms);
    }
    sheet
}

fn in_one_zone(given: &sheet::Sheet) -> sheet::Sheet {
    let mut sheet = given.clone();
    for guarantees in sheet.accounts.values_mut() {
        for guarantee in guarantees {
            guarantee.zone = zone();
        }
    }
    sheet
}

fn equal_shares(rows: &[jobs::JobRow], servers: &[policy::Server]) -> sheet::Sheet {
    let accounts: BTreeSet<&id::ClientAccountName> =
        rows.iter().map(|row| &row.client_account).collect();
    let total: u32 = servers.iter().map(|server| server.accelerators).sum();
    let shapes = total / 2 / DEFAULT_SHAPE_ACCELERATORS;
    let accounts_count = u32::try_from(accounts.len()).unwrap_or(u32::MAX);
    let count = shapes.checked_div(accounts_count).unwrap_or(0);
    let guarantee = sheet::Guarantee {
        zone: zone(),
        count,
        accelerators: DEFAULT_SHAPE_ACCELERATORS,
    };
    let guarantees = match count {
        0 => Vec::new(),
        _ => vec![guarantee],
    };
    let named = accounts
        .into_iter()
        .map(|account| (account.clone(), guarantees.clone()));
    sheet::Sheet {
        accounts: named.collect(),
        ..sheet::Sheet::default()
    }
}
