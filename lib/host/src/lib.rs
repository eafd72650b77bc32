//! An entry host on a platform with a row store.
//!
//! An entry host accepts jobs, keeps the newest terms (the configuration that operators write), and
//! runs the scheduler while it holds the scheduler lease.

pub mod advisor;
pub mod call;
pub mod entry_host;
pub mod event_log;
pub mod feed_pacing;
pub mod gateway;
pub mod host_registry;
pub mod inbox_reader;
pub mod leadership;
pub mod learned_state;
pub mod machines;
pub mod metrics;
pub mod operator_requests;
mod order_sender;
pub mod partition_reader;
pub mod peers;
pub mod platform_schema;
mod progress_writer;
pub mod relay;
pub mod rows;
pub mod scheduler;
pub mod settings;
pub mod standby_rank;
pub mod store_path;
pub mod stored_state;
pub mod terms_parts;
pub mod terms_watcher;
pub mod waiting_count;
pub mod wakeup;
