//! Recomputes which accelerators are assigned to the guaranteed shapes.

use std::collections::BTreeMap;

use camphorbeam_model::{id, task};

use crate::cluster::{Block, Piece};
use crate::default_policy::{DefaultPolicy, RunningJob};
use crate::guarantee;

impl DefaultPolicy {
    /// Recomputes the assignment of all shapes: after a new sheet, a change of the backend servers,
    /// the adoption of a running job, or the end of a job while a guarantee is unmet.
    ///
    /// Claims return to the queue, and reservations are kept unless a shape takes their block. Running
    /// jobs stay on their accelerators.
    pub(crate) fn rebuild_assignment(&mut self) {
        self.is_assignment_stale = false;
        let claimed: Vec<id::RequestId> = self.claims.keys().cloned().collect();
        for request in claimed {
            if let Some(claim) = self.remove_claim(&request) {
                self.queue.push(claim.job);
            }
        }
        let pinned = self.pinned_blocks();
        let requests: Vec<id::RequestId> = self.running.keys().cloned().collect();
        let mut released: Vec<(id::RequestId, RunningJob)> = Vec::new();
        for request in requests {
            if let Some(running) = self.remove_running(&request) {
                released.push((request, running));
            }
        }
        for index in 0..self.guarantees.shapes.len() {
            self.guarantees.unassign(&mut self.cluster, index);
        }
        let reservations = self.release_reservations();
        self.requests_by_server.clear();
        self.cluster.drop_absent();
        self.restore_running(released, &pinned);
        self.guarantees.assign_all(&mut self.cluster);
        self.restore_reservations(reservations);
    }

    /// Puts running jobs back on their accelerators and charges them to shapes of their accounts.
    ///
    /// Jobs that shapes must be assigned around occupy their blocks first. Among them, those that
    /// were charged to a shape before come first, so that they keep their guarantee.
    fn restore_running(
        &mut self,
        mut released: Vec<(id::RequestId, RunningJob)>,
        pinned: &[(usize, Vec<task::Member>)],
    ) {
        released.sort_by_key(|(_, running)| {
            let accelerators = std::cmp::Reverse(running.job.accelerators);
            (
                !running.must_assign_around(),
                !running.was_charged,
                accelerators,
            )
        });
        for (_, running) in &mut released {
            running.block = self.cluster.block_of(&running.members);
            if running.must_assign_around() {
                self.mark_protected(&running.block, true);
            }
        }
        // By account and server: accelerators of jobs not yet charged to a shape.
        let mut uncharged_masks: BTreeMap<id::ClientAccountName, BTreeMap<usize, u64>> =
            BTreeMap::new();
        for (_, running) in released
            .iter()
            .filter(|(_, running)| running.must_assign_around())
        {
            let account = running.job.client_account.clone();
            add_masks(uncharged_masks.entry(account).or_default(), &running.block);
        }
        for (index, members) in pinned {
            let account = &self.guarantees.shapes[*index].client_account;
            let none = BTreeMap::new();
            let account_masks = uncharged_masks.get(account).unwrap_or(&none);
            if let Some(block) = self.block_if_still_valid(members, account_masks) {
                self.guarantees.assign(&mut self.cluster, *index, block);
            }
        }
        for (request, mut running) in released {
            let mut shape = None;
            if running.must_assign_around() {
                self.mark_protected(&running.block, false);
                let account_masks = uncharged_masks.entry(running.job.client_account.clone());
                let account_masks = account_masks.or_default();
                shape = self.restore_charge(&request, &running, account_masks);
                if shape.is_some() {
                    remove_masks(account_masks, &running.block);
                }
            }
            running.shape = shape;
            running.was_charged = shape.is_some();
            self.add_running(request, running);
        }
    }

    /// Shapes that have jobs or claims charged to them, with their blocks as members, because
    /// [`drop_absent`](crate::cluster::Cluster::drop_absent) changes the server indexes in blocks.
    fn pinned_blocks(&self) -> Vec<(usize, Vec<task::Member>)> {
        let shapes = self.guarantees.shapes.iter().enumerate();
        shapes
            .filter(|(_, shape)| shape.is_pinned())
            .filter_map(|(index, shape)| {
                let block = shape.block.as_ref()?;
                Some((index, self.cluster.members_of(block)))
            })
            .collect()
    }

