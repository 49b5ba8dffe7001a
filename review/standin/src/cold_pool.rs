//! A model pool whose runners start cold, and the loss of the store's history.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::client::Request;
use crate::http::Message;
use crate::record::Record;
use crate::site::Route;
use crate::site::config;
use crate::site::runner_entry;
use crate::store::Store;

/// How often a runner writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// How long the feed of the config tells nothing.
const HUSH: Duration = Duration::from_millis(1_000);
/// Pause of a client after a refusal.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// The answers of a run, by attempt id.
pub type Answers = Vec<(String, Option<Message>)>;

/// How often each request ran, by attempt id.
#[derive(Clone, Default)]
pub struct RunCounts(Arc<Mutex<BTreeMap<String, u32>>>);

impl RunCounts {
    /// Adds a run of a request.
    ///
    /// # Panics
    ///
    /// A thread that counted panicked.
    pub fn add(&self, id: &str) {
        let mut counts = self.0.lock().expect("unpoisoned");
        *counts.entry(id.to_string()).or_default() += 1;
    }

    /// How often a request ran.
    ///
    /// # Panics
    ///
    /// A thread that counted panicked.
    #[must_use]
    pub fn of(&self, id: &str) -> u32 {
        let counts = self.0.lock().expect("unpoisoned");
        counts.get(id).copied().unwrap_or(0)
    }
}

/// The feed of the config tells nothing while the config changes; then the history is
/// dropped.
pub fn forget_history(store: &Store, record: &Record) {
    record.note("the feed of the config tells nothing; the config changes");
    store.hush("op");
    thread::sleep(HUSH / 2);
    store.put("op", "config", &pool_config(8));
    thread::sleep(HUSH / 2);
    record.note("the store has forgotten its history");
    store.drop_history();
}

/// A config with a route of streams that may run once.
#[must_use]
pub fn pool_config(version: u64) -> String {
    let route = Route {
        name: "draft",
        kind: "streaming",
        backend: "pool",
        attempts: 1,
    };
    let text = config(version, &[route], "");
    text.replace(
        "\"max_conns\":360",
        "\"max_conns\":360,\"cold_s\":3.0,\"cold_per_s\":8.7",
    )
}

/// Writes the entry of a runner at once, and at each heartbeat from `phase` on.
pub fn keep_listed(store: &Store, name: String, address: SocketAddr, slots: u32, phase: Duration) {
    let store = store.clone();
    let write = move |calls| {
        let entry = runner_entry("pool", address, slots, calls);
        store.put("servers", &name, &entry);
    };
    write(1);
    thread::spawn(move || {
        thread::sleep(phase);
        for calls in 2.. {
            write(calls);
            thread::sleep(HEARTBEAT);
        }
    });
}

/// Sends requests, `open` of them at the same time, and returns their answers.
///
/// # Panics
///
/// A thread that sent requests panicked.
#[must_use]
pub fn send_requests(front: SocketAddr, name: &'static str, count: usize, open: usize) -> Answers {
    let threads = (0..open).map(|place| {
        thread::spawn(move || {
            let numbers = (place..count).step_by(open);
            let answers = numbers.map(|number| send_request(front, name, number));
            answers.collect::<Answers>()
        })
    });
    let threads: Vec<_> = threads.collect();
    let answers = threads.into_iter();
    answers
        .flat_map(|thread| thread.join().expect("answers"))
        .collect()
}

fn send_request(front: SocketAddr, name: &str, number: usize) -> (String, Option<Message>) {
    let id = format!("{name}-{number}");
    let fields = format!(
        "X-Model: m\r\nX-Token-Usage: 100,500\r\n\
         X-Prefix-Hash: {:x}:80,{:x}:20\r\n",
        0x5c1e_0000 + number,
        0xe440_0000 + number
    );
    let request = Request {
        line: "POST /draft/2f",
        id: &id,
        deadline_ms: 12_000,
        fields: &fields,
        body: b"prompt",
    };
    let answer = request.send(front);
    let status = answer.as_ref().map_or(0, |answer| answer.head.status());
    if status != 200 {
        thread::sleep(RETRY_PAUSE);
    }
    (id, answer)
}
