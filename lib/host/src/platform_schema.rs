//! What is particular to the platform that the host runs on.

use camphorbeam_model::{fleet, terms};
use camphorbeam_platform::store;

/// Where the platform keeps what operators and backend servers write, and how to read it.
pub trait PlatformSchema: Send + Sync {
    /// The row with the operators' newest terms.
    fn terms_row(&self) -> store::RowKey;

    /// Reads the operators' terms.
    ///
    /// # Errors
    ///
    /// Fails if they are not understood.
    fn decode_terms(&self, text: &str) -> anyhow::Result<terms::Terms>;

    /// The table in which backend servers register, in the partition without a name.
    fn server_registry_table(&self) -> &'static str;

    /// Reads the entry of a backend server.
    ///
    /// # Errors
    ///
    /// Fails for an entry that names no usable server.
    fn decode_server(&self, row: &store::Row) -> anyhow::Result<fleet::ServerEntry>;
}
