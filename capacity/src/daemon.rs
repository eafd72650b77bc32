//! The process of a measured entry host, and a client for its HTTP API.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use camphorbeam_http::client;
use camphorbeam_model::id;
use camphorbeam_server::{api, auth, settings};
use http_types::Method;

use crate::{ports, size};

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Generates a secret for this run, so that entry hosts and peers of other runs are not
/// authenticated.
pub fn secret() -> String {
    format!("capacity measurement {:032x}", rand::random::<u128>())
}

/// Identity, availability zone, platform and peers of an entry host.
#[derive(Clone, Debug)]
pub struct HostConfig {
    /// Id of the entry host.
    pub host: id::HostId,
    /// Availability zone of the entry host.
    pub zone: id::ZoneName,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Addresses of the other entry hosts.
    pub peers: Vec<SocketAddr>,
}

/// A running entry host. Dropping it kills the process.
pub struct Daemon {
    /// Address for callers and operators.
    pub address: SocketAddr,
    /// Address for other entry hosts.
    pub peer_address: SocketAddr,
    child: Child,
}

impl Daemon {
    /// Starts `binary` as an entry host.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started.
    pub fn start(
        binary: &Path,
        config: &HostConfig,
        size: &size::Size,
        secret: &str,
    ) -> anyhow::Result<Self> {
        let address = ports::free_address();
        let peer_address = ports::free_address();
        let peers: Vec<String> = config.peers.iter().map(ToString::to_string).collect();
        let child = Command::new(binary)
            .arg("serve")
            .args(["--host", config.host.as_str()])
            .args(["--zone", config.zone.as_str()])
            .args(["--listen", &address.to_string()])
            .args(["--peer-listen", &peer_address.to_string()])
            .args(["--platform", &config.platform.to_string()])
            .args(["--peers", &peers.join(",")])
            .args(["--scheduler-lease-ms", &size.scheduler_lease_ms.to_string()])
            .args(["--sync-wait-ms", &size.sync_wait_ms.to_string()])
            .args(["--task-lease-ms", &size.task_lease_ms.to_string()])
            .args(["--threads", &size.threads.to_string()])
            .env(settings::SECRET_ENV, secret)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Self {
            address,
            peer_address,
            child,
        })
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Both calls fail only if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Client for the HTTP API of entry hosts, with the identity of an operator.
pub struct ApiClient {
    client: client::HttpClient,
    keyring: auth::Keyring,
}

impl ApiClient {
    /// Creates a client that signs its tokens with `keyring`.
    pub fn new(client: client::HttpClient, keyring: auth::Keyring) -> Self {
        Self { client, keyring }
    }

    /// Makes a call and returns the body of the response.
    ///
    /// # Errors
    ///
    /// Fails if there is no response or its status is not a success.
    pub async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> anyhow::Result<Vec<u8>> {
        let token = self.keyring.token(&auth::Identity::Operator);
        let call = client::Call {
            address,
            method,
            path,
            body,
            headers: vec![("authorization", format!("Bearer {token}"))],
            timeout: CALL_TIMEOUT,
        };
        let reply = self.client.send(call).await?;
        anyhow::ensure!(
            reply.status.is_success(),
            "{method} {path}: status {}: {}",
            reply.status,
            String::from_utf8_lossy(&reply.body)
        );
        Ok(reply.body)
    }

    /// Reads the health of an entry host.
    ///
    /// # Errors
    ///
    /// Fails if there is no valid response.
    pub async fn health(&self, address: SocketAddr) -> anyhow::Result<api::Health> {
        let body = self
            .call(address, Method::Get, "/v1/health", Vec::new())
            .await?;
        Ok(serde_json::from_slice(&body)?)
    }
}
