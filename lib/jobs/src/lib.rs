//! The decisions about jobs: which task runs where, what is stopped, what an end means.
//!
//! [`engine::Engine`] owns all state and is fed with events; it gives out orders and records to
//! store. Nothing here does I/O or reads a clock.

mod claims;
mod decide;
pub mod engine;
pub mod headroom;
pub mod health;
pub mod live;
pub mod note;
pub mod open_job;
pub mod orders;
mod outcome;
pub mod placement;
pub mod preemption;
pub mod progress;
mod replies;
pub mod server;
pub mod settings;
pub mod speeds;
pub mod trial;
mod watch;
