//! Requests that callers submit, and the rules that they must follow.

use crate::id;

/// Maximum length of the payload of a request, in bytes.
pub const PAYLOAD_MAX_BYTES: usize = 64 * 1024;

/// Maximum number of accelerators of a gang.
pub const GANG_MAX_ACCELERATORS: u32 = 64;

/// A request as its caller submits it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestSpec {
    /// The client account that the request belongs to.
    pub client_account: id::ClientAccountName,
    /// Chosen by the caller; submissions of an account with the same key are one request.
    pub key: id::IdempotencyKey,
    /// The kind of work, for which the sheet defines the priority.
    pub kind: id::KindName,
    /// Number of accelerators that the request needs at the same time. On each backend server that
    /// the gang uses, they are adjacent. With 0 the request takes one slot and no accelerator.
    pub accelerators: u32,
    /// Whether it is safe to run the request more than once.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether a backend server can checkpoint the request and resume it from the checkpoint.
    #[serde(default)]
    pub checkpointable: bool,
    /// Run time that the caller expects; 0 if it declares none.
    #[serde(default)]
    pub declared_run_time_ms: u64,
    /// The availability zone that the request must run in, if the caller restricts it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<id::ZoneName>,
    /// Opaque input for the tasks.
    #[serde(default)]
    pub payload: String,
}

/// Violation of a rule for requests that depends neither on the sheet nor on the cluster.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// The payload is longer than [`PAYLOAD_MAX_BYTES`].
    #[error("payload of {actual_bytes} bytes is over the limit of {PAYLOAD_MAX_BYTES} bytes")]
    PayloadTooLong {
        /// Length of the payload.
        actual_bytes: usize,
    },
    /// The gang needs more than [`GANG_MAX_ACCELERATORS`].
    #[error("a gang of {accelerators} accelerators is over the limit of {GANG_MAX_ACCELERATORS}")]
    GangTooLarge {
        /// Number of accelerators requested.
        accelerators: u32,
    },
}

impl RequestSpec {
    /// Returns the id, derived from the client account and the idempotency key.
    pub fn id(&self) -> id::RequestId {
        id::RequestId::derive(&self.client_account, &self.key)
    }

    /// Checks the rules that depend neither on the sheet nor on the cluster.
    ///
    /// # Errors
    ///
    /// Returns the first violation.
    pub fn validate(&self) -> Result<(), SpecError> {
        match () {
            () if self.payload.len() > PAYLOAD_MAX_BYTES => Err(SpecError::PayloadTooLong {
                actual_bytes: self.payload.len(),
            }),
            () if self.accelerators > GANG_MAX_ACCELERATORS => Err(SpecError::GangTooLarge {
                accelerators: self.accelerators,
            }),
            () => Ok(()),
        }
    }

    /// Returns whether a running request can be preempted and continued or run again, without
    /// running a non-idempotent request more than once.
    ///
    /// Resuming from a checkpoint continues the same run, so a checkpointable request needn't be
    /// idempotent.
    pub fn is_preemptible(&self) -> bool {
        self.idempotent || self.checkpointable
    }
}
