//! Traces, metrics and logs of the processes of the system.

pub mod logs;
pub mod metrics;
#[cfg(feature = "traces")]
pub mod trace_file;
pub mod traces;
#[cfg(not(feature = "traces"))]
mod untraced;
#[cfg(not(feature = "traces"))]
pub use untraced::trace_file;
