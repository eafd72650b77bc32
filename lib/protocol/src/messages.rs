//! Parameters and results of the calls between entry hosts.

use std::net::SocketAddr;
use std::sync::Arc;

use camphorbeam_model::{id, record, request, sheet, task, verdict};
use camphorbeam_telemetry::traces;

/// Authentication and trace context, the first parameter of every call.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CallContext {
    /// Signed token that identifies the caller as an entry host.
    pub token: Arc<str>,
    /// W3C trace context of the caller's span. Absent in `hello`, `sheet`, `offer_sheet` and
    /// `take_over`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub traceparent: Option<Arc<str>>,
}

impl CallContext {
    /// Returns the caller's span, the parent of the span in which the call is served.
    ///
    /// Returns `None` if the call has no trace context or an invalid one.
    pub fn parent_span(&self) -> Option<traces::SpanContext> {
        self.traceparent
            .as_deref()
            .and_then(traces::parse_traceparent)
    }
}

/// Status that an entry host sends to its peers periodically.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Hello {
    /// Id of the entry host.
    pub host: id::HostId,
    /// Availability zone of the entry host.
    pub zone: id::ZoneName,
    /// Address on which it serves calls of other entry hosts.
    pub address: SocketAddr,
    /// Highest sheet version that it has.
    pub sheet_version: id::SheetVersion,
    /// Scheduler of its availability zone, if it knows one. May be out of date.
    pub scheduler: Option<SchedulerInfo>,
    /// Whether it is shutting down.
    pub is_leaving: bool,
}

/// The entry host that schedules an availability zone.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SchedulerInfo {
    /// Id of the entry host, which holds the scheduler lease.
    pub host: id::HostId,
    /// Address on which it serves calls of other entry hosts.
    pub address: SocketAddr,
    /// Epoch of the lease.
    pub epoch: id::Epoch,
}

/// Passes a scheduler lease from one entry host to another while the platform is unavailable.
///
/// The sender ends its scheduler before it sends this message, so at most one host acts as
/// scheduler in the epoch.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LeaseHandover {
    /// Availability zone of the lease.
    pub zone: id::ZoneName,
    /// Epoch of the lease.
    pub epoch: id::Epoch,
    /// Last version of the lease row that the sender knows.
    pub lease_row_version: u64,
    /// Last version of the epoch row that the sender knows.
    pub epoch_row_version: u64,
}

/// Reserves a place in the queue of a client account before the request is recorded. The scheduler
/// keeps the place until it gets the request, but no longer than for a time limit of its own.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Admission {
    /// Id of the request.
    pub id: id::RequestId,
    /// Specification of the request, with an empty payload.
    pub spec: request::RequestSpec,
}

/// Adds a recorded request to the queue of the scheduler of its availability zone.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Enqueue {
    /// The record as it was written to the platform.
    pub record: record::RequestRecord,
    /// Version of the record's row.
    pub row_version: u64,
}

/// Status of a request in the memory of its scheduler, which can be ahead of the stored record.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LiveStatus {
    /// The entry host that runs the scheduler.
    pub host: id::HostId,
    /// Epoch of the scheduler's lease.
    pub epoch: id::Epoch,
    /// Human-readable phase of the request.
    pub phase: String,
    /// Current attempt; zero before the first.
    pub attempt: id::Attempt,
    /// Members of the placed gang; empty if none is placed.
    pub members: Vec<task::Member>,
    /// Steps that aren't recorded yet.
    pub unrecorded_steps: Vec<record::HistoryEntry>,
    /// Human-readable reason why the request waits; empty if the policy gives none.
    pub detail: String,
    /// The scheduler's copy of the record, with an empty payload.
    pub record: record::RequestRecord,
}

/// Outcome of a call that cancels a request.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum CancelOutcome {
    /// The request has ended, by this or an earlier cancellation or in another way.
    Ended {
        /// Whether the request has run.
        verdict: verdict::Verdict,
        /// Name of the request's final state.
        state: String,
    },
    /// The request is being stopped, or its end can't be read at the moment. A later call returns
    /// how it ended.
    Stopping,
}

/// Starts or ends the drain of a backend server. While it is drained, a backend server gets no new
/// work; the requests that run on it continue.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct DrainServer {
    /// Id of the backend server.
    pub server: id::BackendServerId,
    /// True starts the drain, false ends it.
    pub is_drained: bool,
}

/// Progress of a drain.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct DrainProgress {
    /// Requests that still run on the backend server.
    pub running: Vec<id::RequestId>,
}

/// An accepted sheet that an entry host passes on to its peers.
pub type SheetOffer = sheet::SheetDocument;
