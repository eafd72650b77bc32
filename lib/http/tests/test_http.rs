//! The server and the client against peers that close the connection, stall, truncate messages or
//! exceed limits.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::io::{ReadExt as _, WriteExt as _};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use camphorbeam_clock as clock;
use camphorbeam_clock::transfer;
use camphorbeam_http::{client, meter, server};
use http_types::{Method, Response, StatusCode};
use rstest::rstest;

const BODY_MAX_BYTES: u64 = 1_000;
const BODY_TIMEOUT: Duration = Duration::from_millis(200);
const WRITE_TIMEOUT: Duration = Duration::from_millis(200);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit for an operation over the loopback interface.
const WAIT_LIMIT: Duration = Duration::from_secs(5);

/// More than the socket buffers of both sides hold.
const LONG_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// Starts a server that responds with the length of the request body or with the reason why it
/// could not be read. For the path `/long` it responds with [`LONG_RESPONSE_BYTES`] bytes.
async fn start_server(connections_max: usize) -> SocketAddr {
    let limits = server::Limits {
        connections_max,
        body_max_bytes: BODY_MAX_BYTES,
        body_timeout: BODY_TIMEOUT,
        write_timeout: WRITE_TIMEOUT,
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let handler = |request: server::BufferedRequest| async move {
        let text = match &request.body {
            Ok(_) if request.head.url().path() == "/long" => "x".repeat(LONG_RESPONSE_BYTES),
            Ok(body) => format!("{} bytes", body.len()),
            Err(error) => error.to_string(),
        };
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(text);
        response
    };
    let clock = clock::Clock::system();
    task::spawn(server::serve(
        listener,
        clock,
        limits,
        Arc::default(),
        handler,
    ));
    address
}

/// Starts a peer that reads up to `read_bytes` of each request, writes `response` and closes the
/// connection. Returns its address and a counter of its connections.
async fn start_misbehaving_peer(
    read_bytes: usize,
    response: &'static str,
) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let connection_count = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&connection_count);
    task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            counter.fetch_add(1, Ordering::SeqCst);
            let mut read = vec![0; read_bytes];
            // Errors don't matter here: the tests check the client's view.
            let _ = stream.read(&mut read).await;
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    (address, connection_count)
}

fn new_client() -> client::HttpClient {
    client::HttpClient::new(clock::Clock::system(), Arc::new(meter::Meter::default()))
}

fn call(address: SocketAddr, path: &str, body: Vec<u8>) -> client::Call<'_> {
    client::Call {
        address,
        method: Method::Post,
        path,
        body,
        headers: Vec::new(),
        timeout: CALL_TIMEOUT,
    }
}

async fn post(address: SocketAddr, body: Vec<u8>) -> Result<String, client::ExchangeError> {
    let reply = new_client().send(call(address, "/", body)).await?;
    Ok(String::from_utf8_lossy(&reply.body).into_owned())
}

/// Sends `text` unchanged and reads until the server closes the connection or `limit` has passed.
async fn send_raw(address: SocketAddr, text: &str, limit: Duration) -> String {
    let mut stream = TcpStream::connect(address).await.expect("can connect");
    stream.write_all(text.as_bytes()).await.expect("can write");
    let mut response = Vec::new();
    // On a timeout, the caller checks what has arrived so far.
    let _ = async_std::future::timeout(limit, stream.read_to_end(&mut response)).await;
    String::from_utf8_lossy(&response).into_owned()
}

#[rstest]
#[case::at_the_limit(BODY_MAX_BYTES as usize, "1000 bytes")]
#[case::over_the_limit(BODY_MAX_BYTES as usize + 1, "the body is over the size limit")]
fn test_http_server_limits_a_body_of_declared_length(
    #[case] length: usize,
    #[case] expected: &str,
) {
    task::block_on(async {
        let address = start_server(10).await;

        assert_eq!(
            post(address, vec![b'x'; length]).await.as_deref(),
            Ok(expected)
        );
    });
}

#[rstest]
fn test_http_server_limits_a_chunked_body() {
    task::block_on(async {
        let address = start_server(10).await;
        let chunk = format!("200\r\n{}\r\n", "x".repeat(0x200));
        let head = "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";

        let response = send_raw(
            address,
            &format!("{head}{chunk}{chunk}0\r\n\r\n"),
            WAIT_LIMIT,
        )
        .await;

        assert!(
            response.contains("the body is over the size limit"),
            "{response}"
        );
    });
}