    /// The block of these members, if a shape of the account can still be assigned there.
    fn block_if_still_valid(
        &self,
        members: &[task::Member],
        account_masks: &BTreeMap<usize, u64>,
    ) -> Option<Block> {
        let block = self.cluster.block_of(members);
        let is_valid = block.iter().all(|piece| {
            let state = &self.cluster.servers[piece.server];
            let own = account_masks.get(&piece.server).copied().unwrap_or(0);
            let available = state.all & (!state.protected | own) & !state.assigned;
            let has_slot = own & piece.mask != 0 || state.has_protected_slot();
            state.is_usable() && has_slot && piece.mask & !available == 0
        });
        (is_valid && block.len() == members.len()).then_some(block)
    }

    fn mark_protected(&mut self, block: &[Piece], is_protected: bool) {
        for piece in block {
            let state = &mut self.cluster.servers[piece.server];
            match is_protected {
                true => {
                    state.protected |= piece.mask;
                    state.slots_protected += 1;
                }
                false => {
                    state.protected &= !piece.mask;
                    state.slots_protected -= 1;
                }
            }
        }
    }

    /// Finds a shape of the account that a running job can be charged to, and charges the job to
    /// it. If no assigned shape contains the job, assigns an unassigned one around it.
    fn restore_charge(
        &mut self,
        request: &id::RequestId,
        running: &RunningJob,
        account_masks: &BTreeMap<usize, u64>,
    ) -> Option<usize> {
        let block = &running.block;
        if running.job.accelerators == 0 || block.is_empty() {
            return None;
        }
        let mut shapes = self
            .guarantees
            .of_account(&running.job.client_account)
            .to_vec();
        shapes.reverse();
        let is_enough = |shape: &guarantee::Shape| shape.accelerators >= running.job.accelerators;
        shapes.retain(|index| is_enough(&self.guarantees.shapes[*index]));
        let contains_block = |index: &usize| {
            let assigned = self.guarantees.shapes[*index].block.as_ref();
            assigned.is_some_and(|assigned| guarantee::is_within(block, assigned))
        };
        let current = running.shape.filter(contains_block);
        let containing = current.or_else(|| shapes.iter().copied().find(contains_block));
        let index = match containing {
            Some(index) => index,
            None => {
                let index = shapes
                    .iter()
                    .copied()
                    .find(|index| self.guarantees.shapes[*index].block.is_none())?;
                let found = self.find_block_containing(block, index, account_masks)?;
                self.guarantees.assign(&mut self.cluster, index, found);
                index
            }
        };
        self.guarantees
            .charge(&mut self.cluster, index, request, block);
        Some(index)
    }

    fn find_block_containing(
        &self,
        block: &[Piece],
        index: usize,
        account_masks: &BTreeMap<usize, u64>,
    ) -> Option<Block> {
        let criteria = guarantee::AroundJobCriteria {
            block,
            account_masks,
        };
        let wanted = self.guarantees.shapes[index].accelerators;
        let found = self.cluster.find(wanted, &criteria)?;
        guarantee::is_within(block, &found).then_some(found)
    }

    /// Returns claimed jobs to the queue, removes the charges of running jobs and unassigns all
    /// shapes. Running jobs that can be preempted become borrowers until the assignment is
    /// recomputed.
    pub(crate) fn clear_assignment(&mut self) {
        let claimed: Vec<id::RequestId> = self.claims.keys().cloned().collect();
        for request in claimed {
            if let Some(claim) = self.remove_claim(&request) {
                self.queue.push(claim.job);
            }
        }
        let charged: Vec<id::RequestId> = self
            .running
            .iter()
            .filter(|(_, running)| running.shape.is_some())
            .map(|(request, _)| request.clone())
            .collect();
        for request in charged {
            if let Some(mut running) = self.remove_running(&request) {
                running.shape = None;
                self.add_running(request, running);
            }
        }
        for index in 0..self.guarantees.shapes.len() {
            self.guarantees.unassign(&mut self.cluster, index);
        }
    }
}

fn add_masks(masks: &mut BTreeMap<usize, u64>, block: &[Piece]) {
    for piece in block {
        *masks.entry(piece.server).or_insert(0) |= piece.mask;
    }
}

fn remove_masks(masks: &mut BTreeMap<usize, u64>, block: &[Piece]) {
    for piece in block {
        *masks.entry(piece.server).or_insert(0) &= !piece.mask;
    }
}
