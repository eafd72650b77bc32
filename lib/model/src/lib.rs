//! Shared data types: names, requests, jobs, verdicts, sheets, operators' terms and hosts.
//!
//! This crate does no I/O and reads no clock.

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