#[rstest]
#[case::stalled_body("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nxxx")]
#[case::stalled_chunk("POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n9\r\nxxx")]
fn test_http_server_times_out_a_stalled_body_and_closes(#[case] text: &str) {
    task::block_on(async {
        let address = start_server(10).await;
        let started = Instant::now();

        let response = send_raw(address, text, WAIT_LIMIT).await;

        assert!(
            response.contains("the body ended early or took too long"),
            "{response}"
        );
        assert!(started.elapsed() < WAIT_LIMIT, "the connection stayed open");
    });
}

#[rstest]
#[case::not_http("hello\r\n\r\n")]
#[case::two_lengths(
    "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\nx"
)]
#[case::bad_length("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: -1\r\n\r\nx")]
#[case::bad_chunk("POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n")]
#[case::binary("\u{1}\u{2}\u{0}\r\n\r\n")]
fn test_http_server_keeps_serving_after_a_malformed_request(#[case] text: &str) {
    task::block_on(async {
        let address = start_server(1).await;

        let response = send_raw(address, text, WAIT_LIMIT).await;

        assert!(
            !response.contains(" bytes"),
            "the malformed request was accepted: {response}"
        );
        assert_eq!(
            post(address, b"next".to_vec()).await.as_deref(),
            Ok("4 bytes")
        );
    });
}

#[rstest]
fn test_http_server_limits_its_connections_and_frees_their_slots() {
    task::block_on(async {
        let address = start_server(2).await;
        let idle = [
            TcpStream::connect(address).await,
            TcpStream::connect(address).await,
        ];

        let mut refused = TcpStream::connect(address).await.expect("can connect");
        let mut byte = [0];
        let read = async_std::future::timeout(WAIT_LIMIT, refused.read(&mut byte)).await;
        assert!(
            matches!(read, Ok(Ok(0) | Err(_))),
            "a connection above the limit was served: {read:?}"
        );

        drop(idle);
        let started = Instant::now();
        while post(address, Vec::new()).await.is_err() {
            assert!(started.elapsed() < WAIT_LIMIT, "no slot became free");
        }
    });
}

#[rstest]
fn test_http_server_serves_other_peers_during_slow_requests() {
    task::block_on(async {
        let address = start_server(100).await;
        let mut slow = Vec::new();
        for _ in 0..50 {
            let mut stream = TcpStream::connect(address).await.expect("can connect");
            stream.write_all(b"POST / HT").await.expect("can write");
            slow.push(stream);
        }

        assert_eq!(
            post(address, b"next".to_vec()).await.as_deref(),
            Ok("4 bytes")
        );
    });
}

#[rstest]
fn test_http_server_frees_the_slot_of_a_peer_that_does_not_read() {
    task::block_on(async {
        let address = start_server(1).await;
        let mut stalled = TcpStream::connect(address).await.expect("can connect");
        let request = b"GET /long HTTP/1.1\r\nhost: h\r\n\r\n";
        stalled.write_all(request).await.expect("can write");
        let mut first = [0];
        stalled
            .read_exact(&mut first)
            .await
            .expect("the response begins");

        let started = Instant::now();
        while post(address, Vec::new()).await.is_err() {
            assert!(started.elapsed() < WAIT_LIMIT, "no slot became free");
        }
    });
}

#[rstest]
fn test_http_client_refused_connection_is_not_sent() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        drop(listener);

        let error = post(address, b"x".to_vec())
            .await
            .expect_err("nobody listens");

        assert!(
            matches!(error, client::ExchangeError::NotSent { .. }),
            "{error}"
        );
    });
}

