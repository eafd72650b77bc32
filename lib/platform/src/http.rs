//! HTTP client of the platform's table, object store and host list.
//!
//! To use a platform where these have another interface, replace this file. The row store
//! ([`crate::store`]) has a client of its own, outside this crate.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use camphorbeam_http::client;
use camphorbeam_model::cluster;
use http_types::{Method, StatusCode};

use crate::{hosts, objects, table};

/// Request to read rows of the table.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct ReadRequest {
    /// Keys of the rows to read.
    pub keys: Vec<Arc<str>>,
}

/// Request for one page of a scan.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct ScanRequest {
    /// The prefix of the keys to return.
    pub prefix: String,
    /// Only keys greater than this one are returned.
    pub after: String,
    /// Maximum number of rows in the page.
    pub limit: usize,
}

/// Client of the platform's table, object store and host list.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    client: Arc<client::HttpClient>,
    address: SocketAddr,
    timeout: Duration,
}

impl HttpPlatform {
    /// Creates a client of the platform at `address`; `timeout` applies to each call.
    pub fn new(client: Arc<client::HttpClient>, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client,
            address,
            timeout,
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<client::Response, table::PlatformError> {
        let call = client::Call {
            address: self.address,
            method,
            path,
            body,
            headers: Vec::new(),
            timeout: self.timeout,
        };
        let reply = self.client.send(call).await.map_err(to_platform_error)?;
        match reply.status {
            status if status.is_server_error() => Err(table::PlatformError::Unknown {
                reason: format!("status {status}"),
            }),
            StatusCode::BadRequest | StatusCode::PayloadTooLarge => {
                Err(table::PlatformError::Rejected {
                    reason: String::from_utf8_lossy(&reply.body).into_owned(),
                })
            }
            _ => Ok(reply),
        }
    }

    async fn post_json<Q, A>(&self, path: &str, request: &Q) -> Result<A, table::PlatformError>
    where
        Q: serde::Serialize + Sync,
        A: serde::de::DeserializeOwned,
    {
        let body = serde_json::to_vec(request).map_err(|error| table::PlatformError::Rejected {
            reason: error.to_string(),
        })?;
        let reply = self.call(Method::Post, path, body).await?;
        decode(&reply)
    }
}

/// Converts the error of a call. A call that wasn't sent had no effect; otherwise its effect is
/// unknown.
fn to_platform_error(error: client::ExchangeError) -> table::PlatformError {
    let reason = error.to_string();
    match error {
        client::ExchangeError::NotSent { .. } => table::PlatformError::NotApplied { reason },
        client::ExchangeError::NoResponse { .. } => table::PlatformError::Unknown { reason },
    }
}

fn decode<A: serde::de::DeserializeOwned>(
    reply: &client::Response,
) -> Result<A, table::PlatformError> {
    serde_json::from_slice(&reply.body).map_err(|error| table::PlatformError::Unknown {
        // The error text may quote the body, which must not be logged.
        reason: format!(
            "status {}, body not understood at line {} column {}",
            reply.status,
            error.line(),
            error.column()
        ),
    })
}

#[async_trait]
impl table::Table for HttpPlatform {
    async fn read(&self, keys: &[Arc<str>]) -> Result<Vec<table::Row>, table::PlatformError> {
        let request = ReadRequest {
            keys: keys.to_vec(),
        };
        self.post_json("/table/read", &request).await
    }

    async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<table::Row>, table::PlatformError> {
        let request = ScanRequest {
            prefix: prefix.to_owned(),
            after: after.to_owned(),
            limit,
        };
        self.post_json("/table/scan", &request).await
    }

    async fn commit(
        &self,
        transaction: &table::Transaction,
    ) -> Result<table::Commit, table::PlatformError> {
        self.post_json("/table/commit", transaction).await
    }
}

#[async_trait]
impl objects::ObjectStore for HttpPlatform {
    async fn put(&self, name: &str, content: &[u8]) -> Result<(), table::PlatformError> {
        let path = format!("/objects/{name}");
        self.call(Method::Put, &path, content.to_vec()).await?;
        Ok(())
    }

    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, table::PlatformError> {
        let path = format!("/objects/{name}");
        let reply = self.call(Method::Get, &path, Vec::new()).await?;
        Ok((reply.status != StatusCode::NotFound).then_some(reply.body))
    }
}

#[async_trait]
impl hosts::Hosts for HttpPlatform {
    async fn list(
        &self,
        known_version: u64,
    ) -> Result<Option<cluster::HostList>, table::PlatformError> {
        let path = format!("/hosts?known_version={known_version}");
        let reply = self.call(Method::Get, &path, Vec::new()).await?;
        match reply.status {
            StatusCode::NotModified => Ok(None),
            _ => decode(&reply).map(Some),
        }
    }
}
