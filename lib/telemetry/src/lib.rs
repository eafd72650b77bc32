//! Traces, metrics and logs of the processes of the system.

pub mod logs;
pub mod metrics;
pub mod trace_file;
pub mod traces;
