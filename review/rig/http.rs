//! A small HTTP/1.1 server and client on loopback addresses, with a thread for each connection.

use std::collections::BTreeMap;
use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub struct Request {
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

pub enum Reply {
    Body(u16, String),
    /// Closes the connection without an answer.
    Close,
}

/// The link of an entry host, over which the responses to it pass one after the other. Of each
/// connection at most a window is on its way.
pub struct Link {
    bytes_per_s: f64,
    window: usize,
    free_at: Mutex<Instant>,
}

impl Link {
    pub fn new(mbps: f64, window: usize) -> Link {
        Link {
            bytes_per_s: mbps * 125_000.0,
            window,
            free_at: Mutex::new(Instant::now()),
        }
    }

    fn pass(&self, bytes: usize) {
        let until = {
            let mut free_at = self.free_at.lock().unwrap();
            let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }
}

pub type Handler = dyn Fn(Request) -> Reply + Send + Sync;

pub fn serve(listener: TcpListener, handler: Arc<Handler>) {
    serve_over(listener, None, handler);
}

/// Serves callers whose responses pass over a link.
pub fn serve_over(listener: TcpListener, link: Option<Arc<Link>>, handler: Arc<Handler>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            let link = link.clone();
            thread::spawn(move || serve_connection(stream, link.as_deref(), &*handler));
        }
    });
}

fn serve_connection(stream: TcpStream, link: Option<&Link>, handler: &Handler) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (start, headers, body) = read_message(&mut reader)?;
        let mut words = start.split(' ');
        let target = words.nth(1)?;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = pairs
            .map(|(name, value)| (name.to_owned(), unescape(value)))
            .collect();
        let request = Request {
            path: path.to_owned(),
            query,
            headers,
            body,
        };
        match handler(request) {
            Reply::Body(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} S\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                let response = head + &body;
                let window = link.map_or(response.len(), |link| link.window);
                for part in response.as_bytes().chunks(window) {
                    if let Some(link) = link {
                        link.pass(part.len());
                    }
                    writer.write_all(part).ok()?;
                }
            }
            Reply::Close => return None,
        }
    }
}

type Message = (String, BTreeMap<String, String>, String);

fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut start = String::new();
    if reader.read_line(&mut start).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        match line.trim_end().split_once(':') {
            Some((name, value)) => {
                headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
            None => break,
        }
    }
    let mut body = Vec::new();
    match headers.get("content-length") {
        Some(length) => {
            body.resize(length.parse().ok()?, 0);
            reader.read_exact(&mut body).ok()?;
        }
        None if headers
            .get("transfer-encoding")
            .is_some_and(|value| value == "chunked") =>
        {
            loop {
                let mut line = String::new();
                reader.read_line(&mut line).ok()?;
                let length = usize::from_str_radix(line.trim(), 16).ok()?;
                let mut chunk = vec![0; length + 2];
                reader.read_exact(&mut chunk).ok()?;
                if length == 0 {
                    break;
                }
                body.extend_from_slice(&chunk[..length]);
            }
        }
        None => {}
    }
    Some((
        start.trim_end().to_owned(),
        headers,
        String::from_utf8(body).ok()?,
    ))
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'+' => bytes.push(b' '),
            b'%' => {
                let digits: Vec<u8> = rest.by_ref().take(2).collect();
                let digits = String::from_utf8(digits).unwrap_or_default();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            byte => bytes.push(byte),
        }
    }
    String::from_utf8(bytes).unwrap_or_default()
}

/// Sends one request on a new connection. Returns the status and the body, or `None` without a
/// complete response within `limit`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        head += "content-type: application/json\r\n";
    }
    head += &format!("content-length: {}\r\n\r\n{body}", body.len());
    writer.write_all(head.as_bytes()).ok()?;
    let (start, _, body) = read_message(&mut BufReader::new(stream))?;
    let status = start.split(' ').nth(1)?.parse().ok()?;
    Some((status, body))
}
