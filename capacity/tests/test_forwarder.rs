//! Tests the byte counts of the forwarder.

use std::sync::Arc;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use camphorbeam_capacity::forwarder;
use camphorbeam_http::meter;

const REQUEST: &[u8] = b"seventeen bytes..";
const REPLY: &[u8] = b"five!";

#[test]
fn test_forwarder_counts_both_ways() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let target = listener.local_addr().expect("a bound listener");
        let server = task::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut request = Vec::new();
            stream.read_to_end(&mut request).await.expect("a request");
            stream.write_all(REPLY).await.expect("room for the reply");
            request
        });
        let meter = Arc::new(meter::Meter::default());
        let address = forwarder::start(target, Arc::clone(&meter))
            .await
            .expect("a free port");
        let mut stream = TcpStream::connect(address).await.expect("the forwarder");
        stream.write_all(REQUEST).await.expect("room");
        stream
            .shutdown(std::net::Shutdown::Write)
            .expect("an open stream");
        let mut reply = Vec::new();
        stream.read_to_end(&mut reply).await.expect("a reply");
        assert_eq!(server.await, REQUEST);
        assert_eq!(reply, REPLY);
        assert_eq!(meter.received_bytes(), REQUEST.len() as u64);
        assert_eq!(meter.sent_bytes(), REPLY.len() as u64);
    });
}
