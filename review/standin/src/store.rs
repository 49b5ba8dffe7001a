//! The platform's store: versioned rows, conditional writes and a feed of changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::base64::encode;
use crate::http::Connection;
use crate::http::Message;
use crate::http::message;
use crate::http::serve;
use crate::json::Json;

/// Time that each answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Tables that only the operator and the runners write.
const PLATFORM_TABLES: [&str; 2] = ["op", "servers"];

/// Table, part and key of a row.
type RowName = (String, String, String);

#[derive(Clone, Debug)]
struct Row {
    version: u64,
    /// The value as base64; `None` if the row was deleted.
    value: Option<String>,
}

struct StoreState {
    version: u64,
    rows: BTreeMap<RowName, Row>,
    /// Version from which on changes are kept.
    history_from: u64,
    /// Table whose feed tells nothing for now.
    hushed: Option<&'static str>,
}

/// A handle to the store, or to a view of it.
#[derive(Clone)]
pub struct Store {
    /// Address of the store.
    pub address: SocketAddr,
    shared: Arc<(Mutex<StoreState>, Condvar)>,
    started_at: Instant,
    /// Values that replace those of the entries of runners, by key: an instance that
    /// reaches a runner over a link sees the link's address.
    shown: Arc<BTreeMap<String, String>>,
}

