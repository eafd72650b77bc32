//! A stand-in for the platform's store, as the users' page "The platform's metadata store"
//! describes it: rows in tables, transactions under conditions, and a change feed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::base64;
use crate::http::{lock, Request, Response, Server};
use crate::json::{self, Value};

/// `row_bytes` of the settings: the most bytes that a value may have before it is encoded.
pub const ROW_BYTES: usize = 65_536;

/// Most entries and bytes of one transaction.
const ENTRIES_MAX: usize = 100;
const TRANSACTION_BYTES_MAX: usize = 1_000_000;

/// Most rows in one response.
const PAGE_ROWS_MAX: usize = 500;

/// Time that an answer and, in addition, a transaction takes.
const ANSWER_TIME: Duration = Duration::from_millis(2);
const TRANSACTION_TIME: Duration = Duration::from_millis(5);

/// Table, part and key.
type Key = (String, String, String);

#[derive(Clone)]
struct Change {
    version: u64,
    key: Key,
    value: Option<String>,
}

#[derive(Default)]
struct State {
    version: u64,
    /// Values in base64, with the version of the row.
    rows: BTreeMap<Key, (String, u64)>,
    history: Vec<Change>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        })
    }

    pub fn serve(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<Server> {
        let store = Arc::clone(self);
        Server::start(address, Arc::new(move |request| store.answer(&request)))
    }

    /// Writes or removes a row of the operator or of a backend server.
    pub fn put(&self, table: &str, key: &str, value: Option<&Value>) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        let value = value.map(|value| base64::encode(value.to_string().as_bytes()));
        self.apply(&mut lock(&self.state), vec![(key, value)]);
        self.changed.notify_all();
    }

    /// The decoded value of a row.
    pub fn value(&self, table: &str, part: &str, key: &str) -> Option<Value> {
        let key = (table.to_owned(), part.to_owned(), key.to_owned());
        let state = lock(&self.state);
        let (value, _) = state.rows.get(&key)?;
        json::parse(&String::from_utf8(base64::decode(value)?).ok()?)
    }

    fn apply(&self, state: &mut State, changes: Vec<(Key, Option<String>)>) {
        state.version += 1;
        let version = state.version;
        for (key, value) in changes {
            match &value {
                Some(value) => state.rows.insert(key.clone(), (value.clone(), version)),
                None => state.rows.remove(&key),
            };
            state.history.push(Change {
                version,
                key,
                value,
            });
        }
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1_000
    }

    fn answer(&self, request: &Request) -> Response {
        thread::sleep(ANSWER_TIME);
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        match request.path.as_str() {
            "/-/rows-tx" => {
                thread::sleep(TRANSACTION_TIME);
                let body = String::from_utf8_lossy(&request.body).into_owned();
                match json::parse(&body) {
                    Some(transaction) if body.len() <= TRANSACTION_BYTES_MAX => {
                        self.transact(&transaction)
                    }
                    _ => Response::new(400, "{}"),
                }
            }
            "/-/rows-get" => {
                let range = [query("table"), query("part"), query("from"), query("to")];
                let limit = query("limit").parse().unwrap_or(PAGE_ROWS_MAX);
                self.rows(range, limit.min(PAGE_ROWS_MAX))
            }
            "/-/rows-feed" => {
                let after = query("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(query("wait_ms").parse().unwrap_or(0));
                self.feed(&query("table"), after, wait)
            }
            _ => Response::new(404, "{}"),
        }
    }

    fn transact(&self, transaction: &Value) -> Response {
        let key_of = |row: &Value| -> Key {
            let text = |name| row.text(name).to_owned();
            (text("table"), text("part"), text("key"))
        };
        let lists = ["expected", "writes", "remove"].map(|name| transaction.list(name));
        let keys: Vec<Key> = lists
            .iter()
            .flat_map(|list| list.iter().map(key_of))
            .collect();
        let is_forbidden = lists[1..]
            .iter()
            .flat_map(|list| list.iter())
            .any(|row| matches!(row.text("table"), "op" | "servers"));
        let has_one_part = keys.windows(2).all(|pair| pair[0].1 == pair[1].1);
        if is_forbidden {
            return Response::new(403, "{}");
        }
        if keys.len() > ENTRIES_MAX || !has_one_part {
            return Response::new(400, "{}");
        }
        let mut state = lock(&self.state);
        let is_too_large = |row: &Value| {
            let value = base64::decode(row.text("value"));
            value.is_none_or(|value| value.len() > ROW_BYTES)
        };
        if lists[1].iter().any(is_too_large) {
            return Response::new(400, "{}");
        }
        let version_of = |state: &State, key: &Key| state.rows.get(key).map_or(0, |row| row.1);
        let holds = lists[0]
            .iter()
            .all(|row| version_of(&state, &key_of(row)) == row.number("ver").unwrap_or(0));
        if !holds {
            let current = lists[0].iter().filter_map(|row| {
                let key = key_of(row);
                let (value, version) = state.rows.get(&key)?;
                Some(row_body(&key, Some(value), *version))
            });
            let rows = current.collect();
            return self.reply(412, &state, rows, false);
        }
        let writes = lists[1].iter();
        let writes = writes.map(|row| (key_of(row), Some(row.text("value").to_owned())));
        let removals = lists[2].iter().map(|row| (key_of(row), None));
        let changes = writes.chain(removals).collect();
        self.apply(&mut state, changes);
        self.changed.notify_all();
        self.reply(200, &state, Vec::new(), false)
    }

    fn rows(&self, [table, part, from, to]: [String; 4], limit: usize) -> Response {
        let state = lock(&self.state);
        let in_range = |key: &Key| {
            key.0 == table && key.1 == part && key.2 >= from && (to.is_empty() || key.2 < to)
        };
        let mut rows: Vec<Value> = Vec::new();
        let mut has_more = false;
        for (key, (value, version)) in state.rows.iter().filter(|(key, _)| in_range(key)) {
            if rows.len() == limit {
                has_more = true;
                break;
            }
            rows.push(row_body(key, Some(value), *version));
        }
        self.reply(200, &state, rows, has_more)
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> Response {
        let end = Instant::now() + wait;
        let mut state = lock(&self.state);
        loop {
            let newer = state
                .history
                .partition_point(|change| change.version <= after);
            let changes = state.history[newer..].iter();
            let changes = changes.filter(|change| change.key.0 == table);
            let rows: Vec<Value> = changes
                .map(|change| row_body(&change.key, change.value.as_ref(), change.version))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return self.reply(200, &state, rows, false);
            }
            state = self
                .changed
                .wait_timeout(state, left)
                .unwrap_or_else(std::sync::PoisonError::into_inner)
                .0;
        }
    }

    fn reply(&self, status: u16, state: &State, rows: Vec<Value>, has_more: bool) -> Response {
        let body = json::map([
            ("rows", rows.into()),
            ("more_pages", has_more.into()),
            ("ver", state.version.into()),
            ("now_ms", self.now_ms().into()),
        ]);
        Response::new(status, body)
    }
}

fn row_body((table, part, key): &Key, value: Option<&String>, version: u64) -> Value {
    let mut row = std::collections::BTreeMap::from([
        ("table".to_owned(), Value::from(table.as_str())),
        ("part".to_owned(), part.as_str().into()),
        ("key".to_owned(), key.as_str().into()),
        ("ver".to_owned(), version.into()),
    ]);
    match value {
        Some(value) => row.insert("value".to_owned(), value.as_str().into()),
        None => row.insert("removed".to_owned(), true.into()),
    };
    Value::Map(row)
}

/// The address of a port that is free at `ip`.
pub fn free_address(ip: std::net::IpAddr) -> SocketAddr {
    let listener = std::net::TcpListener::bind((ip, 0)).expect("a port is free");
    listener.local_addr().expect("the port is known")
}
