//! The platform's metadata store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Link, Reply, Request};
use crate::json::{self, Json};

/// Largest value of a row in bytes: `row_bytes` in the settings.
pub const ROW_BYTES: usize = 65_536;

/// Time that a transaction takes: `tx_ms` in the settings.
const TRANSACTION_TIME: Duration = Duration::from_millis(5);

/// Largest number of rows in a response.
const PAGE_ROWS: usize = 500;

pub type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Key, (String, u64)>,
    changes: Vec<(u64, Key, Option<String>)>,
    refused_large_rows: u64,
}

pub struct Store {
    state: Mutex<Rows>,
    changed: Condvar,
    began: Instant,
}

fn row_json(key: &Key, value: Option<&str>, version: u64) -> String {
    let (table, part, name) = key;
    let value = match value {
        Some(value) => format!("\"value\":{}", json::quote(value)),
        None => "\"removed\":true".to_owned(),
    };
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},{value},\"ver\":{version}}}",
        json::quote(table),
        json::quote(part),
        json::quote(name)
    )
}

fn key_of(row: &Json) -> Key {
    let field = |name| row.get(name).text().to_owned();
    (field("table"), field("part"), field("key"))
}

impl Store {
    pub fn new() -> Arc<Store> {
        Arc::new(Store {
            state: Mutex::default(),
            changed: Condvar::new(),
            began: Instant::now(),
        })
    }

    /// Serves the store to an entry host, over its link if that is narrow.
    pub fn serve(self: &Arc<Store>, listener: TcpListener, link: Option<Arc<Link>>) {
        let store = Arc::clone(self);
        let handler = move |request| store.answer(&request);
        http::serve_over(listener, link, Arc::new(handler));
    }

    /// A write by the operator, or by a server.
    pub fn put(&self, table: &str, name: &str, value: &str) {
        let key = (table.to_owned(), String::new(), name.to_owned());
        self.write(
            &mut self.state.lock().unwrap(),
            vec![(key, Some(json::encode_base64(value.as_bytes())))],
        );
    }

    /// The text of a row that an entry host has written.
    pub fn text(&self, table: &str, part: &str, name: &str) -> Option<String> {
        let key = (table.to_owned(), part.to_owned(), name.to_owned());
        let state = self.state.lock().unwrap();
        let (value, _) = state.rows.get(&key)?;
        String::from_utf8(json::decode_base64(value)).ok()
    }

    /// Number of writes that were refused because a value was larger than `row_bytes`.
    pub fn refused_large_rows(&self) -> u64 {
        self.state.lock().unwrap().refused_large_rows
    }

    fn write(&self, state: &mut Rows, writes: Vec<(Key, Option<String>)>) {
        state.version += 1;
        let version = state.version;
        for (key, value) in writes {
            match &value {
                Some(value) => {
                    state.rows.insert(key.clone(), (value.clone(), version));
                }
                None => {
                    state.rows.remove(&key);
                }
            }
            state.changes.push((version, key, value));
        }
        self.changed.notify_all();
    }

    fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn answer(&self, request: &Request) -> Reply {
        let parameter = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        match request.path.as_str() {
            "/-/rows-get" => self.read(&parameter),
            "/-/rows-feed" => self.feed(&parameter),
            "/-/rows-tx" => match Json::parse(&request.body) {
                Some(body) => self.transact(&body),
                None => Reply::Body(400, "{}".to_owned()),
            },
            _ => Reply::Body(404, "{}".to_owned()),
        }
    }

    fn read(&self, parameter: &dyn Fn(&str) -> String) -> Reply {
        let (from, to) = (parameter("from"), parameter("to"));
        let limit = parameter("limit")
            .parse()
            .unwrap_or(PAGE_ROWS)
            .min(PAGE_ROWS);
        let (table, part) = (parameter("table"), parameter("part"));
        let state = self.state.lock().unwrap();
        let first = (table.clone(), part.clone(), from);
        let found = state.rows.range(first..).take_while(|((t, p, name), _)| {
            *t == table && *p == part && (to.is_empty() || *name < to)
        });
        let mut found = found.map(|(key, (value, version))| row_json(key, Some(value), *version));
        let rows: Vec<String> = found.by_ref().take(limit).collect();
        let has_more = found.next().is_some();
        Reply::Body(
            200,
            format!(
                "{{\"rows\":[{}],\"more_pages\":{has_more},\"ver\":{},\"now_ms\":{}}}",
                rows.join(","),
                state.version,
                self.now_ms()
            ),
        )
    }

    fn feed(&self, parameter: &dyn Fn(&str) -> String) -> Reply {
        let table = parameter("table");
        let after: u64 = parameter("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
        let until = Instant::now() + wait.min(Duration::from_secs(30));
        let mut state = self.state.lock().unwrap();
        loop {
            let begin = state
                .changes
                .partition_point(|(version, ..)| *version <= after);
            let changes = state.changes[begin..]
                .iter()
                .filter(|(_, key, _)| key.0 == table);
            let rows: Vec<String> = changes
                .map(|(version, key, value)| row_json(key, value.as_deref(), *version))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}",
                    rows.join(","),
                    state.version,
                    self.now_ms()
                );
                return Reply::Body(200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> Reply {
        thread::sleep(TRANSACTION_TIME);
        let mut state = self.state.lock().unwrap();
        let is_met = |row: &Json| {
            let version = state
                .rows
                .get(&key_of(row))
                .map_or(0, |(_, version)| *version);
            version == row.get("ver").number()
        };
        let expected = body.get("expected").list();
        if !expected.iter().all(is_met) {
            let rows: Vec<String> = expected
                .iter()
                .filter_map(|row| {
                    let key = key_of(row);
                    let (value, version) = state.rows.get(&key)?;
                    Some(row_json(&key, Some(value), *version))
                })
                .collect();
            let body = format!(
                "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}",
                rows.join(","),
                state.version,
                self.now_ms()
            );
            return Reply::Body(412, body);
        }
        let writes = body.get("writes").list();
        let is_large = |row: &Json| json::decode_base64(row.get("value").text()).len() > ROW_BYTES;
        if writes.iter().any(is_large) {
            state.refused_large_rows += 1;
            return Reply::Body(
                400,
                "{\"error\":\"the value is over row_bytes\"}".to_owned(),
            );
        }
        let written = writes
            .iter()
            .map(|row| (key_of(row), Some(row.get("value").text().to_owned())));
        let removed = body
            .get("remove")
            .list()
            .iter()
            .map(|row| (key_of(row), None));
        let changes = written.chain(removed).collect();
        self.write(&mut state, changes);
        let body = format!("{{\"ver\":{},\"now_ms\":{}}}", state.version, self.now_ms());
        Reply::Body(200, body)
    }
}
