//! Fault-injecting proxy for one link between two processes.
//!
//! It forwards HTTP over TCP. It buffers each request until it is complete, so that a rule can act
//! on a chosen message: before the request is forwarded, or when its response arrives.

use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::future::{self, AbortHandle};

/// Size of the buffer for one read.
const CHUNK_BYTES: usize = 64 * 1024;

/// Interval at which a frozen link checks whether it still is frozen.
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Fault of a link: how it treats its traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Forwards all traffic.
    #[default]
    None,
    /// Closes open connections, and new ones as soon as they are accepted.
    Cut,
    /// Holds back all traffic in both directions and keeps connections open.
    Freeze,
    /// Delays each message by this duration.
    Delay(Duration),
    /// Forwards requests, but closes the connection instead of forwarding the response.
    DropAnswers,
}

/// Point in an exchange at which a rule acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum When {
    /// Before the request is forwarded.
    Request,
    /// After the first bytes of the response have arrived, before they are forwarded.
    Answer,
}

/// Rule that acts once, on one message, and always forwards it.
pub struct Rule {
    /// The message contains all of these.
    pub contains: Vec<String>,
    /// Matching messages to let pass first.
    pub skip_count: usize,
    /// When it acts.
    pub when: When,
    /// What it does; the message waits for it.
    pub action: Box<dyn FnOnce() + Send>,
}

/// Rule that acts once, on one message, and may drop it.
pub struct MessageRule {
    /// The message contains all of these.
    pub contains: Vec<String>,
    /// The message contains none of these.
    pub lacks: Vec<String>,
    /// Matching messages to let pass first.
    pub skip_count: usize,
    /// When it acts.
    pub when: When,
    /// What it does; the message waits for it.
    pub action: Action,
}

impl MessageRule {
    fn matches(&self, text: &str) -> bool {
        let has = |part: &String| text.contains(part.as_str());
        self.contains.iter().all(has) && !self.lacks.iter().any(has)
    }
}

impl From<Rule> for MessageRule {
    fn from(rule: Rule) -> Self {
        let action = rule.action;
        Self {
            contains: rule.contains,
            lacks: Vec::new(),
            skip_count: rule.skip_count,
            when: rule.when,
            action: Box::new(move || {
                action();
                Delivery::Forward
            }),
        }
    }
}

/// Action of a rule. Returns whether the message is forwarded.
pub type Action = Box<dyn FnOnce() -> Delivery + Send>;

/// What happens to a message after the action of a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Forward the message, unless the fault of the link prevents it.
    Forward,
    /// Drop the message and close its connection.
    Lose,
}

/// A request that contains the watched text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchedMessage {
    /// Name of the link.
    pub link: String,
    /// First line of the request.
    pub line: String,
}

/// Rules that several links share, and the record of watched messages.
#[derive(Clone, Default)]
pub struct Rules {
    shared: Arc<Mutex<RulesState>>,
}

#[derive(Default)]
struct RulesState {
    rules: Vec<MessageRule>,
    watched_text: Option<String>,
    watched_messages: Vec<WatchedMessage>,
}

impl Rules {
    fn lock(&self) -> MutexGuard<'_, RulesState> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn add(&self, rule: impl Into<MessageRule>) {
        self.lock().rules.push(rule.into());
    }

    /// Removes all rules that have not acted yet, and returns how many there were.
    pub fn clear(&self) -> usize {
        let mut state = self.lock();
        let count = state.rules.len();
        state.rules.clear();
        count
    }

    /// Starts to record the requests that contain `text`, and discards those recorded before.
    pub fn watch(&self, text: &str) {
        let mut state = self.lock();
        state.watched_text = Some(text.to_owned());
        state.watched_messages.clear();
    }

    /// Returns the requests recorded since the last call of [`Rules::watch`].
    pub fn watched_messages(&self) -> Vec<WatchedMessage> {
        self.lock().watched_messages.clone()
    }

    /// Records a watched request, counts it for all rules that match, and removes and returns the
    /// rule that acts on it.
    fn take_due_rule(&self, link: &str, message: &[u8]) -> Option<MessageRule> {
        let text = String::from_utf8_lossy(message);
        let mut state = self.lock();
        if state
            .watched_text
            .as_ref()
            .is_some_and(|watched| text.contains(watched.as_str()))
        {
            let line = text.lines().next().unwrap_or_default().to_owned();
            let link = link.to_owned();
            state.watched_messages.push(WatchedMessage { link, line });
        }
        let mut due = None;
        for (index, rule) in state.rules.iter_mut().enumerate() {
            match rule.matches(&text) {
                true if rule.skip_count == 0 && due.is_none() => due = Some(index),
                true => rule.skip_count = rule.skip_count.saturating_sub(1),
                false => {}
            }
        }
        due.map(|index| state.rules.remove(index))
    }
}

/// A running proxy. Clones share their state.
#[derive(Clone)]
pub struct Proxy {
    shared: Arc<Shared>,
}

struct Shared {
    name: String,
    address: SocketAddr,
    rules: Rules,
    state: Mutex<LinkState>,
}

#[derive(Default)]
struct LinkState {
    upstream: Option<SocketAddr>,
    fault: Fault,
    open_streams: Vec<TcpStream>,
    accept_task: Option<AbortHandle>,
}

