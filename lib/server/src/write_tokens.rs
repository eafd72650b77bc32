//! Unique tokens that identify writes to the platform.

use std::sync::Arc;

use camphorbeam_scheduler::lease;

/// Generates ULIDs: tokens that sort by time, with a random part that makes collisions negligible.
#[derive(Clone, Copy, Debug, Default)]
pub struct UlidWriteTokenSource;

impl lease::WriteTokenSource for UlidWriteTokenSource {
    fn next(&self) -> Arc<str> {
        Arc::from(ulid::Ulid::new().to_string())
    }
}
