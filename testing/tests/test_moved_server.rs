//! A backend server keeps its id but moves to another address.

use std::time::Duration;

use async_std::task;
use camphorbeam_testing::environment::{self, Environment, Plan};
use camphorbeam_testing::proxy::{self, Fault};
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(20);

#[rstest]
fn test_moved_server_is_used_at_its_new_address() {
    task::block_on(async {
        let mut environment = Environment::start(Plan::one_zone(2, 1))
            .await
            .expect("the environment starts");
        let old_link = environment.servers[0].link.clone();
        let new_link = proxy::Proxy::start("servers>moved", environment.rules.clone())
            .await
            .expect("the proxy starts");
        new_link.set_upstream(old_link.upstream().expect("the old proxy has an upstream"));
        old_link.set_fault(Fault::Cut);
        environment.servers[0].info.address = new_link.address();
        environment.servers[0].link = new_link;
        environment
            .publish_hosts()
            .await
            .expect("the platform answers");

        let spec = environment::request("after", 2, false, 100);
        let submitted = environment
            .submit(0, &spec)
            .await
            .expect("the request is accepted");

        let explanation = environment.await_end(&submitted.id, TIMEOUT).await;
        let explanation = explanation.expect("the request is known");
        assert_eq!(explanation.state, "finished", "{explanation:?}");
    });
}
