//! The scheduler of an availability zone.
//!
//! One entry host of a zone holds the zone's scheduler lease ([`lease`]) and runs its scheduler, a
//! [`zone::ZoneScheduler`]. Several asynchronous tasks share its in-memory tables ([`tables`]):
//! recovery, which fills the tables after a takeover ([`recovery`]), one sync loop per backend
//! server ([`server_sync`]), one decision loop ([`decisions`]), housekeeping, which looks for
//! requests that were never handed over and for those of abandoned zones ([`housekeeping`]), and a
//! pool of workers ([`workers`]). The workers launch attempts ([`launch`]) and end them
//! ([`ending`]), whether a decision, a cancellation or a lost member is the cause.

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
