//! Decides whether a request is covered by the guarantee of its client account.
//!
//! A request is entitled to an immediate start if its account has more guaranteed shapes of at
//! least its size than other unfinished requests. Then one such shape is unused, whichever shapes
//! the other requests use.

use std::collections::BTreeMap;

use camphorbeam_model::{id, sheet};

/// Guaranteed shapes and number of unfinished requests of each account. Requests without
/// accelerators don't count.
#[derive(Debug)]
pub struct Entitlement {
    shapes: BTreeMap<id::ClientAccountName, Vec<u32>>,
    active: BTreeMap<id::ClientAccountName, usize>,
}

impl Entitlement {
    /// Reads the guarantees of `sheet` in `zone`.
    pub fn new(zone: &id::ZoneName, sheet: &sheet::Sheet) -> Self {
        let mut shapes: BTreeMap<_, Vec<u32>> = BTreeMap::new();
        for (account, guarantee) in sheet.guarantees_in(zone) {
            let of_account = shapes.entry(account.clone()).or_default();
            of_account.extend((0..guarantee.count).map(|_| guarantee.accelerators));
        }
        Self {
            shapes,
            active: BTreeMap::new(),
        }
    }

    /// Records the arrival of a request. Returns whether it is entitled to an immediate start.
    pub fn arrive(&mut self, account: &id::ClientAccountName, accelerators: u32) -> bool {
        if accelerators == 0 {
            return false;
        }
        let others = self.active.entry(account.clone()).or_insert(0);
        let shapes = self.shapes.get(account).map_or(&[][..], Vec::as_slice);
        let enough = shapes.iter().filter(|shape| **shape >= accelerators);
        let is_entitled = enough.count() > *others;
        *others += 1;
        is_entitled
    }

    /// Records that a request ended.
    pub fn leave(&mut self, account: &id::ClientAccountName, accelerators: u32) {
        match self.active.get_mut(account) {
            Some(active) if accelerators > 0 => *active = active.saturating_sub(1),
            _ => {}
        }
    }
}
