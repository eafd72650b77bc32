//! A fault-injecting proxy for one link between two processes.
//!
//! It forwards HTTP over TCP. Requests are gathered whole before they leave, so that a rule can
//! act on a chosen message: before the other side has it, or when the answer to it comes.

use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::future::{self, AbortHandle};

/// Bytes read at once.
const CHUNK_BYTES: usize = 64 * 1024;

/// Time between two looks at whether a frozen link thaws.
const FREEZE_POLL: Duration = Duration::from_millis(10);

/// What a link does with its traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Forwards everything.
    #[default]
    None,
    /// Closes open connections and refuses new ones.
    Cut,
    /// Holds everything back in both directions, connections stay open.
    Freeze,
    /// Forwards each message later by this time.
    Delay(Duration),
    /// Forwards requests and closes the connection in place of the answer.
    DropAnswers,
}

/// The moment of a message at which a rule acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum When {
    /// Before the request is forwarded.
    Request,
    /// After the other side has answered, before the answer is forwarded.
    Answer,
}

/// Acts once, on one message, which is then forwarded.
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

/// Acts once, on one message, which may be lost.
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

/// What a rule does, and what becomes of the message.
pub type Action = Box<dyn FnOnce() -> Delivery + Send>;

/// What becomes of a message after a rule has acted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It is forwarded, if the fault of the link allows.
    Forward,
    /// It is lost, and its connection closes.
    Lose,
}

/// A message that a watched text was found in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchedMessage {
    /// Name of the link.
    pub link: String,
    /// First line of the request.
    pub line: String,
}

/// Rules and watches that several links share.
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

    /// Adds a rule.
    pub fn add(&self, rule: impl Into<MessageRule>) {
        self.lock().rules.push(rule.into());
    }

    /// Drops all rules that have not acted, and says how many there were.
    pub fn clear(&self) -> usize {
        let mut state = self.lock();
        let count = state.rules.len();
        state.rules.clear();
        count
    }

    /// Collects from now on the messages that contain `text`.
    pub fn watch(&self, text: &str) {
        let mut state = self.lock();
        state.watched_text = Some(text.to_owned());
        state.watched_messages.clear();
    }

    /// The messages collected since the last [`Rules::watch`].
    pub fn watched_messages(&self) -> Vec<WatchedMessage> {
        self.lock().watched_messages.clone()
    }

    /// Notes a request; returns the rule that has its turn with it.
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

/// A running proxy.
#[derive(Clone)]
pub struct Proxy {
    shared: Arc<Shared>,
}

struct Shared {
    name: String,
    address: SocketAddr,
    rules: Rules,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    upstream: Option<SocketAddr>,
    fault: Fault,
    open_streams: Vec<TcpStream>,
    accept_task: Option<AbortHandle>,
}

impl Proxy {
    /// Starts a proxy on a free port; it refuses connections until it has an upstream.
    ///
    /// # Errors
    ///
    /// Fails if no port can be listened on.
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

    /// Closes the link for good.
    pub fn close(&self) {
        self.set_fault(Fault::Cut);
        if let Some(handle) = self.lock().accept_task.take() {
            handle.abort();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = &self.shared.state;
        state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Where new connections are forwarded to.
    pub fn upstream(&self) -> Option<SocketAddr> {
        self.lock().upstream
    }

    /// Forwards new connections to `upstream`.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        self.lock().upstream = Some(upstream);
    }

    /// Sets what the link does with its traffic from now on.
    pub fn set_fault(&self, fault: Fault) {
        let mut state = self.lock();
        state.fault = fault;
        if fault == Fault::Cut {
            for stream in state.open_streams.drain(..) {
                // A connection that is closed already needs no closing.
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// What the link does with its traffic.
    pub fn fault(&self) -> Fault {
        self.lock().fault
    }

    async fn apply_delay(&self) {
        if let Fault::Delay(time) = self.fault() {
            task::sleep(time).await;
        }
        while self.fault() == Fault::Freeze {
            task::sleep(FREEZE_POLL).await;
        }
    }

    async fn connect(&self) -> Option<TcpStream> {
        self.apply_delay().await;
        let upstream = match (self.fault(), self.lock().upstream) {
            (Fault::Cut, _) | (_, None) => return None,
            (_, Some(upstream)) => upstream,
        };
        TcpStream::connect(upstream).await.ok()
    }

    /// Keeps both ends of a connection for a cut, unless the link is cut already.
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
        // Whichever direction ends, by an error or not, ends the connection.
        future::select(Box::pin(requests), Box::pin(answers)).await;
    }
    close(&downstream);
    close(&upstream);
}

fn close(stream: &TcpStream) {
    // A connection that is closed already needs no closing.
    let _ = stream.shutdown(Shutdown::Both);
}

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
        while let Some(message_bytes) = complete_message_bytes(&buffer) {
            let message: Vec<u8> = buffer.drain(..message_bytes).collect();
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
            proxy.apply_delay().await;
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
        proxy.apply_delay().await;
        match proxy.fault() {
            _ if length == 0 || delivery == Delivery::Lose => return Ok(()),
            Fault::DropAnswers => return Ok(()),
            _ => downstream.write_all(&chunk[..length]).await?,
        }
    }
}

/// Length of the message at the start of `buffer`, once it is whole.
///
/// Without a stated length, as in chunked bodies, what has come counts as a message.
fn complete_message_bytes(buffer: &[u8]) -> Option<usize> {
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
    let message_bytes = head_bytes + body_bytes;
    (buffer.len() >= message_bytes).then_some(message_bytes)
}
