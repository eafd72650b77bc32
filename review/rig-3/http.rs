//! An HTTP/1.1 server with a thread for each connection, and a client for single calls.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A request that has been received whole.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    /// By name in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

impl Request {
    pub fn parameter(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// A status and a body, or no response at all: then the connection is closed.
pub type Reply = Option<(u16, String)>;

pub type Handler = dyn Fn(&Request) -> Reply + Send + Sync;

/// A running server.
pub struct Server {
    address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Closes the listener and all connections, as the end of a process does.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        // Ends the wait for a connection.
        let _ = TcpStream::connect(self.address);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves `handler` on `listener` until the server is stopped, or for the life of the process.
pub fn serve(listener: TcpListener, handler: Arc<Handler>) -> Server {
    let server = Server {
        address: listener.local_addr().expect("a bound listener"),
        is_stopped: Arc::default(),
        streams: Arc::default(),
    };
    let (is_stopped, streams) = (Arc::clone(&server.is_stopped), Arc::clone(&server.streams));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if is_stopped.load(Ordering::SeqCst) {
                return;
            }
            streams.lock().unwrap().extend(stream.try_clone());
            let handler = Arc::clone(&handler);
            let is_stopped = Arc::clone(&is_stopped);
            std::thread::spawn(move || {
                let _ = serve_connection(stream, &*handler, &is_stopped);
            });
        }
    });
    server
}

fn invalid() -> std::io::Error {
    std::io::ErrorKind::InvalidData.into()
}

fn read_headers(reader: &mut impl BufRead) -> std::io::Result<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        match line.trim_end().split_once(':') {
            Some((name, value)) => {
                headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
            None => return Ok(headers),
        }
    }
}

fn read_body(
    reader: &mut impl BufRead,
    headers: &BTreeMap<String, String>,
) -> std::io::Result<String> {
    let mut body = Vec::new();
    if headers
        .get("transfer-encoding")
        .is_some_and(|coding| coding.contains("chunked"))
    {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| invalid())?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            body.extend(&chunk[..size]);
        }
    } else {
        let length = headers
            .get("content-length")
            .and_then(|length| length.parse().ok());
        body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut body)?;
    }
    String::from_utf8(body).map_err(|_| invalid())
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = bytes
            .get(at + 1..at + 3)
            .and_then(|code| std::str::from_utf8(code).ok());
        let code = code.and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
                continue;
            }
            (b'+', _) => decoded.push(b' '),
            (byte, _) => decoded.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn serve_connection(
    stream: TcpStream,
    handler: &Handler,
    is_stopped: &AtomicBool,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let mut words = line.split_whitespace();
        let (method, target) = (
            words.next().ok_or_else(invalid)?,
            words.next().ok_or_else(invalid)?,
        );
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (method, path) = (method.to_owned(), path.to_owned());
        let query = pairs
            .map(|(name, value)| (decode(name), decode(value)))
            .collect();
        let headers = read_headers(&mut reader)?;
        let body = read_body(&mut reader, &headers)?;
        let request = Request {
            method,
            path,
            query,
            headers,
            body,
        };
        if is_stopped.load(Ordering::SeqCst) {
            return Ok(());
        }
        let Some((status, body)) = handler(&request) else {
            return Ok(());
        };
        let reply = format!(
            "HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        writer.write_all(reply.as_bytes())?;
    }
}

/// Makes one call on a connection of its own. Returns the status and the body, or why there is no
/// whole response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Result<(u16, String), String> {
    exchange(address, method, path, headers, body, timeout).map_err(|error| error.to_string())
}

fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> std::io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut request = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line
        .split_whitespace()
        .nth(1)
        .and_then(|status| status.parse().ok());
    let status = status.ok_or_else(invalid)?;
    let headers = read_headers(&mut reader)?;
    Ok((status, read_body(&mut reader, &headers)?))
}
