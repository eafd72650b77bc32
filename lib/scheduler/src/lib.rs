//! The scheduler of an availability zone.
//!
//! One entry host of a zone holds the zone's scheduler lease ([`lease`]) and runs its scheduler, a
//! [`zone::ZoneScheduler`]. Three kinds of asynchronous tasks share its in-memory tables
//! ([`tables`]): one sync loop per backend server ([`server_sync`]), one decision loop
//! ([`decisions`]), and a pool of workers ([`workers`]) that carry out the decisions ([`launch`],
//! [`ending`]).

pub mod admission;
pub mod attempt;
pub mod decisions;
pub mod dependencies;
pub mod ending;
mod failures;
mod gauges;
pub mod housekeeping;
pub mod job;
pub mod launch;
pub mod lease;
mod outcome;
pub mod records;
pub mod recovery;
pub mod relocation;
mod request_telemetry;
pub mod server;
pub mod server_set;
pub mod server_sync;
pub mod settings;
pub mod tables;
pub mod workers;
pub mod zone;
