//! HTTP client for backend servers.
//!
//! To support backend servers with another interface, only this file has to be replaced.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use camphorbeam_http::client;
use camphorbeam_model::task as task_model;
use http_types::{Method, StatusCode};

use crate::{orders, sync, task};

/// Sends orders to one backend server over HTTP.
#[derive(Clone, Debug)]
pub struct HttpBackendServer {
    client: Arc<client::HttpClient>,
    address: SocketAddr,
    timeout: Duration,
}

impl HttpBackendServer {
    /// Creates a client for the backend server at `address`.
    ///
    /// `timeout` limits each order. A sync may take up to `wait_ms` longer.
    pub fn new(client: Arc<client::HttpClient>, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client,
            address,
            timeout,
        }
    }

    async fn send_request(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Vec<u8>, orders::OrderError> {
        let call = client::Call {
            address: self.address,
            method,
            path,
            body,
            headers: Vec::new(),
            timeout,
        };
        let reply = self.client.send(call).await.map_err(to_order_error)?;
        match reply.status {
            StatusCode::Ok => Ok(reply.body),
            StatusCode::Conflict | StatusCode::BadRequest | StatusCode::NotFound => {
                Err(parse_refusal(&reply))
            }
            status => Err(orders::OrderError::OutcomeUnknown {
                reason: format!("status {status} from {}", self.address),
            }),
        }
    }

    async fn send_order<Request, Reply>(
        &self,
        path: &str,
        request: &Request,
        timeout: Duration,
    ) -> Result<Reply, orders::OrderError>
    where
        Request: serde::Serialize + Sync,
        Reply: serde::de::DeserializeOwned,
    {
        let body = serde_json::to_vec(request).map_err(|error| orders::OrderError::NotSent {
            reason: error.to_string(),
        })?;
        let reply = self.send_request(Method::Post, path, body, timeout).await?;
        serde_json::from_slice(&reply).map_err(|error| orders::OrderError::OutcomeUnknown {
            reason: format!("answer of {} not understood: {error}", self.address),
        })
    }
}

fn to_order_error(error: client::ExchangeError) -> orders::OrderError {
    let reason = error.to_string();
    match error {
        client::ExchangeError::NotSent { .. } => orders::OrderError::NotSent { reason },
        client::ExchangeError::NoResponse { .. } => orders::OrderError::OutcomeUnknown { reason },
    }
}

fn parse_refusal(reply: &client::Response) -> orders::OrderError {
    match serde_json::from_slice(&reply.body) {
        Ok(refusal) => orders::OrderError::Refused(refusal),
        Err(error) => orders::OrderError::OutcomeUnknown {
            reason: format!("status {}, refusal not understood: {error}", reply.status),
        },
    }
}

#[async_trait]
impl orders::BackendServer for HttpBackendServer {
    async fn fence(
        &self,
        request: &orders::FenceRequest,
    ) -> Result<orders::Inventory, orders::OrderError> {
        self.send_order("/v1/fence", request, self.timeout).await
    }

    async fn reserve(
        &self,
        request: &orders::ReserveRequest,
    ) -> Result<task::TaskStatus, orders::OrderError> {
        self.send_order("/v1/reserve", request, self.timeout).await
    }

    async fn start(
        &self,
        request: &orders::StartRequest,
    ) -> Result<task::TaskStatus, orders::OrderError> {
        self.send_order("/v1/start", request, self.timeout).await
    }

    async fn stop(
        &self,
        request: &orders::StopRequest,
    ) -> Result<task::TaskStatus, orders::OrderError> {
        self.send_order("/v1/stop", request, self.timeout).await
    }

    async fn throttle(
        &self,
        request: &orders::ThrottleRequest,
    ) -> Result<task::TaskStatus, orders::OrderError> {
        self.send_order("/v1/throttle", request, self.timeout).await
    }

    async fn sync(
        &self,
        request: &sync::SyncRequest,
    ) -> Result<sync::SyncReply, orders::OrderError> {
        let timeout = self.timeout + Duration::from_millis(request.wait_ms);
        self.send_order("/v1/sync", request, timeout).await
    }

    async fn answer(&self, key: &task_model::TaskKey) -> Result<Vec<u8>, orders::OrderError> {
        let path = format!("/v1/answer/{key}");
        self.send_request(Method::Get, &path, Vec::new(), self.timeout)
            .await
    }
}
