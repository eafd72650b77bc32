//! The job scheduling engine: which task runs on which backend server, which runs are stopped, and
//! what the end of a run means for its job.
//!
//! [`engine::Engine`] owns all state. Its caller passes in what happens and collects the orders to
//! send, the progress to store and the decisions to log. This crate does no I/O and reads no clock.

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
