//! One measured entry host: its process and the calls to it.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use camphorbeam_http::client;
use camphorbeam_model::id;
use camphorbeam_server::{api, auth, settings};
use http_types::Method;

use crate::{ports, size};

/// Limit for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A secret of this run only, so that no other run's entry hosts and peers are listened to.
pub fn secret() -> String {
    format!("capacity measurement {:032x}", rand::random::<u128>())
}

/// Where an entry host is and whom it knows.
#[derive(Clone, Debug)]
pub struct HostConfig {
    /// Its id.
    pub host: id::HostId,
    /// Its availability zone.
    pub zone: id::ZoneName,
    /// The platform.
    pub platform: SocketAddr,
    /// Its peers.
    pub peers: Vec<SocketAddr>,
}

/// A running entry host; killed when dropped.
pub struct Daemon {
    /// Where callers and operators reach it.
    pub address: SocketAddr,
    /// Where other entry hosts reach it.
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

    /// Its process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Either fails only if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Calls entry hosts as `identity`.
pub struct ApiClient {
    client: client::HttpClient,
    keyring: auth::Keyring,
}

impl ApiClient {
    /// A caller with `client` and the tokens of `keyring`.
    pub fn new(client: client::HttpClient, keyring: auth::Keyring) -> Self {
        Self { client, keyring }
    }

    /// Makes one call and returns the body of its answer.
    ///
    /// # Errors
    ///
    /// Fails if the call is not answered with success.
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

    /// How an entry host is doing.
    ///
    /// # Errors
    ///
    /// Fails if it does not answer.
    pub async fn health(&self, address: SocketAddr) -> anyhow::Result<api::Health> {
        let body = self
            .call(address, Method::Get, "/v1/health", Vec::new())
            .await?;
        Ok(serde_json::from_slice(&body)?)
    }
}
