//! Messages between entry hosts.

use std::net::SocketAddr;
use std::sync::Arc;

use camphorbeam_model::{id, record, request, sheet, task, verdict};
use camphorbeam_telemetry::traces;

/// Sent with every call.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CallContext {
    /// Proves that the caller is an entry host.
    pub token: Arc<str>,
    /// W3C trace context of the caller's span; only calls about a request carry one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub traceparent: Option<Arc<str>>,
}

impl CallContext {
    /// The trace that the call belongs to.
    pub fn parent_span(&self) -> Option<traces::SpanContext> {
        self.traceparent
            .as_deref()
            .and_then(traces::parse_traceparent)
    }
}

/// What an entry host tells another of itself.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Hello {
    /// Its id.
    pub host: id::HostId,
    /// Its availability zone.
    pub zone: id::ZoneName,
    /// Where it listens for other entry hosts.
    pub address: SocketAddr,
    /// The highest sheet version that it knows.
    pub sheet_version: id::SheetVersion,
    /// The scheduler of its availability zone, as far as it knows.
    pub scheduler: Option<SchedulerInfo>,
    /// Whether it is about to leave.
    pub is_leaving: bool,
}

/// Who schedules an availability zone.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SchedulerInfo {
    /// The entry host that holds the lease.
    pub host: id::HostId,
    /// Where it listens for other entry hosts.
    pub address: SocketAddr,
    /// Epoch of its lease.
    pub epoch: id::Epoch,
}

/// Hands a scheduler lease over from entry host to entry host, while the platform is away.
///
/// The sender has ended its holding before it sends this, so at most one host has the epoch.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LeaseHandover {
    /// The availability zone.
    pub zone: id::ZoneName,
    /// Epoch of the lease.
    pub epoch: id::Epoch,
    /// Version of the lease row as last known.
    pub lease_row_version: u64,
    /// Version of the epoch row.
    pub epoch_row_version: u64,
}

/// Asks for a place in the queue of a client account, before the request is recorded.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Admission {
    /// The request.
    pub id: id::RequestId,
    /// What is asked for, without payload.
    pub spec: request::RequestSpec,
}

/// Hands a recorded request to the scheduler of its availability zone.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Enqueue {
    /// The record as written.
    pub record: record::RequestRecord,
    /// Version of its row.
    pub row_version: u64,
}

/// What the scheduler knows of a request beyond its record.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LiveStatus {
    /// The entry host that answers.
    pub host: id::HostId,
    /// Epoch of its lease.
    pub epoch: id::Epoch,
    /// The phase of the request, for people.
    pub phase: String,
    /// The attempt concerned; zero before the first.
    pub attempt: id::Attempt,
    /// The gang, if one is placed.
    pub members: Vec<task::Member>,
    /// Steps that could not be recorded yet.
    pub unrecorded_steps: Vec<record::Step>,
    /// What holds the request up, for people.
    pub detail: String,
    /// The record as the scheduler knows it, without payload.
    pub record: record::RequestRecord,
}

/// What became of a wish to cancel.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum CancelOutcome {
    /// The request is at its end.
    Ended {
        /// The verdict on it.
        verdict: verdict::Verdict,
        /// Name of its final state.
        state: String,
    },
    /// The request is being stopped; ask again for its end.
    Stopping,
}

/// Keeps new work from a backend server, or lets it have work again.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct DrainServer {
    /// The backend server.
    pub server: id::BackendServerId,
    /// True to drain, false to use it again.
    pub is_drained: bool,
}

/// How far a drain has come.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct DrainProgress {
    /// Requests that still run there.
    pub running: Vec<id::RequestId>,
}

/// A sheet that a peer has.
pub type SheetOffer = sheet::SheetDocument;
