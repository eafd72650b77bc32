//! The job scheduling engine: which task runs on which backend server, which runs are stopped, and
//! what the end of a run means for its job.
//!
//! [`engine::Engine`] owns all state. Its caller passes in jobs, registry entries and replies, and
//! collects orders to send, progress to store and events to log. This crate does no I/O and reads
//! no clock.
//!
//! Tasks are placed in units: a [placement unit](open_job::PlacementUnit) is a gang, whose tasks
//! start together, or a single task.

pub mod advice;
mod claims;
pub mod crash_evidence;
mod crashes;
mod decide;
pub mod disruption_budget;
pub mod engine;
mod evacuation;
pub mod event;
pub mod fair_share;
pub mod finished_steps;
mod fit_index;
pub mod headroom;
pub mod health;
pub mod hindrance;
mod hold_replies;
pub mod interference;
mod interference_tracking;
mod late_starts;
pub mod learned;
pub mod live_run;
pub mod maintenance;
pub mod open_job;
mod order_replies;
pub mod orders;
mod overdue;
pub mod pacing;
pub mod pair_evidence;
pub mod placement;
pub mod preemption;
pub mod progress;
pub mod reachability;
pub mod ready_units;
mod restarts;
pub mod server;
pub mod server_life;
mod server_loss;
pub mod settings;
pub mod soundness;
pub mod speeds;
mod start_check;
mod timeouts;
pub mod trial;
pub mod unmet;
mod unstartable;
mod withheld;