impl Proxy {
    /// Starts a proxy on a free port. It closes connections at once until its upstream is set.
    ///
    /// # Errors
    ///
    /// Fails if the proxy can't listen.
    pub async fn start(name: &str, rules: Rules) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Self {
            shared: Arc::new(Shared {
                name: name.to_owned(),
                address: listener.local_addr()?,
                rules,
                state: Mutex::default(),
            }),
        };
        let (accept_task, handle) = future::abortable(accept(proxy.clone(), listener));
        proxy.lock().accept_task = Some(handle);
        task::spawn(accept_task);
        Ok(proxy)
    }

    /// Closes all connections and stops accepting new ones for good.
    pub fn close(&self) {
        self.set_fault(Fault::Cut);
        if let Some(handle) = self.lock().accept_task.take() {
            handle.abort();
        }
    }

    fn lock(&self) -> MutexGuard<'_, LinkState> {
        let state = &self.shared.state;
        state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns the address to which new connections are forwarded.
    pub fn upstream(&self) -> Option<SocketAddr> {
        self.lock().upstream
    }

    /// Sets the address to which new connections are forwarded.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        self.lock().upstream = Some(upstream);
    }

    /// Sets the fault of the link. [`Fault::Cut`] also closes all open connections.
    pub fn set_fault(&self, fault: Fault) {
        let mut state = self.lock();
        state.fault = fault;
        if fault == Fault::Cut {
            for stream in state.open_streams.drain(..) {
                // Fails only if the connection is closed already.
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Returns the current fault of the link.
    pub fn fault(&self) -> Fault {
        self.lock().fault
    }

    /// Waits for the delay of the link, and as long as the link is frozen.
    async fn hold_back(&self) {
        if let Fault::Delay(time) = self.fault() {
            task::sleep(time).await;
        }
        while self.fault() == Fault::Freeze {
            task::sleep(FREEZE_POLL_INTERVAL).await;
        }
    }

    async fn connect(&self) -> Option<TcpStream> {
        self.hold_back().await;
        let upstream = match (self.fault(), self.lock().upstream) {
            (Fault::Cut, _) | (_, None) => return None,
            (_, Some(upstream)) => upstream,
        };
        TcpStream::connect(upstream).await.ok()
    }

    /// Records both ends of a connection, so that a cut can close them. Returns whether the link
    /// may forward, which is false if it is cut already.
    fn track(&self, streams: [&TcpStream; 2]) -> bool {
        let mut state = self.lock();
        state
            .open_streams
            .retain(|stream| stream.peer_addr().is_ok());
        state.open_streams.extend(streams.into_iter().cloned());
        state.fault != Fault::Cut
    }
}

async fn accept(proxy: Proxy, listener: TcpListener) {
    while let Ok((downstream, _)) = listener.accept().await {
        task::spawn(serve(proxy.clone(), downstream));
    }
}

async fn serve(proxy: Proxy, downstream: TcpStream) {
    let Some(upstream) = proxy.connect().await else {
        return close(&downstream);
    };
    if proxy.track([&downstream, &upstream])
        && downstream
            .set_nodelay(true)
            .and(upstream.set_nodelay(true))
            .is_ok()
    {
        let answer_rule = Mutex::new(None);
        let requests = forward_requests(&proxy, &downstream, &upstream, &answer_rule);
        let answers = forward_answers(&proxy, &upstream, &downstream, &answer_rule);
        // The connection ends as soon as one direction ends, with or without an error.
        future::select(Box::pin(requests), Box::pin(answers)).await;
    }
    close(&downstream);
    close(&upstream);
}

fn close(stream: &TcpStream) {
    // Fails only if the connection is closed already.
    let _ = stream.shutdown(Shutdown::Both);
}

/// Rule that acts on the next response, if there is one.
type AnswerRule = Mutex<Option<MessageRule>>;

async fn forward_requests(
    proxy: &Proxy,
    mut downstream: &TcpStream,
    mut upstream: &TcpStream,
    answer_rule: &AnswerRule,
) -> std::io::Result<()> {
    let mut buffer = Vec::new();
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let length = downstream.read(&mut chunk).await?;
        if length == 0 {
            return Ok(());
        }
        buffer.extend_from_slice(&chunk[..length]);
        while let Some(message_length) = complete_message_length(&buffer) {
            let message: Vec<u8> = buffer.drain(..message_length).collect();
            match proxy
                .shared
                .rules
                .take_due_rule(&proxy.shared.name, &message)
            {
                Some(rule) if rule.when == When::Request => match (rule.action)() {
                    Delivery::Forward => {}
                    Delivery::Lose => return Ok(()),
                },
                rule => *answer_rule.lock().unwrap_or_else(PoisonError::into_inner) = rule,
            }
            proxy.hold_back().await;
            upstream.write_all(&message).await?;
        }
    }
}

async fn forward_answers(
    proxy: &Proxy,
    mut upstream: &TcpStream,
    mut downstream: &TcpStream,
    answer_rule: &AnswerRule,
) -> std::io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let length = upstream.read(&mut chunk).await?;
        let rule = answer_rule
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let delivery = rule.map_or(Delivery::Forward, |rule| (rule.action)());
        proxy.hold_back().await;
        match proxy.fault() {
            _ if length == 0 || delivery == Delivery::Lose => return Ok(()),
            Fault::DropAnswers => return Ok(()),
            _ => downstream.write_all(&chunk[..length]).await?,
        }
    }
}

/// Returns the length of the message at the start of `buffer`, or `None` if it is not complete.
///
/// The end of a chunked body is not looked for: all bytes received so far count as one message.
fn complete_message_length(buffer: &[u8]) -> Option<usize> {
    if buffer.is_empty() {
        return None;
    }
    let head_bytes = buffer.windows(4).position(|end| end == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buffer[..head_bytes]).to_lowercase();
    let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
    let body_bytes = match header("content-length:") {
        Some(value) => value.trim().parse().unwrap_or(0),
        None if header("transfer-encoding:").is_some() => buffer.len() - head_bytes,
        None => 0,
    };
    let message_length = head_bytes + body_bytes;
    (buffer.len() >= message_length).then_some(message_length)
}
