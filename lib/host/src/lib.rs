//! An entry host on a platform with a store of rows: accepts jobs, follows the operators' terms,
//! and schedules while it leads.

pub mod call;
pub mod follower;
pub mod gateway;
pub mod leadership;
pub mod log;
pub mod metrics;
pub mod peers;
pub mod registry;
pub mod reign;
pub mod relay;
pub mod rows;
pub mod run;
pub mod settings;
pub mod site;
pub mod wakeup;
