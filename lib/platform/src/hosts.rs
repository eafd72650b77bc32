//! The list of live and leaving hosts. The platform updates it with a delay.

use async_trait::async_trait;
use camphorbeam_model::cluster;

use crate::table;

/// The host list of the platform.
#[async_trait]
pub trait Hosts: Send + Sync {
    /// Returns the list if its version differs from `known_version`, and always if `known_version`
    /// is 0, which means that the caller knows no list.
    async fn list(
        &self,
        known_version: u64,
    ) -> Result<Option<cluster::HostList>, table::PlatformError>;
}
