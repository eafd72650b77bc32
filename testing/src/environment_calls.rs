//! Calls of an environment to its entry hosts and its platform.

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
use camphorbeam_server::{api, auth, lookup};
use http_types::Method;

use crate::environment::{wait_until, Environment};

/// Limit for a call to an entry host.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Tries of one cancellation.
const CANCEL_ATTEMPTS_MAX: usize = 30;

/// Pause between two tries of a cancellation.
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// How a call failed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum CallError {
    /// The entry host refused.
    #[error(transparent)]
    Refused(#[from] verdict::Refusal),
    /// There was no whole answer.
    #[error(transparent)]
    Unanswered(#[from] client::ExchangeError),
    /// The answer was not understood.
    #[error("answer not understood: {0}")]
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

    /// How often the platform was used so far.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer.
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
    /// Returns the refusal, or why there is no answer.
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
    /// As [`Environment::call`].
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

    /// How the entry host at `index` is doing.
    ///
    /// # Errors
    ///
    /// As [`Environment::call`].
    pub async fn health(&self, index: usize) -> Result<api::Health, CallError> {
        let path = "/v1/health";
        decode(
            &self
                .operator_call(index, Method::Get, path, Vec::new())
                .await?,
        )
    }

    /// Submits a request over the entry host at `index`.
    ///
    /// # Errors
    ///
    /// As [`Environment::call`].
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

    /// Explains a request over the entry host at `index`.
    ///
    /// # Errors
    ///
    /// As [`Environment::call`].
    pub async fn explain(
        &self,
        index: usize,
        request: &id::RequestId,
    ) -> Result<lookup::Explanation, CallError> {
        let path = format!("/v1/requests/{request}");
        decode(
            &self
                .operator_call(index, Method::Get, &path, Vec::new())
                .await?,
        )
    }

    /// The whole answer of a request over the entry host at `index`.
    ///
    /// # Errors
    ///
    /// As [`Environment::call`].
    pub async fn answer(
        &self,
        index: usize,
        request: &id::RequestId,
    ) -> Result<Vec<u8>, CallError> {
        let path = format!("/v1/requests/{request}/answer");
        self.operator_call(index, Method::Get, &path, Vec::new())
            .await
    }

    /// Cancels a request over the entry host at `index`.
    ///
    /// # Errors
    ///
    /// As [`Environment::call`].
    pub async fn cancel(
        &self,
        index: usize,
        request: &id::RequestId,
    ) -> Result<messages::CancelOutcome, CallError> {
        let path = format!("/v1/requests/{request}");
        let reply = self.operator_call(index, Method::Delete, &path, Vec::new());
        decode(&reply.await?)
    }

    /// A cancellation for a task of its own, tried over every entry host until one answers.
    ///
    /// Nothing is told of its outcome: the request's end shows it.
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

    /// Waits until a request is at its end, asking every entry host in turn.
    ///
    /// Returns the last explanation, if there was one, whether at its end or not.
    pub async fn await_end(
        &self,
        request: &id::RequestId,
        limit: Duration,
    ) -> Option<lookup::Explanation> {
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
