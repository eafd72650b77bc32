//! Stand-ins for the outside systems and the environment of the tests.
//!
//! Nothing here is part of the product.

pub mod backend_stand_in;
pub mod backend_tasks;
pub mod checks;
pub mod demo;
pub mod environment;
pub mod environment_calls;
pub mod invariants;
pub mod journal;
pub mod mixed;
pub mod platform_stand_in;
pub mod process;
pub mod proxy;
pub mod sweep;
