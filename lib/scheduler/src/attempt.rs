//! The life of one attempt, as types: placed, reserved, recorded, running, ending.
//!
//! A step is only possible on the type that the step before has returned, so no order can be sent
//! out of turn.

use camphorbeam_model::{id, task};

/// Attempt numbers that belong to one epoch, where an earlier one may have used some unrecorded.
const EPOCH_STRIDE: u32 = 1_000;

/// Attempt numbers that belong to one availability zone, where an earlier one may have used some
/// unrecorded.
const ZONE_STRIDE: u32 = 1_000_000;

/// The number that attempts of an inherited request follow, if its predecessor may have started
/// attempts that it could not record.
///
/// The numbers of the epoch are out of the predecessor's reach, so no task key is used twice.
pub fn floor_after_takeover(last: id::Attempt, epoch: id::Epoch) -> id::Attempt {
    let zone_base = last.0 / ZONE_STRIDE * ZONE_STRIDE;
    let epoch_index = u32::try_from(epoch.0 % u64::from(ZONE_STRIDE / EPOCH_STRIDE)).unwrap_or(0);
    last.max(id::Attempt(zone_base + epoch_index * EPOCH_STRIDE))
}

/// The number that attempts of a request follow which was moved from another zone that may have
/// started attempts without a record.
pub fn floor_after_move(last: id::Attempt) -> id::Attempt {
    id::Attempt((last.0 / ZONE_STRIDE + 1) * ZONE_STRIDE)
}

/// Placed; no order has been sent.
#[derive(Debug)]
pub struct Placed;

/// Every member holds its accelerators; none has been told to start.
#[derive(Debug)]
pub struct Reserved;

/// The start record stands, or the request may do without one. Members may be told to start.
#[derive(Debug)]
pub struct Recorded;

/// Every member has confirmed its start.
#[derive(Debug)]
pub struct Running;

/// One attempt to run a request.
#[derive(Debug)]
pub struct Attempt<S> {
    request: id::RequestId,
    number: id::Attempt,
    members: Vec<task::Member>,
    stage: std::marker::PhantomData<S>,
}

impl Attempt<Placed> {
    /// An attempt to run `request` on `members`.
    pub fn new(request: id::RequestId, number: id::Attempt, members: Vec<task::Member>) -> Self {
        Self {
            request,
            number,
            members,
            stage: std::marker::PhantomData,
        }
    }

    /// Every member has confirmed its reservation.
    pub fn into_reserved(self) -> Attempt<Reserved> {
        self.into_stage()
    }
}

impl Attempt<Reserved> {
    /// The start record is known to stand, or is not needed.
    pub fn into_recorded(self) -> Attempt<Recorded> {
        self.into_stage()
    }
}

impl Attempt<Recorded> {
    /// Every member has confirmed its start.
    pub fn into_running(self) -> Attempt<Running> {
        self.into_stage()
    }
}

impl Attempt<Recorded> {
    /// An attempt of an earlier scheduler whose start record stands.
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

    /// The request.
    pub fn request(&self) -> &id::RequestId {
        &self.request
    }

    /// The number of the attempt.
    pub fn number(&self) -> id::Attempt {
        self.number
    }

    /// The gang in the order of the ranks.
    pub fn members(&self) -> &[task::Member] {
        &self.members
    }

    /// The tasks with their members, in the order of the ranks.
    pub fn tasks(&self) -> impl Iterator<Item = (task::TaskKey, &task::Member)> + '_ {
        keyed_members(&self.request, self.number, &self.members)
    }
}

/// The tasks of an attempt with their members, in the order of the ranks.
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
