//! Unique tokens of writes.

use std::sync::Arc;

use camphorbeam_scheduler::lease;

/// Makes tokens that sort by time; their random part makes collisions negligible.
#[derive(Clone, Copy, Debug, Default)]
pub struct UlidTokenSource;

impl lease::TokenSource for UlidTokenSource {
    fn next(&self) -> Arc<str> {
        Arc::from(ulid::Ulid::new().to_string())
    }
}
