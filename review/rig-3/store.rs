//! The platform's store: rows with versions, conditional transactions and a feed.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::base64;
use crate::http::{Handler, Reply, Request};
use crate::json::{self, quote, Json};

/// Largest value of a row before it is encoded, `row_bytes` of the settings.
pub const ROW_BYTES: usize = 65_536;

/// Time that a transaction takes.
const TRANSACTION: Duration = Duration::from_millis(5);

type Key = (String, String, String);

#[derive(Clone)]
struct Row {
    version: u64,
    /// `None` once the row is removed.
    value: Option<String>,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<Key, Row>,
    version: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

fn row_text(key: &Key, row: &Row) -> String {
    let (table, part, name) = key;
    let value = match &row.value {
        Some(value) => format!("\"value\":{}", quote(&base64::encode(value))),
        None => "\"removed\":true".to_owned(),
    };
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},\"ver\":{},{value}}}",
        quote(table),
        quote(part),
        quote(name),
        row.version
    )
}

fn key_of(row: &Json) -> Key {
    let text = |name| row.get(name).text().to_owned();
    (text("table"), text("part"), text("key"))
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        })
    }

    pub fn handler(self: &Arc<Self>) -> Arc<Handler> {
        let store = Arc::clone(self);
        Arc::new(move |request| store.handle(request))
    }

    /// Writes a row as the operator or a backend server does; returns its version.
    pub fn put(&self, table: &str, key: &str, value: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let row = Row {
            version,
            value: Some(value.to_owned()),
        };
        state
            .rows
            .insert((table.to_owned(), String::new(), key.to_owned()), row);
        drop(state);
        self.changed.notify_all();
        version
    }

    /// Removes a row as the platform does; returns its version.
    pub fn remove(&self, table: &str, key: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let row = Row {
            version,
            value: None,
        };
        state
            .rows
            .insert((table.to_owned(), String::new(), key.to_owned()), row);
        drop(state);
        self.changed.notify_all();
        version
    }

    fn reply(&self, status: u16, rows: &[String], version: u64, has_more: bool) -> Reply {
        let now_ms = self.started.elapsed().as_millis();
        let rows = rows.join(",");
        Some((
            status,
            format!("{{\"rows\":[{rows}],\"ver\":{version},\"now_ms\":{now_ms},\"more_pages\":{has_more}}}"),
        ))
    }

    fn handle(&self, request: &Request) -> Reply {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/-/rows-get") => self.get(request),
            ("GET", "/-/rows-feed") => self.feed(request),
            ("POST", "/-/rows-tx") => self.transact(request),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn get(&self, request: &Request) -> Reply {
        std::thread::sleep(Duration::from_millis(2));
        let limit: usize = request.parameter("limit").parse().unwrap_or(500).min(500);
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let (from, to) = (request.parameter("from"), request.parameter("to"));
        let state = self.state.lock().unwrap();
        let start = (table.to_owned(), part.to_owned(), from.to_owned());
        let in_range = state.rows.range(start..).take_while(|((t, p, k), _)| {
            t == table && p == part && (to.is_empty() || k.as_str() < to)
        });
        let mut found = in_range.filter(|(_, row)| row.value.is_some());
        let (mut rows, mut bytes) = (Vec::new(), 0);
        while rows.len() < limit && bytes < 700_000 {
            let Some((key, row)) = found.next() else {
                break;
            };
            let text = row_text(key, row);
            bytes += text.len();
            rows.push(text);
        }
        let has_more = found.next().is_some();
        self.reply(200, &rows, state.version, has_more)
    }

    fn feed(&self, request: &Request) -> Reply {
        let number = |name| request.parameter(name).parse::<u64>().unwrap_or(0);
        let (table, after) = (request.parameter("table"), number("after"));
        let end = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let of_table = state
                .rows
                .iter()
                .filter(|((t, _, _), row)| t == table && row.version > after);
            let mut changed: Vec<_> = of_table.collect();
            changed.sort_by_key(|(_, row)| row.version);
            let rows: Vec<String> = changed
                .iter()
                .map(|(key, row)| row_text(key, row))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return self.reply(200, &rows, state.version, false);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, request: &Request) -> Reply {
        let Some(body) = json::parse(&request.body) else {
            return Some((400, "{}".to_owned()));
        };
        std::thread::sleep(TRANSACTION);
        let writes = body.get("writes").list();
        let is_large = |row: &Json| row.get("value").text().len() / 4 * 3 > ROW_BYTES;
        let is_foreign = |row: &Json| ["op", "servers"].contains(&row.get("table").text());
        if writes.iter().any(is_large) {
            return Some((400, "{\"error\":\"row_bytes\"}".to_owned()));
        }
        if writes.iter().any(is_foreign) {
            return Some((403, "{}".to_owned()));
        }
        let mut state = self.state.lock().unwrap();
        let expected = body.get("expected").list();
        let current = |row: &Json| {
            state
                .rows
                .get(&key_of(row))
                .filter(|row| row.value.is_some())
        };
        let is_met =
            |row: &Json| current(row).map_or(0, |row| row.version) == row.get("ver").number();
        if !expected.iter().all(is_met) {
            let rows = expected
                .iter()
                .filter_map(|row| Some(row_text(&key_of(row), current(row)?)));
            return self.reply(412, &rows.collect::<Vec<_>>(), state.version, false);
        }
        state.version += 1;
        let version = state.version;
        for row in writes {
            let value = base64::decode(row.get("value").text());
            state.rows.insert(key_of(row), Row { version, value });
        }
        for row in body.get("remove").list() {
            let row_before = state.rows.get_mut(&key_of(row));
            if let Some(row) = row_before.filter(|row| row.value.is_some()) {
                *row = Row {
                    version,
                    value: None,
                };
            }
        }
        drop(state);
        self.changed.notify_all();
        self.reply(200, &[], version, false)
    }
}
