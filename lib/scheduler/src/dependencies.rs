//! The external services and settings that a scheduler depends on.

use std::net::SocketAddr;
use std::sync::Arc;

use camphorbeam_backend::orders;
use camphorbeam_clock as clock;
use camphorbeam_model::{id, sheet};
use camphorbeam_platform::{committer, objects, table};
use camphorbeam_telemetry::metrics;

use crate::{lease, settings};

/// Creates clients for backend servers.
pub trait Connector: Send + Sync {
    /// Returns a client for the backend server at `address`.
    fn connect(&self, address: SocketAddr) -> Arc<dyn orders::BackendServer>;
}

/// The newest sheet that this entry host has. The sheet is the operators' table of client accounts,
/// kinds of requests and guarantees.
#[derive(Clone, Debug)]
pub struct CurrentSheet {
    /// Version of the sheet.
    pub version: id::SheetVersion,
    /// Contents of the sheet.
    pub sheet: Arc<sheet::Sheet>,
    /// Whether a recent check confirmed that this is the newest sheet. An older confirmation does
    /// not count, so that a new sheet is in force everywhere within 4 s.
    pub is_confirmed: bool,
}

/// Provides the sheet to the scheduler.
pub trait SheetSource: Send + Sync {
    /// Returns the newest sheet that this entry host has; `None` before it has received the first.
    fn sheet(&self) -> Option<CurrentSheet>;
}

/// The external services and settings that a scheduler depends on.
#[derive(Clone)]
pub struct Dependencies {
    /// The platform's table, which holds the request records.
    pub table: Arc<dyn table::Table>,
    /// Commits transactions to the table in groups.
    pub committer: committer::Committer,
    /// The platform's object store, which holds the answers.
    pub objects: Arc<dyn objects::ObjectStore>,
    /// Clock for timeouts, leases and time stamps.
    pub clock: clock::Clock,
    /// Generates the tokens that identify writes.
    pub write_tokens: Arc<dyn lease::WriteTokenSource>,
    /// Creates clients for backend servers.
    pub connector: Arc<dyn Connector>,
    /// Provides the sheet.
    pub sheets: Arc<dyn SheetSource>,
    /// Client that sends metrics.
    pub metrics: Arc<cadence::StatsdClient>,
    /// Settings of the scheduler.
    pub settings: Arc<settings::Settings>,
}

impl Dependencies {
    /// Increments the counter `metric`.
    pub fn count(&self, metric: &str) {
        metrics::count(&self.metrics, metric);
    }
}
