//! Scheduling policies: which waiting job starts on which accelerators, which running job is
//! preempted, and which job can never run.
//!
//! The policies are pure logic without a clock, I/O or randomness: the caller reports events to a
//! [`policy::Policy`] and asks it for decisions. The same sequence of events gives the same
//! decisions.

mod assignment;
mod beyond_guarantee;
pub mod cluster;
mod costs;
pub mod default_policy;
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
