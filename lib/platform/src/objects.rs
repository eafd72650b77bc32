//! Storage of objects by name.

use async_trait::async_trait;

use crate::table;

/// The object store of the platform. A write always replaces the whole object.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Stores `content` as the object `name`, replacing an existing one.
    async fn put(&self, name: &str, content: &[u8]) -> Result<(), table::PlatformError>;

    /// Returns the content of the object `name`, if it exists.
    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, table::PlatformError>;
}
