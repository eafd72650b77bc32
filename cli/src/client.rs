//! Calls the HTTP API of an entry host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use camphorbeam_clock as clock;
use camphorbeam_http::{client, meter};
use camphorbeam_model::verdict;
use http_types::Method;

use crate::exit;

/// Limit for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// How a call failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The entry host has refused.
    #[error(transparent)]
    Refused(#[from] verdict::Refusal),
    /// No entry host was reached, so nothing was sent.
    #[error("{0} (hint: is --server the address of a running entry host?)")]
    Unreachable(String),
    /// The answer was lost.
    #[error("{0} (hint: the call may have taken effect; ask with `camphorbeam explain`)")]
    Unanswered(String),
    /// The answer is not understood.
    #[error("status {status} with an answer that is not understood: {reason}")]
    InvalidAnswer {
        /// The status.
        status: u16,
        /// What is wrong.
        reason: String,
    },
}

impl CallError {
    /// The exit code for it.
    pub fn exit_code(&self) -> exit::Code {
        match self {
            Self::Refused(refusal) => refusal.verdict.into(),
            Self::Unreachable(_) => exit::Code::Unreachable,
            Self::Unanswered(_) | Self::InvalidAnswer { .. } => exit::Code::MayHaveRun,
        }
    }
}

/// Speaks to one entry host.
pub struct ApiClient {
    client: client::HttpClient,
    address: SocketAddr,
    token: String,
}

impl ApiClient {
    /// A client of the entry host at `address`.
    pub fn new(address: SocketAddr, token: String) -> Self {
        let meter = Arc::new(meter::Meter::default());
        Self {
            client: client::HttpClient::new(clock::Clock::system(), meter),
            address,
            token,
        }
    }

    /// Sends a call and returns the body of its answer.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`]; a refusal carries its verdict.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Vec<u8>, CallError> {
        let call = client::Call {
            address: self.address,
            method,
            path,
            body,
            headers: vec![("authorization", format!("Bearer {}", self.token))],
            timeout: CALL_TIMEOUT,
        };
        let reply = self.client.send(call).await.map_err(|error| match error {
            client::ExchangeError::NotSent { .. } => CallError::Unreachable(error.to_string()),
            client::ExchangeError::Unanswered { .. } => CallError::Unanswered(error.to_string()),
        })?;
        match reply.status.is_success() {
            true => Ok(reply.body),
            false => Err(answer_error(&reply)),
        }
    }

    /// Sends a call whose answer is JSON.
    ///
    /// # Errors
    ///
    /// As [`ApiClient::call`].
    pub async fn call_json<A: serde::de::DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<A, CallError> {
        let body = self.call(method, path, body).await?;
        serde_json::from_slice(&body).map_err(|error| CallError::InvalidAnswer {
            status: 200,
            reason: error.to_string(),
        })
    }
}

fn answer_error(reply: &client::Reply) -> CallError {
    match serde_json::from_slice::<verdict::Refusal>(&reply.body) {
        Ok(refusal) => CallError::Refused(refusal),
        Err(error) => CallError::InvalidAnswer {
            status: u16::from(reply.status),
            reason: error.to_string(),
        },
    }
}
