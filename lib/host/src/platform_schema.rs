//! Names and formats of the rows that the platform defines.

use camphorbeam_model::{fleet, terms};
use camphorbeam_platform::store;

/// Locates and decodes the rows that operators and backend servers write.
pub trait PlatformSchema: Send + Sync {
    /// Key of the row that holds the operators' newest terms.
    fn terms_key(&self) -> store::RowKey;

    /// Decodes the operators' terms.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid.
    fn decode_terms(&self, text: &str) -> anyhow::Result<terms::Terms>;

    /// Table in which backend servers register, in the partition with the empty name.
    fn server_registry_table(&self) -> &'static str;

    /// Decodes the registration of a backend server.
    ///
    /// # Errors
    ///
    /// Fails if the row doesn't describe a usable server.
    fn decode_server(&self, row: &store::Row) -> anyhow::Result<fleet::ServerEntry>;
}
