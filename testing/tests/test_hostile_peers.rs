//! Slow or malformed traffic, from callers, entry hosts or a backend server, does not keep an entry
//! host from serving others.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::{ReadExt as _, WriteExt as _};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use camphorbeam_testing::environment::{self, Environment};
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Number of connections that the hostile peer opens to each entry host.
const CONNECTION_COUNT: usize = 100;

/// What the hostile peer sends on a connection, after which it sends nothing more.
const HOSTILE_TEXTS: [&str; 5] = [
    "",
    "POST /v1/requ",
    "POST /v1/requests HTTP/1.1\r\nhost: h\r\ncontent-length: 1000000\r\n\r\n{",
    "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nnot JSON.",
    "\u{0}\u{1}\u{2}\r\n\r\n",
];

/// Opens connections, sends one of the texts on each, and keeps them open.
async fn open_hostile_connections(address: SocketAddr) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for number in 0..CONNECTION_COUNT {
        let mut stream = TcpStream::connect(address)
            .await
            .expect("the entry host listens");
        // The entry host may close the connection before the text is sent.
        let _ = stream
            .write_all(HOSTILE_TEXTS[number % HOSTILE_TEXTS.len()].as_bytes())
            .await;
        streams.push(stream);
    }
    streams
}

async fn assert_served(environment: &Environment, name: &str) {
    for number in 0..10 {
        let spec = environment::request(&format!("{name}-{number}"), 1, false, 50);
        let index = number % environment.hosts.len();
        environment
            .submit(index, &spec)
            .await
            .expect("the request is accepted");
        let explanation = environment.await_end(&spec.id(), TIMEOUT).await;
        assert_eq!(explanation.expect("the request is known").state, "finished");
    }
}

#[rstest]
#[case::callers("serves callers on ")]
#[case::entry_hosts(" and entry hosts on ")]
fn test_hostile_peers_of_an_entry_host_do_not_block_others(#[case] socket: &str) {
    task::block_on(async {
        let environment = Environment::start(environment::Plan::one_zone(2, 2))
            .await
            .expect("the environment starts");
        let mut open = Vec::new();
        for host in &environment.hosts {
            let printed = host.process.printed();
            let (_, rest) = printed
                .split_once(socket)
                .expect("the entry host logs its addresses");
            let end = rest.find(|c: char| !c.is_ascii_digit() && c != '.' && c != ':');
            let address = rest[..end.expect("the address is followed by more text")]
                .parse()
                .expect("the address is valid");
            open.extend(open_hostile_connections(address).await);
        }

        assert_served(&environment, "beside").await;
        drop(open);
        assert_served(&environment, "after").await;
    });
}

#[rstest]
#[case::silent(&[])]
#[case::garbage(b"what?\r\n\r\n")]
#[case::cut(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{")]
#[case::not_json(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n\xff\x00[{")]
fn test_hostile_peers_in_place_of_a_backend_server_do_not_block_others(
    #[case] answer: &'static [u8],
) {
    task::block_on(async {
        let environment = Environment::start(environment::Plan::one_zone(2, 2))
            .await
            .expect("the environment starts");
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("there is a free port");
        let address = listener.local_addr().expect("the listener has an address");
        task::spawn(async move {
            let mut open = Vec::new();
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut read = [0; 1_024];
                // Errors are ignored: the entry host may close the connection at any time.
                let _ = stream.read(&mut read).await;
                let _ = stream.write_all(answer).await;
                open.push(stream);
            }
        });
        let link = &environment.servers[0].link;
        link.set_fault(camphorbeam_testing::proxy::Fault::Cut);
        link.set_upstream(address);
        environment.clear_faults();

        assert_served(&environment, "other").await;
    });
}