impl Store {
    /// Starts an empty store.
    ///
    /// # Panics
    ///
    /// No port is free.
    #[must_use]
    pub fn start() -> Self {
        let state = StoreState {
            version: 1,
            rows: BTreeMap::new(),
            history_from: 0,
            hushed: None,
        };
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("an address"),
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            started_at: Instant::now(),
            shown: Arc::default(),
        };
        store.clone().listen(listener);
        store
    }

    /// Another address of the store, at which these entries of runners are shown.
    ///
    /// # Panics
    ///
    /// No port is free.
    #[must_use]
    pub fn view(&self, entries: Vec<(String, String)>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let entries = entries.into_iter();
        let encoded = entries.map(|(key, text)| (key, encode(text.as_bytes())));
        let view = Self {
            address: listener.local_addr().expect("an address"),
            shown: Arc::new(encoded.collect()),
            ..self.clone()
        };
        view.clone().listen(listener);
        view
    }

    /// Writes a row as the operator or a runner.
    pub fn put(&self, table: &str, key: &str, text: &str) {
        let mut state = self.lock();
        state.version += 1;
        let row = Row {
            version: state.version,
            value: Some(encode(text.as_bytes())),
        };
        let name = (table.to_string(), String::new(), key.to_string());
        state.rows.insert(name, row);
        self.shared.1.notify_all();
    }

    /// Removes a row as the operator, or as the platform after a runner's silence.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.lock();
        state.version += 1;
        let row = Row {
            version: state.version,
            value: None,
        };
        let name = (table.to_string(), String::new(), key.to_string());
        state.rows.insert(name, row);
        self.shared.1.notify_all();
    }

    /// Number of rows of a table.
    #[must_use]
    pub fn count(&self, table: &str) -> usize {
        let state = self.lock();
        state
            .rows
            .keys()
            .filter(|(other, ..)| other == table)
            .count()
    }

    /// The feed of a table tells nothing until [`drop_history`](Self::drop_history).
    pub fn hush(&self, table: &'static str) {
        self.lock().hushed = Some(table);
    }

    /// Forgets all changes until now, and ends the silence of a feed.
    pub fn drop_history(&self) {
        let mut state = self.lock();
        state.hushed = None;
        state.history_from = state.version;
        self.shared.1.notify_all();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, StoreState> {
        self.shared.0.lock().expect("unpoisoned")
    }

    fn listen(self, listener: TcpListener) {
        serve(listener, move |mut connection| self.serve(&mut connection));
    }

    fn serve(&self, connection: &mut Connection) {
        while let Some(request) = connection.read_request() {
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request);
            let line = format!("HTTP/1.1 {status} S");
            let fields = [("Content-Type", "application/json")];
            if connection
                .send(&message(&line, &fields, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let query = Query::parse(request.head.target());
        match request.head.path() {
            "/rows-get" => (200, self.read(&query)),
            "/rows-feed" => self.feed(&query),
            "/rows-parts" => (200, self.parts(&query)),
            "/rows-tx" => self.write(&request.body),
            _ => (404, String::new()),
        }
    }

    fn read(&self, query: &Query) -> String {
        let state = self.lock();
        let (table, part, from) = (query.get("table"), query.get("part"), query.get("from"));
        let to = query.get("to");
        let limit = query.get("limit").parse().unwrap_or(500).min(500);
        let found = state
            .rows
            .iter()
            .filter(|((row_table, row_part, key), row)| {
                let is_in_range = *key >= from && (to.is_empty() || *key < to);
                *row_table == table && *row_part == part && is_in_range && row.value.is_some()
            });
        let mut found: Vec<String> = found
            .take(limit + 1)
            .map(|(name, row)| self.show(name, row))
            .collect();
        let has_more = found.len() > limit;
        found.truncate(limit);
        self.body(&state, &found, has_more)
    }

    fn parts(&self, query: &Query) -> String {
        let table = query.get("table");
        let state = self.lock();
        let names = state.rows.keys().filter(|(other, ..)| *other == table);
        let mut parts: Vec<String> = names.map(|(_, part, _)| format!("\"{part}\"")).collect();
        parts.dedup();
        format!("{{\"parts\":[{}],\"has_more\":false}}", parts.join(","))
    }

    fn feed(&self, query: &Query) -> (u16, String) {
        let table = query.get("table");
        let since: u64 = query.get("since_rev").parse().unwrap_or(0);
        let wait = Duration::from_millis(query.get("wait_ms").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let is_hushed = state.hushed.is_some_and(|hushed| hushed == table);
            if since < state.history_from {
                return (410, String::new());
            }
            let mut changed: Vec<(&RowName, &Row)> = state
                .rows
                .iter()
                .filter(|((other, ..), row)| *other == table && row.version > since)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if is_hushed || (changed.is_empty() && !left.is_zero()) {
                let pause = if is_hushed {
                    wait.max(ANSWER_TIME)
                } else {
                    left
                };
                state = self
                    .shared
                    .1
                    .wait_timeout(state, pause)
                    .expect("unpoisoned")
                    .0;
                continue;
            }
            changed.sort_by_key(|(_, row)| row.version);
            let rows: Vec<String> = changed
                .into_iter()
                .map(|(name, row)| self.show(name, row))
                .collect();
            return (200, self.body(&state, &rows, false));
        }
    }

    fn write(&self, body: &[u8]) -> (u16, String) {
        let Some(entries) = Json::parse(&String::from_utf8_lossy(body)) else {
            return (400, String::new());
        };
        let mut state = self.lock();
        let is_platform = |entry: &Json| PLATFORM_TABLES.contains(&entry.text("table"));
        if entries.list("write").iter().any(is_platform) {
            return (403, String::new());
        }
        let expected = entries.list("expected_rev");
        let holds = expected.iter().all(|entry| {
            let current = state.rows.get(&row_name(entry));
            let current = current.filter(|row| row.value.is_some());
            entry.number("schema_version") == Some(current.map_or(0, |row| row.version))
        });
        if !holds {
            let current = expected.iter().filter_map(|entry| {
                let name = row_name(entry);
                let row = state.rows.get(&name).filter(|row| row.value.is_some())?;
                Some(self.show(&name, row))
            });
            let current: Vec<String> = current.collect();
            return (412, self.body(&state, &current, false));
        }
        state.version += 1;
        let version = state.version;
        let written = entries.list("write").iter();
        let written = written.map(|entry| (entry, Some(entry.text("value").to_string())));
        let deleted = entries.list("delete").iter().map(|entry| (entry, None));
        for (entry, value) in written.chain(deleted) {
            state.rows.insert(row_name(entry), Row { version, value });
        }
        self.shared.1.notify_all();
        (200, self.body(&state, &[], false))
    }

    fn show(&self, name: &RowName, row: &Row) -> String {
        let (table, part, key) = name;
        let shown = self.shown.get(key).filter(|_| table == "servers");
        let value = row.value.as_ref().map(|value| shown.unwrap_or(value));
        format!(
            "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\
             \"value\":\"{}\",\"schema_version\":{},\"deleted\":{}}}",
            value.map_or("", String::as_str),
            row.version,
            value.is_none()
        )
    }

    fn body(&self, state: &StoreState, rows: &[String], has_more: bool) -> String {
        format!(
            "{{\"rows\":[{}],\"has_more\":{has_more},\"schema_version\":{},\"now_ms\":{}}}",
            rows.join(","),
            state.version,
            self.started_at.elapsed().as_millis()
        )
    }
}

fn row_name(entry: &Json) -> RowName {
    let text = |name: &str| entry.text(name).to_string();
    (text("table"), text("part"), text("key"))
}

/// The parameters of a request's target.
struct Query(Vec<(String, String)>);

impl Query {
    fn parse(target: &str) -> Self {
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let decoded = pairs.map(|(name, value)| (name.to_string(), percent_decode(value)));
        Self(decoded.collect())
    }

    fn get(&self, name: &str) -> String {
        let found = self.0.iter().find(|(other, _)| other == name);
        found.map_or(String::new(), |(_, value)| value.clone())
    }
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((byte, after)) = rest.split_first() {
        let code = after.get(..2).filter(|_| *byte == b'%');
        let code = code.and_then(|digits| std::str::from_utf8(digits).ok());
        match code.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(code) => {
                bytes.push(code);
                rest = &after[2..];
            }
            None => {
                bytes.push(*byte);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