#[rstest]
#[case::closed_before_reading(0, "")]
#[case::closed_after_reading(8_192, "")]
#[case::truncated_head(8_192, "HTTP/1.1 200 OK\r\ncontent-le")]
#[case::truncated_body(8_192, "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf")]
#[case::truncated_between_chunks(
    8_192,
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n"
)]
#[case::no_length(8_192, "HTTP/1.1 200 OK\r\n\r\nhalf")]
#[case::not_http(8_192, "what?\r\n\r\n")]
fn test_http_client_incomplete_response_is_no_response(
    #[case] read_bytes: usize,
    #[case] response: &'static str,
) {
    task::block_on(async {
        let (address, connection_count) = start_misbehaving_peer(read_bytes, response).await;

        let error = post(address, b"x".to_vec())
            .await
            .expect_err("the response is incomplete");

        assert!(
            matches!(error, client::ExchangeError::NoResponse { .. }),
            "{error}"
        );
        assert_eq!(
            connection_count.load(Ordering::SeqCst),
            1,
            "the request was sent more than once"
        );
    });
}

#[rstest]
fn test_http_client_silent_peer_is_no_response_in_time() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let started = Instant::now();

        let error = post(address, b"x".to_vec())
            .await
            .expect_err("nobody answers");

        assert!(
            matches!(error, client::ExchangeError::NoResponse { .. }),
            "{error}"
        );
        assert!(started.elapsed() < CALL_TIMEOUT + WAIT_LIMIT);
    });
}

#[rstest]
fn test_http_client_does_not_use_an_idle_connection_that_was_closed() {
    task::block_on(async {
        let response = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        let (address, connection_count) = start_misbehaving_peer(8_192, response).await;
        let client = new_client();

        for _ in 0..3 {
            let reply = client.send(call(address, "/", Vec::new())).await;
            assert_eq!(reply.expect("a response").body, b"ok");
            // The peer closes the connection after each response; wait until the close has arrived.
            task::sleep(Duration::from_millis(50)).await;
        }

        assert_eq!(connection_count.load(Ordering::SeqCst), 3);
    });
}

#[rstest]
fn test_http_client_reuses_connections_and_counts_bytes() {
    task::block_on(async {
        let address = start_server(1).await;
        let meter = Arc::new(meter::Meter::default());
        let client = client::HttpClient::new(clock::Clock::system(), Arc::clone(&meter));

        // The server allows one connection, so the later calls succeed reliably only if they reuse
        // that of the first.
        for _ in 0..20 {
            let reply = client.send(call(address, "/", vec![b'x'; 100])).await;
            assert_eq!(reply.expect("a response").body, b"100 bytes");
        }

        assert!(meter.sent_bytes() > 20 * 100);
        assert!(meter.received_bytes() > 20 * 9);
    });
}

/// Guards against a response that is cut although its bytes keep arriving, by a limit for its
/// whole; and against one that holds its caller up for ever.
#[rstest]
#[case::arrives_without_a_pause(5, 5, true)]
#[case::stops(5, 2, false)]
#[case::trickles(100, 100, false)]
fn test_http_client_limits_the_silence_of_a_large_response_and_its_length(
    #[case] chunks: u64,
    #[case] chunks_sent: u64,
    #[case] is_received: bool,
) {
    /// Nine tenths of the maximum silence.
    const PAUSE: Duration = Duration::from_millis(900);
    const CHUNK: [u8; 1_000] = [b'x'; 1_000];
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let (next, chunk_due) = async_channel::unbounded();
        task::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let length = chunks * CHUNK.len() as u64;
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
            stream.write_all(head.as_bytes()).await.expect("can write");
            while chunk_due.recv().await.is_ok() {
                // The client may have given up.
                let _ = stream.write_all(&CHUNK).await;
            }
        });
        let (clock, time) = clock::Clock::manual(0);
        let progress = Arc::new(transfer::Progress::default());
        let of_call = Arc::clone(&progress);
        // Closed when the call has ended.
        let (ended, guard) = async_channel::bounded::<()>(1);
        let sending = task::spawn(async move {
            let _guard = guard;
            let client = client::HttpClient::new(clock, Arc::default());
            let call = client::Call {
                timeout: Duration::from_secs(1),
                ..call(address, "/", Vec::new())
            };
            client.send_recorded(call, &of_call).await
        });
        for chunk in 1..=chunks_sent {
            next.send(()).await.expect("a server");
            while progress.received_bytes() < chunk * CHUNK.len() as u64 && !ended.is_closed() {
                task::sleep(Duration::from_millis(1)).await;
            }
            time.advance(PAUSE);
        }
        time.advance(PAUSE);
        let received = async_std::future::timeout(WAIT_LIMIT, sending).await;
        assert_eq!(received.expect("an end of the call").is_ok(), is_received);
    });
}
