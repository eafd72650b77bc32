//! Test environment: fakes of the platform and the backend servers, a fault-injecting proxy, and
//! checks of what the backend servers ran.
//!
//! Nothing here is part of the product.

pub mod backend_tasks;
pub mod checks;
pub mod demo;
pub mod environment;
pub mod environment_calls;
pub mod fake_backend;
pub mod fake_platform;
pub mod invariants;
pub mod journal;
pub mod mixed_faults;
pub mod process;
pub mod proxy;
pub mod sweep;
