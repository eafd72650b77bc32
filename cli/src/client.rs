//! Client for the HTTP API of an entry host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use camphorbeam_clock as clock;
use camphorbeam_http::{client, meter};
use camphorbeam_model::verdict;
use http_types::Method;

use crate::exit;

/// Time after which a call fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Failure of a call.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The entry host refused the call.
    #[error(transparent)]
    Refused(#[from] verdict::Refusal),
    /// The entry host can't be reached, so nothing was sent.
    #[error("{0} (hint: is --server the address of a running entry host?)")]
    Unreachable(String),
    /// The call was sent, but no complete response arrived.
    #[error("{0} (hint: the call may have taken effect; ask with `camphorbeam explain`)")]
    NoResponse(String),
    /// The response can't be parsed.
    #[error("status {status} with an answer that is not understood: {reason}")]
    InvalidResponse {
        /// HTTP status of the response; 200 stands for any success.
        status: u16,
        /// Why the response can't be parsed.
        reason: String,
    },
}

impl CallError {
    /// Returns the exit code of a command that fails with this error.
    pub fn exit_code(&self) -> exit::Code {
        match self {
            Self::Refused(refusal) => refusal.verdict.into(),
            Self::Unreachable(_) => exit::Code::Unreachable,
            Self::NoResponse(_) | Self::InvalidResponse { .. } => exit::Code::MayHaveRun,
        }
    }
}

/// Client for the API of one entry host.
pub struct ApiClient {
    client: client::HttpClient,
    address: SocketAddr,
    token: String,
}

impl ApiClient {
    /// Creates a client for the entry host at `address` that sends `token` with each call.
    pub fn new(address: SocketAddr, token: String) -> Self {
        let meter = Arc::new(meter::Meter::default());
        Self {
            client: client::HttpClient::new(clock::Clock::system(), meter),
            address,
            token,
        }
    }

    /// Sends a call and returns the body of the response.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if the call fails or its status isn't a success. The verdict of a
    /// refusal states whether the request has run or the change may be in force.
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
        let response = self.client.send(call).await.map_err(|error| match error {
            client::ExchangeError::NotSent { .. } => CallError::Unreachable(error.to_string()),
            client::ExchangeError::NoResponse { .. } => CallError::NoResponse(error.to_string()),
        })?;
        match response.status.is_success() {
            true => Ok(response.body),
            false => Err(response_error(&response)),
        }
    }

    /// Sends a call and parses the body of the response as JSON.
    ///
    /// # Errors
    ///
    /// Fails like [`ApiClient::call`], and with [`CallError::InvalidResponse`] if the body isn't
    /// the expected JSON.
    pub async fn call_json<A: serde::de::DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<A, CallError> {
        let body = self.call(method, path, body).await?;
        serde_json::from_slice(&body).map_err(|error| CallError::InvalidResponse {
            status: 200,
            reason: error.to_string(),
        })
    }
}

fn response_error(response: &client::Response) -> CallError {
    match serde_json::from_slice::<verdict::Refusal>(&response.body) {
        Ok(refusal) => CallError::Refused(refusal),
        Err(error) => CallError::InvalidResponse {
            status: u16::from(response.status),
            reason: error.to_string(),
        },
    }
}
