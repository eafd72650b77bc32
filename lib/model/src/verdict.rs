//! Verdicts on whether a request may have run, and refusals that carry one.

use std::fmt;

/// Whether a request may have run.
///
/// Every refusal that is sent to a caller or to another entry host carries a verdict.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The request has not run. If it has ended with this verdict, a conditional write ensures that
    /// it can't be started later. In a history entry and in the view of a pending request, the
    /// verdict only means that the request has not run so far.
    NotRun,
    /// It is unknown whether the request ran. A non-idempotent request is never started again.
    MayHaveRun,
    Ran,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "did not run",
            Self::MayHaveRun => "may have run",
            Self::Ran => "ran",
        })
    }
}

/// Kind of a refusal, independent of the transport.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The input is invalid; the same input will be refused again.
    Invalid,
    /// The call has no valid token.
    Unauthenticated,
    /// The token doesn't grant access to the object.
    Forbidden,
    /// The object doesn't exist.
    NotFound,
    /// The input contradicts the stored state.
    Conflict,
    /// The body exceeds the size limit.
    TooLarge,
    /// A limit is reached; the caller may retry later.
    Busy,
    /// A dependency can't be reached at the moment.
    Unavailable,
    /// A bug in the server.
    Internal,
}

impl RefusalCode {
    /// Returns the name used in JSON.
    pub fn name(self) -> &'static str {
        match self {
            Self::Invalid => "invalid",
            Self::Unauthenticated => "unauthenticated",
            Self::Forbidden => "forbidden",
            Self::NotFound => "not_found",
            Self::Conflict => "conflict",
            Self::TooLarge => "too_large",
            Self::Busy => "busy",
            Self::Unavailable => "unavailable",
            Self::Internal => "internal",
        }
    }
}

/// A response that refuses a call or a request.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, thiserror::Error)]
#[error("{message} (hint: {hint})")]
pub struct Refusal {
    pub code: RefusalCode,
    pub verdict: Verdict,
    /// The problem, including the name of the object concerned.
    pub message: String,
    /// Advice on how to solve the problem.
    pub hint: String,
    /// Suggested delay before a retry, in milliseconds; absent if none is suggested.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal with the verdict [`Verdict::NotRun`] unless [`Self::with_verdict`] sets
    /// another.
    pub fn new(code: RefusalCode, message: impl Into<String>, hint: impl Into<String>) -> Self {
        Self {
            code,
            verdict: Verdict::NotRun,
            message: message.into(),
            hint: hint.into(),
            retry_after_ms: None,
        }
    }

    pub fn with_verdict(mut self, verdict: Verdict) -> Self {
        self.verdict = verdict;
        self
    }

    pub fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}
