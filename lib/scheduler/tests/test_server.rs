//! The scheduler's view of a backend server: when the leases there count as expired.

use std::collections::BTreeSet;
use std::sync::Arc;

use async_trait::async_trait;
use camphorbeam_backend::{orders, sync, task};
use camphorbeam_clock as clock;
use camphorbeam_model::{cluster, id, task as task_model};
use camphorbeam_scheduler::server::{LastReply, Link, Server};

struct UnusedOrders;

#[async_trait]
impl orders::BackendServer for UnusedOrders {
    async fn fence(
        &self,
        _: &orders::FenceRequest,
    ) -> Result<orders::Inventory, orders::OrderError> {
        unimplemented!("no order is sent")
    }
    async fn reserve(
        &self,
        _: &orders::ReserveRequest,
    ) -> Result<task::TaskStatus, orders::OrderError> {
        unimplemented!("no order is sent")
    }
    async fn start(
        &self,
        _: &orders::StartRequest,
    ) -> Result<task::TaskStatus, orders::OrderError> {
        unimplemented!("no order is sent")
    }
    async fn stop(&self, _: &orders::StopRequest) -> Result<task::TaskStatus, orders::OrderError> {
        unimplemented!("no order is sent")
    }
    async fn throttle(
        &self,
        _: &orders::ThrottleRequest,
    ) -> Result<task::TaskStatus, orders::OrderError> {
        unimplemented!("no order is sent")
    }
    async fn sync(&self, _: &sync::SyncRequest) -> Result<sync::SyncReply, orders::OrderError> {
        unimplemented!("no order is sent")
    }
    async fn answer(&self, _: &task_model::TaskKey) -> Result<Vec<u8>, orders::OrderError> {
        unimplemented!("no order is sent")
    }
}

fn at(since_origin_ms: u64) -> clock::Monotonic {
    clock::Monotonic { since_origin_ms }
}

fn unfenced_server() -> Server {
    Server {
        info: cluster::BackendServerInfo {
            id: id::BackendServerId::new("s1").unwrap(),
            zone: id::ZoneName::new("z").unwrap(),
            rack: id::RackName::new("r").unwrap(),
            address: ([127, 0, 0, 1], 1).into(),
            accelerators: 8,
            slots: 8,
            speed_ratio: 1.0,
            phase: cluster::HostPhase::Live,
        },
        orders: Arc::new(UnusedOrders),
        link: Link::Unfenced,
        last_reply_at: None,
        is_drained: false,
        is_leaving: false,
        has_refused_as_leaving: false,
        is_listed: true,
        silent_since: None,
        deletable_tasks: Vec::new(),
        failed_requests: BTreeSet::new(),
    }
}

/// The link is reset when the rows have been loaded and when the server's address changes. Leases
/// that the last sync renewed go on all the same.
#[test]
fn test_server_lease_time_is_counted_from_the_last_reply_after_a_reset_of_the_link() {
    let mut server = unfenced_server();
    assert_eq!(server.lease_time_begins_at(at(500)), Some(at(500)));
    server.set_up(LastReply {
        incarnation: 1,
        server_now_ms: 7,
        received_at: at(9_000),
        last_event: 0,
    });
    assert_eq!(server.lease_time_begins_at(at(500)), None);
    server.link = Link::Unfenced;
    assert_eq!(server.lease_time_begins_at(at(500)), Some(at(9_000)));
}
