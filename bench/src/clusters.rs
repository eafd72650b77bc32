//! The clusters that lists are replayed on, and the sheet that holds there.
//!
//! A cluster is replayed as one availability zone: the lists name none.

use std::collections::BTreeSet;

use camphorbeam_model::{id, sheet};
use camphorbeam_placement::{policy, weights};

use crate::jobs;

/// Name of the one availability zone.
pub const ZONE: &str = "cluster";

/// Backend servers to a rack.
const SERVERS_PER_RACK: usize = 8;

/// Accelerators of the shapes that are guaranteed without a sheet.
pub const DEFAULT_SHAPE_ACCELERATORS: u32 = 8;

/// Speeds of the racks, repeated: bought over years.
const SPEED_RATIOS: [f64; 7] = [1.0, 1.5, 0.7, 1.0, 1.2, 0.5, 0.8];

/// Priority of kinds that a sheet does not name but a list calls urgent.
const URGENT_PRIORITY: u8 = 90;

/// Priority of all other kinds that a sheet does not name.
const DEFAULT_PRIORITY: u8 = 50;

/// A cluster by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cluster {
    /// The Union's: 50 backend servers of 8 accelerators.
    Union,
    /// Náramky's: 50 backend servers of 8 accelerators.
    Naramky,
    /// 800 backend servers with 1,200 accelerators among them.
    LargeMixed,
}

impl Cluster {
    /// All names.
    pub const NAMES: [&str; 3] = ["union", "naramky", "letter1"];

    /// The cluster of that name.
    pub fn by_name(name: &str) -> Option<Self> {
        match name {
            "union" => Some(Self::Union),
            "naramky" => Some(Self::Naramky),
            "letter1" => Some(Self::LargeMixed),
            _ => None,
        }
    }

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Union => "union",
            Self::Naramky => "naramky",
            Self::LargeMixed => "letter1",
        }
    }

    /// The weights of its user.
    pub fn weights(self) -> weights::Weights {
        match self {
            Self::Union => weights::Weights::fragmentation_first(),
            Self::Naramky => weights::Weights::completion_first(),
            Self::LargeMixed => weights::Weights::default(),
        }
    }

    /// Its backend servers.
    pub fn servers(self) -> Vec<policy::Server> {
        match self {
            Self::Union | Self::Naramky => servers(&[8; 50], 8),
            Self::LargeMixed => mixed_servers(800),
        }
    }
}

/// `count` backend servers with one and a half accelerators each on average: of 32, three have 8,
/// six have 4 and the others none.
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

/// The one availability zone.
pub fn zone() -> id::ZoneName {
    id::ZoneName::new(ZONE).expect("a valid name")
}

/// The sheet for a replay: `given`, with the guarantees of all its availability zones, or half of
/// the cluster in equal shares of 8-accelerator shapes to the accounts of the list. Kinds that it
/// does not name are urgent if the list calls most of their jobs urgent.
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
