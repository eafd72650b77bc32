//! The sync call: the only periodic exchange between a scheduler and a backend server.
//!
//! A sync renews the leases of all tasks on the backend server, except those listed as `unrenewed`,
//! in one batch. It is a long poll: the backend server replies as soon as a task changes, or after
//! `wait_ms`. The request and the reply are serialized by hand as JSON arrays without field names,
//! because they make up most of the control traffic.

use std::fmt;

use camphorbeam_model::{id, task as task_model};
use serde::de::{Error as _, SeqAccess, Visitor};
use serde::ser::SerializeTuple;

use crate::task;

/// Renews task leases and asks for task changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyncRequest {
    /// Epoch of the scheduler.
    pub epoch: id::Epoch,
    /// Number of the newest event that the scheduler has received from this backend server.
    ///
    /// An event is a change of a task, or that the backend server begins to leave. The backend
    /// server numbers its events within an incarnation.
    pub after_event: u64,
    /// How long the backend server delays its reply while no task changes.
    pub wait_ms: u64,
    /// When the renewed leases expire, on the clock of the backend server.
    pub lease_until_server_ms: u64,
    /// Tasks whose leases must not be renewed.
    pub unrenewed: Vec<task_model::TaskKey>,
    /// Ended tasks that the backend server may delete, together with their answers.
    pub released: Vec<task_model::TaskKey>,
}

/// The changes on a backend server since an earlier event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyncReply {
    /// Identifies one run of the backend server's process. It changes at each restart, which loses
    /// all tasks.
    pub incarnation: u64,
    /// Current time on the clock of the backend server, which is monotonic within an incarnation.
    pub server_now_ms: u64,
    /// Number of the newest event in this incarnation.
    pub last_event: u64,
    /// Whether the backend server is shutting down and accepts no new tasks.
    pub is_leaving: bool,
    /// Accelerators in use, as counted by the backend server. May be out of date.
    pub busy_accelerators: u32,
    /// Tasks that have changed since `after_event`.
    pub changed: Vec<task::TaskStatus>,
}

const REQUEST_FIELDS: usize = 6;
const REPLY_FIELDS: usize = 6;

impl serde::Serialize for SyncRequest {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(REQUEST_FIELDS)?;
        tuple.serialize_element(&self.epoch)?;
        tuple.serialize_element(&self.after_event)?;
        tuple.serialize_element(&self.wait_ms)?;
        tuple.serialize_element(&self.lease_until_server_ms)?;
        tuple.serialize_element(&self.unrenewed)?;
        tuple.serialize_element(&self.released)?;
        tuple.end()
    }
}

impl<'de> serde::Deserialize<'de> for SyncRequest {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(REQUEST_FIELDS, SyncRequestVisitor)
    }
}

struct SyncRequestVisitor;

impl<'de> Visitor<'de> for SyncRequestVisitor {
    type Value = SyncRequest;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a sync request as an array of 6 fields")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut fields: A) -> Result<SyncRequest, A::Error> {
        Ok(SyncRequest {
            epoch: next_field(&mut fields, 0)?,
            after_event: next_field(&mut fields, 1)?,
            wait_ms: next_field(&mut fields, 2)?,
            lease_until_server_ms: next_field(&mut fields, 3)?,
            unrenewed: next_field(&mut fields, 4)?,
            released: next_field(&mut fields, 5)?,
        })
    }
}

impl serde::Serialize for SyncReply {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(REPLY_FIELDS)?;
        tuple.serialize_element(&self.incarnation)?;
        tuple.serialize_element(&self.server_now_ms)?;
        tuple.serialize_element(&self.last_event)?;
        tuple.serialize_element(&self.is_leaving)?;
        tuple.serialize_element(&self.busy_accelerators)?;
        tuple.serialize_element(&self.changed)?;
        tuple.end()
    }
}

impl<'de> serde::Deserialize<'de> for SyncReply {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(REPLY_FIELDS, SyncReplyVisitor)
    }
}

struct SyncReplyVisitor;

impl<'de> Visitor<'de> for SyncReplyVisitor {
    type Value = SyncReply;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a sync reply as an array of 6 fields")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut fields: A) -> Result<SyncReply, A::Error> {
        Ok(SyncReply {
            incarnation: next_field(&mut fields, 0)?,
            server_now_ms: next_field(&mut fields, 1)?,
            last_event: next_field(&mut fields, 2)?,
            is_leaving: next_field(&mut fields, 3)?,
            busy_accelerators: next_field(&mut fields, 4)?,
            changed: next_field(&mut fields, 5)?,
        })
    }
}

fn next_field<'de, A, T>(fields: &mut A, index: usize) -> Result<T, A::Error>
where
    A: SeqAccess<'de>,
    T: serde::Deserialize<'de>,
{
    fields
        .next_element()?
        .ok_or_else(|| A::Error::custom(format_args!("field {index} is missing")))
}
