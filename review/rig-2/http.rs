//! A small HTTP/1.1 server with a thread for each connection, and a client for single calls.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    /// Names in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

pub struct Response {
    pub status: u16,
    pub body: String,
}

impl Response {
    pub fn new(status: u16, body: impl ToString) -> Self {
        Self {
            status,
            body: body.to_string(),
        }
    }
}

pub type Handler = Arc<dyn Fn(Request) -> Response + Send + Sync>;

/// A server that can be stopped as by a crash: its port closes and its connections end.
pub struct Server {
    address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    accepting: thread::JoinHandle<()>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Handler) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let is_stopped = Arc::new(AtomicBool::new(false));
        let connections = Arc::new(Mutex::new(Vec::new()));
        let accepting = {
            let (is_stopped, connections) = (Arc::clone(&is_stopped), Arc::clone(&connections));
            spawn(move || accept(&listener, &is_stopped, &connections, &handler))
        };
        Ok(Self {
            address,
            is_stopped,
            connections,
            accepting,
        })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn stop(self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts.
        let _ = TcpStream::connect(self.address);
        let _ = self.accepting.join();
        for connection in lock(&self.connections).drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }
}

pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Starts a thread with a small stack, as there may be hundreds.
pub fn spawn(work: impl FnOnce() + Send + 'static) -> thread::JoinHandle<()> {
    let builder = thread::Builder::new().stack_size(256 * 1024);
    builder.spawn(work).expect("a thread can be started")
}

fn accept(
    listener: &TcpListener,
    is_stopped: &Arc<AtomicBool>,
    connections: &Arc<Mutex<Vec<TcpStream>>>,
    handler: &Handler,
) {
    for stream in listener.incoming() {
        if is_stopped.load(Ordering::SeqCst) {
            return;
        }
        let Ok(stream) = stream else { continue };
        let _ = stream.set_nodelay(true);
        if let Ok(clone) = stream.try_clone() {
            lock(connections).push(clone);
        }
        let (handler, is_stopped) = (Arc::clone(handler), Arc::clone(is_stopped));
        spawn(move || {
            let mut reader = BufReader::new(stream);
            while let Some(request) = read_request(&mut reader) {
                let response = handler(request);
                if is_stopped.load(Ordering::SeqCst) || write(&mut reader, &response).is_none() {
                    return;
                }
            }
        });
    }
}

fn read_headers(reader: &mut impl BufRead) -> Option<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end() {
            "" => return Some((first, headers)),
            line => {
                let (name, value) = line.split_once(':')?;
                headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &BTreeMap<String, String>) -> Option<Vec<u8>> {
    if headers.get("transfer-encoding").map(String::as_str) == Some("chunked") {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let length = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk).ok()?;
            if length == 0 {
                return Some(body);
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }
    let length = headers.get("content-length");
    let mut body = vec![0; length.map_or(Some(0), |length| length.parse().ok())?];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_headers(reader)?;
    let mut words = first.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (name.to_owned(), percent_decoded(value)));
    let (path, query) = (path.to_owned(), query.collect());
    let body = read_body(reader, &headers)?;
    Some(Request {
        method,
        path,
        query,
        headers,
        body,
    })
}

fn percent_decoded(text: &str) -> String {
    let (bytes, mut decoded, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let digits = text.get(at + 1..at + 3);
        match (
            bytes[at],
            digits.map(|digits| u8::from_str_radix(digits, 16)),
        ) {
            (b'%', Some(Ok(byte))) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(if byte == b'+' { b' ' } else { byte });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn write(reader: &mut BufReader<TcpStream>, response: &Response) -> Option<()> {
    let text = format!(
        "HTTP/1.1 {} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{}",
        response.status,
        response.body.len(),
        response.body
    );
    reader.get_mut().write_all(text.as_bytes()).ok()
}

/// Makes one call on a connection of its own. Returns the status and the body of the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Result<(u16, String), String> {
    let reason = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect_timeout(&address, timeout).map_err(reason)?;
    stream.set_read_timeout(Some(timeout)).map_err(reason)?;
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n",
        body.len()
    );
    if !headers.iter().any(|(name, _)| *name == "host") {
        text.push_str(&format!("host: {address}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("connection: close\r\n\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes()).map_err(reason)?;
    let mut reader = BufReader::new(stream);
    let response = read_headers(&mut reader).and_then(|(first, headers)| {
        let status = first.split_whitespace().nth(1)?.parse().ok()?;
        let body = read_body(&mut reader, &headers)?;
        Some((status, String::from_utf8_lossy(&body).into_owned()))
    });
    response.ok_or_else(|| "no complete response".to_owned())
}
