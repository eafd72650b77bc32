//! The decisions about jobs: which task runs where, what is stopped, what an end means.
//!
//! [`engine::Engine`] owns all state and is fed with events; it gives out orders and records to
//! store. Nothing here does I/O or reads a clock.

mod claims;
mod decide;
pub mod engine;
pub mod event;
pub mod headroom;
pub mod health;
mod hold_replies;
pub mod live_run;
pub mod open_job;
mod order_replies;
pub mod orders;
pub mod placement;
pub mod preemption;
pub mod progress;
pub mod server;
pub mod settings;
pub mod speeds;
mod timeouts;
pub mod trial;
