//! What a scheduler needs of its surroundings.

use std::net::SocketAddr;
use std::sync::Arc;

use camphorbeam_backend::orders;
use camphorbeam_clock as clock;
use camphorbeam_model::{id, sheet};
use camphorbeam_platform::{committer, objects, table};
use camphorbeam_telemetry::metrics;

use crate::{lease, settings};

/// Opens task interfaces of backend servers.
pub trait Connector: Send + Sync {
    /// The task interface at `address`.
    fn connect(&self, address: SocketAddr) -> Arc<dyn orders::BackendServer>;
}

/// The sheet in hand.
#[derive(Clone, Debug)]
pub struct SheetView {
    /// Its version.
    pub version: id::SheetVersion,
    /// The sheet.
    pub sheet: Arc<sheet::Sheet>,
    /// Whether it was confirmed to be the newest within the promised time.
    pub is_confirmed: bool,
}

/// Gives the sheet in hand.
pub trait SheetSource: Send + Sync {
    /// The sheet in hand; nothing before the first is known.
    fn sheet(&self) -> Option<SheetView>;
}

/// What a scheduler needs of its surroundings.
#[derive(Clone)]
pub struct Dependencies {
    /// The platform's table.
    pub table: Arc<dyn table::Table>,
    /// Commits in groups.
    pub committer: committer::Committer,
    /// The platform's object store.
    pub objects: Arc<dyn objects::ObjectStore>,
    /// The clock.
    pub clock: clock::Clock,
    /// Makes unique tokens.
    pub tokens: Arc<dyn lease::TokenSource>,
    /// Reaches backend servers.
    pub connector: Arc<dyn Connector>,
    /// Gives the sheet.
    pub sheets: Arc<dyn SheetSource>,
    /// Metrics.
    pub metrics: Arc<cadence::StatsdClient>,
    /// Settings.
    pub settings: Arc<settings::Settings>,
}

impl Dependencies {
    /// Counts one event.
    pub fn count(&self, metric: &str) {
        metrics::count(&self.metrics, metric);
    }
}
