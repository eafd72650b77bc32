//! The launch of an attempt as a typestate: placed, reserved, recorded, running.
//!
//! Each stage is a type of its own, and each transition consumes the attempt in the stage before.
//! The compiler thus rejects code that sends an order too early.

use camphorbeam_model::{id, task};

/// Number of attempt numbers reserved for each epoch, if a scheduler of an earlier epoch may have
/// used numbers without recording them.
const EPOCH_STRIDE: u32 = 1_000;

/// Number of attempt numbers reserved for each availability zone that a request is in, if the
/// scheduler of an earlier zone may have used numbers without recording them.
const ZONE_STRIDE: u32 = 1_000_000;

/// Returns the number after which this epoch numbers the attempts of a request that it took over,
/// if the previous scheduler may have started attempts that it could not record.
///
/// The previous scheduler numbered its attempts in the range of another epoch, so no task key is
/// used twice. The ranges repeat after 1000 epochs of a zone.
pub fn floor_after_takeover(last: id::Attempt, epoch: id::Epoch) -> id::Attempt {
    let zone_base = last.0 / ZONE_STRIDE * ZONE_STRIDE;
    let epoch_index = u32::try_from(epoch.0 % u64::from(ZONE_STRIDE / EPOCH_STRIDE)).unwrap_or(0);
    last.max(id::Attempt(zone_base + epoch_index * EPOCH_STRIDE))
}

/// Returns the number after which a zone numbers the attempts of a request that was moved to it, if
/// the other zone may have started attempts that it could not record.
pub fn floor_after_move(last: id::Attempt) -> id::Attempt {
    id::Attempt((last.0 / ZONE_STRIDE + 1) * ZONE_STRIDE)
}

/// Stage: members are chosen; no order has been sent.
#[derive(Debug)]
pub struct Placed;

/// Stage: every member has reserved its accelerators; no start order has been sent.
#[derive(Debug)]
pub struct Reserved;

/// Stage: the start record is committed, or the request starts without one. Start orders may be
/// sent.
#[derive(Debug)]
pub struct Recorded;

/// Stage: every member has confirmed its start.
#[derive(Debug)]
pub struct Running;

/// One attempt to run a request, in stage `S`.
#[derive(Debug)]
pub struct Attempt<S> {
    request: id::RequestId,
    number: id::Attempt,
    members: Vec<task::Member>,
    stage: std::marker::PhantomData<S>,
}

impl Attempt<Placed> {
    /// Returns an attempt to run `request` on `members`.
    pub fn new(request: id::RequestId, number: id::Attempt, members: Vec<task::Member>) -> Self {
        Self {
            request,
            number,
            members,
            stage: std::marker::PhantomData,
        }
    }

    /// Advances to [`Reserved`], once every member has confirmed its reservation.
    pub fn into_reserved(self) -> Attempt<Reserved> {
        self.into_stage()
    }
}

impl Attempt<Reserved> {
    /// Advances to [`Recorded`], once the start record is known to be committed or is not needed.
    pub fn into_recorded(self) -> Attempt<Recorded> {
        self.into_stage()
    }
}

impl Attempt<Recorded> {
    /// Advances to [`Running`], once every member has confirmed its start.
    pub fn into_running(self) -> Attempt<Running> {
        self.into_stage()
    }
}

impl Attempt<Recorded> {
    /// Returns an attempt that a previous scheduler began, in the stage before its start orders. An
    /// attempt taken over from an inventory has no start record.
    pub fn recovered(
        request: id::RequestId,
        number: id::Attempt,
        members: Vec<task::Member>,
    ) -> Self {
        Attempt::new(request, number, members).into_stage()
    }
}

impl<S> Attempt<S> {
    fn into_stage<T>(self) -> Attempt<T> {
        Attempt {
            request: self.request,
            number: self.number,
            members: self.members,
            stage: std::marker::PhantomData,
        }
    }

    /// Returns the request that the attempt is to run.
    pub fn request(&self) -> &id::RequestId {
        &self.request
    }

    /// Returns the number of the attempt.
    pub fn number(&self) -> id::Attempt {
        self.number
    }

    /// Returns the members of the gang in rank order.
    pub fn members(&self) -> &[task::Member] {
        &self.members
    }

    /// Returns the key of each task with its member, in rank order.
    pub fn tasks(&self) -> impl Iterator<Item = (task::TaskKey, &task::Member)> + '_ {
        keyed_members(&self.request, self.number, &self.members)
    }
}

/// Returns the key of each task of an attempt with its member, in rank order.
pub fn keyed_members<'a>(
    request: &'a id::RequestId,
    attempt: id::Attempt,
    members: &'a [task::Member],
) -> impl Iterator<Item = (task::TaskKey, &'a task::Member)> + 'a {
    members.iter().zip(0_u32..).map(move |(member, rank)| {
        let key = task::TaskKey {
            request: request.clone(),
            attempt,
            rank: id::Rank(rank),
        };
        (key, member)
    })
}
