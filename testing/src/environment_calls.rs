//! Calls of a test to the entry hosts and the platform of its environment.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use camphorbeam_clock as clock;
use camphorbeam_http::{client, meter};
use camphorbeam_model::{id, record, request, verdict};
use camphorbeam_platform::memory;
use camphorbeam_protocol::messages;
use camphorbeam_server::{api, auth, requests};
use http_types::Method;

use crate::environment::{wait_until, Environment};

/// Timeout of a call to an entry host or the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of calls that one cancellation makes.
const CANCEL_ATTEMPTS_MAX: usize = 30;

/// Delay before a cancellation is tried again.
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Reason why a call failed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum CallError {
    /// The entry host refused the call.
    #[error(transparent)]
    Refused(#[from] verdict::Refusal),
    /// No complete response arrived.
    #[error(transparent)]
    Unanswered(#[from] client::ExchangeError),
    /// The response could not be parsed.
    #[error("malformed response: {0}")]
    Malformed(String),
}

impl Environment {
    pub(crate) async fn platform_call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> anyhow::Result<Vec<u8>> {
        let call = client::Call {
            address: self.platform_address,
            method,
            path,
            body,
            headers: Vec::new(),
            timeout: CALL_TIMEOUT,
        };
        Ok(self.client.send(call).await?.body)
    }

    /// Returns how many operations the platform has served so far.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond.
    pub async fn platform_usage(&self) -> anyhow::Result<memory::Usage> {
        let body = self
            .platform_call(Method::Get, "/control/usage", Vec::new())
            .await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Calls the entry host at `index`.
    ///
    /// # Errors
    ///
    /// Returns the refusal, or the reason why there is no usable response.
    pub async fn call(
        &self,
        index: usize,
        identity: &auth::Identity,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Vec<u8>, CallError> {
        let token = self.keyring.token(identity);
        let reply = self
            .client
            .send(client::Call {
                address: self.hosts[index].caller_link.address(),
                method,
                path,
                body,
                headers: vec![("authorization", format!("Bearer {token}"))],
                timeout: CALL_TIMEOUT,
            })
            .await?;
        match reply.status.is_success() {
            true => Ok(reply.body),
            false => Err(refusal_error(&reply)),
        }
    }

    /// Calls the entry host at `index` as an operator.
    ///
    /// # Errors
    ///
    /// Fails as [`Environment::call`] does.
    pub async fn operator_call(
        &self,
        index: usize,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Vec<u8>, CallError> {
        let operator = auth::Identity::Operator;
        self.call(index, &operator, method, path, body).await
    }

    /// Returns the health report of the entry host at `index`.
    ///
    /// # Errors
    ///
    /// Fails as [`Environment::call`] does.
    pub async fn health(&self, index: usize) -> Result<api::Health, CallError> {
        let path = "/v1/health";
        decode(
            &self
                .operator_call(index, Method::Get, path, Vec::new())
                .await?,
        )
    }

    /// Submits a request to the entry host at `index`.
    ///
    /// # Errors
    ///
    /// Fails as [`Environment::call`] does.
    pub async fn submit(
        &self,
        index: usize,
        spec: &request::RequestSpec,
    ) -> Result<api::SubmitResponse, CallError> {
        let body = serde_json::to_vec(spec).map_err(malformed)?;
        let caller = auth::Identity::Caller(spec.client_account.clone());
        let reply = self.call(index, &caller, Method::Post, "/v1/requests", body);
        decode(&reply.await?)
    }

    /// Asks the entry host at `index` for the explanation of a request.
    ///
    /// # Errors
    ///
    /// Fails as [`Environment::call`] does.
    pub async fn explain(
        &self,
        index: usize,
        request: &id::RequestId,
    ) -> Result<requests::Explanation, CallError> {
        let path = format!("/v1/requests/{request}");
        decode(
            &self
                .operator_call(index, Method::Get, &path, Vec::new())
                .await?,
        )
    }

    /// Fetches the complete answer of a request from the entry host at `index`.
    ///
    /// # Errors
    ///
    /// Fails as [`Environment::call`] does.
    pub async fn answer(
        &self,
        index: usize,
        request: &id::RequestId,
    ) -> Result<Vec<u8>, CallError> {
        let path = format!("/v1/requests/{request}/answer");
        self.operator_call(index, Method::Get, &path, Vec::new())
            .await
    }

    /// Asks the entry host at `index` to cancel a request.
    ///
    /// # Errors
    ///
    /// Fails as [`Environment::call`] does.
    pub async fn cancel(
        &self,
        index: usize,
        request: &id::RequestId,
    ) -> Result<messages::CancelOutcome, CallError> {
        let path = format!("/v1/requests/{request}");
        let reply = self.operator_call(index, Method::Delete, &path, Vec::new());
        decode(&reply.await?)
    }

    /// Returns a future that cancels a request, trying the entry hosts in turn until one accepts.
    /// It borrows nothing, so that a test can spawn it.
    ///
    /// The outcome is not returned; tests see it in the final state of the request.
    pub fn cancellation(
        &self,
        request: &id::RequestId,
    ) -> impl Future<Output = ()> + Send + 'static {
        let hosts = self.hosts.iter();
        let addresses: Vec<SocketAddr> = hosts.map(|host| host.caller_link.address()).collect();
        let token = self.keyring.token(&auth::Identity::Operator);
        let path = format!("/v1/requests/{request}");
        async move {
            let meter = Arc::new(meter::Meter::default());
            let client = client::HttpClient::new(clock::Clock::system(), meter);
            let attempts = addresses.iter().cycle().take(CANCEL_ATTEMPTS_MAX);
            for address in attempts {
                let call = client::Call {
                    address: *address,
                    method: Method::Delete,
                    path: &path,
                    body: Vec::new(),
                    headers: vec![("authorization", format!("Bearer {token}"))],
                    timeout: CALL_TIMEOUT,
                };
                match client.send(call).await {
                    Ok(reply) if reply.status.is_success() => return,
                    _ => task::sleep(CANCEL_RETRY_DELAY).await,
                }
            }
        }
    }

    /// Waits until a request has ended, asking the entry hosts in turn.
    ///
    /// Returns the last explanation, if there was one, even if the request has not ended within
    /// `limit`.
    pub async fn await_end(
        &self,
        request: &id::RequestId,
        limit: Duration,
    ) -> Option<requests::Explanation> {
        let mut last = None;
        let mut index = 0;
        wait_until(limit, async || {
            index = (index + 1) % self.hosts.len();
            match self.explain(index, request).await {
                Ok(explanation) => {
                    let is_ended = explanation.standing != record::Standing::Pending;
                    last = Some(explanation);
                    is_ended
                }
                Err(_) => false,
            }
        })
        .await;
        last
    }
}

fn refusal_error(reply: &client::Response) -> CallError {
    match serde_json::from_slice::<verdict::Refusal>(&reply.body) {
        Ok(refusal) => CallError::Refused(refusal),
        Err(error) => malformed(format!("status {}: {error}", reply.status)),
    }
}

fn malformed(error: impl ToString) -> CallError {
    CallError::Malformed(error.to_string())
}

fn decode<A: serde::de::DeserializeOwned>(body: &[u8]) -> Result<A, CallError> {
    serde_json::from_slice(body).map_err(malformed)
}
