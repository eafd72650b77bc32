//! Types that every part of camphorbeam shares: names, requests, verdicts, sheets and clusters.
//!
//! Nothing here does I/O or reads a clock.

pub mod cluster;
pub mod fleet;
pub mod id;
pub mod job;
pub mod record;
pub mod request;
pub mod sheet;
pub mod task;
pub mod terms;
pub mod verdict;
