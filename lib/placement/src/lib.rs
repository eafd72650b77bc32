//! Decisions: which request starts where, which borrower gives way, what can never run.
//!
//! Pure logic: no clock, no I/O, no randomness. A [`policy::Policy`] is told what happens and is
//! asked to decide; the same history gives the same decisions.

mod assignment;
mod beyond_guarantee;
pub mod camphorbeam;
pub mod cluster;
mod costs;
pub mod fifo;
pub mod fifo_backfill;
pub mod first_fit;
pub mod guarantee;
pub mod history;
pub mod policy;
mod queue;
pub mod quota_count;
mod reservation;
mod round;
mod urgent;
pub mod weights;
mod within_guarantee;
