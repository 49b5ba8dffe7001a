//! The store forgets its history, so a machine asks its runners how they are. They are
//! full and reject the question, like any other request. A faulty runner rejects it a
//! second time, late: where the answer to the next request is expected.

use std::io;
use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use review_standin::cold_pool::Answers;
use review_standin::cold_pool::RunCounts;
use review_standin::cold_pool::forget_history;
use review_standin::cold_pool::keep_listed;
use review_standin::cold_pool::pool_config;
use review_standin::cold_pool::send_requests;
use review_standin::http::Connection;
use review_standin::http::Head;
use review_standin::http::message;
use review_standin::http::serve;
use review_standin::record::Record;
use review_standin::router::Router;
use review_standin::router::RouterSettings;
use review_standin::runner::event;
use review_standin::runner::receipt;
use review_standin::site::Verdict;
use review_standin::site::is_calm;
use review_standin::site::run_case;
use review_standin::store::Store;

/// Runners of the model pool.
const RUNNERS: usize = 5;
/// Runners that give second answers: the share 0.6.
const FAULTY_RUNNERS: usize = 3;
/// A faulty runner doubles one answer in this many at most: the share 0.03 of them.
const ANSWERS_PER_EXTRA: u32 = 34;
/// Time from the heartbeat of a runner to that of the next one.
const PHASE: Duration = Duration::from_millis(240);
/// Requests that a runner runs at once, and those that it holds in all.
const SLOTS: u32 = 2;
const ROOM: u32 = 4;
/// Requests before the disruption, and how many of them are open at the same time.
const EARLY_REQUESTS: usize = 400;
const OPEN_REQUESTS: usize = 10;
/// Requests that fill all runners.
const LONG_REQUESTS: usize = RUNNERS * ROOM as usize;
/// Requests of other clients meanwhile.
const LATE_REQUESTS: usize = 1_400;
/// Events of a usual stream, and the most of one that fills a runner.
const EVENTS: u64 = 6;
const MOST_EVENTS: u64 = 400;
/// Time before an event.
const GAP: Duration = Duration::from_millis(10);
/// Time in which the runners are filled.
const FILL_TIME: Duration = Duration::from_millis(200);
/// Time from a late second answer to the answer that is due.
const LATENESS: Duration = Duration::from_millis(30);

/// Status line of an answer that says that nothing was run.
const FULL: &str = "HTTP/1.1 503 Service Unavailable";

fn main() {
    run_case(run);
}

fn run(record: &Record, folder: &Path) -> Verdict {
    let store = Store::start();
    store.put("op", "config", &pool_config(7));
    let runs = RunCounts::default();
    let runners: Vec<Arc<Runner>> = (0..RUNNERS)
        .map(|number| {
            let is_faulty = number < FAULTY_RUNNERS && !is_calm();
            Runner::start(number, is_faulty, &runs, record, &store)
        })
        .collect();
    let router = Router::start(&RouterSettings {
        name: "edge-tln-a-1",
        zone: "tln-a",
        store: store.address,
        folder,
    });
    if !router.wait_until_ready() {
        record.note("the machine is not ready in time");
        return Verdict::NotRun;
    }
    let front = router.front;
    let mut answers = send_requests(front, "early", EARLY_REQUESTS, OPEN_REQUESTS);
    let long = thread::spawn(move || send_requests(front, "long", LONG_REQUESTS, LONG_REQUESTS));
    thread::sleep(FILL_TIME);
    let late = thread::spawn(move || send_requests(front, "late", LATE_REQUESTS, OPEN_REQUESTS));
    if !is_calm() {
        forget_history(&store, record);
    }
    for thread in [long, late] {
        answers.extend(thread.join().expect("answers"));
    }
    for runner in &runners {
        record.note(format_args!(
            "{}: {} answers, {} of them about its health, {} second answers",
            runner.name,
            runner.answers.load(Ordering::SeqCst),
            runner.health.load(Ordering::SeqCst),
            runner.extras.load(Ordering::SeqCst)
        ));
    }
    judge(record, &answers, &runs)
}

/// A model runner, and what it has done.
struct Runner {
    name: String,
    is_faulty: bool,
    runs: RunCounts,
    record: Record,
    answers: AtomicU32,
    extras: AtomicU32,
    health: AtomicU32,
    held: AtomicU32,
    is_done: AtomicBool,
}

impl Runner {
    fn start(
        number: usize,
        is_faulty: bool,
        runs: &RunCounts,
        record: &Record,
        store: &Store,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let runner = Arc::new(Self {
            name: format!("i-runner-{number}"),
            is_faulty,
            runs: runs.clone(),
            record: record.clone(),
            answers: AtomicU32::new(0),
            extras: AtomicU32::new(0),
            health: AtomicU32::new(0),
            held: AtomicU32::new(0),
            is_done: AtomicBool::new(false),
        });
        let shared = Arc::clone(&runner);
        serve(listener, move |connection| shared.serve(connection));
        let phase = PHASE * u32::try_from(number).unwrap_or(0);
        keep_listed(store, runner.name.clone(), address, SLOTS, phase);
        runner
    }

    fn serve(&self, mut connection: Connection) {
        let mut second_answer: Option<Vec<u8>> = None;
        while let Some(request) = connection.read_request() {
            let answers = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
            if let Some(extra) = second_answer.take() {
                let id = request.head.field("X-Attempt-Id");
                let name = &self.name;
                self.record.note(format_args!(
                    "{name} rejects the question about its health again before it answers {id}"
                ));
                if connection.send(&extra).is_err() {
                    return;
                }
                thread::sleep(LATENESS);
            }
            let id = request.head.field("X-Attempt-Id");
            let is_full = self.held.load(Ordering::SeqCst) >= ROOM;
            let sent = if request.head.path() == "/healthz" {
                let answer = self.health_answer(is_full);
                let extras = self.extras.load(Ordering::SeqCst) + 1;
                if is_full && self.is_faulty && answers >= extras * ANSWERS_PER_EXTRA {
                    self.extras.store(extras, Ordering::SeqCst);
                    second_answer = Some(answer.clone());
                }
                connection.send(&answer)
            } else if is_full {
                let fields = [("X-Attempt-Id", id), ("X-Not-Executed", "1")];
                connection.send(&message(FULL, &fields, b""))
            } else {
                // The stream ends with its channel.
                self.run(&request.head, &mut connection);
                return;
            };
            if sent.is_err() {
                return;
            }
        }
    }

    fn health_answer(&self, is_full: bool) -> Vec<u8> {
        self.health.fetch_add(1, Ordering::SeqCst);
        let name = self.name.as_str();
        let end = if is_full { " and rejects that" } else { "" };
        self.record
            .note(format_args!("{name} is asked how it is{end}"));
        if is_full {
            // The streams that fill it have come to their end.
            self.is_done.store(true, Ordering::SeqCst);
            let fields = [("X-Instance-Id", name), ("X-Not-Executed", "1")];
            return message(FULL, &fields, b"");
        }
        let fields = [("X-Instance-Id", name), ("X-Cold-Ms", "0")];
        message("HTTP/1.1 200 OK", &fields, b"")
    }

    fn run(&self, head: &Head, connection: &mut Connection) {
        let id = head.field("X-Attempt-Id");
        self.held.fetch_add(1, Ordering::SeqCst);
        self.runs.add(id);
        self.record.note(format_args!("{} runs {id}", self.name));
        // An error means that nobody reads the stream any more.
        let _ = self.stream(head, connection);
        self.held.fetch_sub(1, Ordering::SeqCst);
    }

    fn stream(&self, head: &Head, connection: &mut Connection) -> io::Result<()> {
        let start = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{}\
             Connection: close\r\n\r\n",
            receipt(head)
        );
        connection.send(start.as_bytes())?;
        let is_long = head.field("X-Attempt-Id").starts_with("long");
        let most = if is_long { MOST_EVENTS } else { EVENTS };
        for number in 1..=most {
            thread::sleep(GAP);
            connection.send(event(number).as_bytes())?;
            if is_long && self.is_done.load(Ordering::SeqCst) {
                break;
            }
        }
        Ok(())
    }
}

/// The rule REFUSED: what is answered 408, 421, 429 or 503 has not run.
fn judge(record: &Record, answers: &Answers, runs: &RunCounts) -> Verdict {
    let mut verdict = Verdict::Held;
    let mut served = 0;
    for (id, answer) in answers {
        let runs = runs.of(id);
        let Some(answer) = answer else {
            record.note(format_args!("{id}: no answer, ran {runs} times"));
            continue;
        };
        let status = answer.head.status();
        if matches!(status, 408 | 421 | 429 | 503) && runs > 0 {
            record.note(format_args!("{id}: answered {status} and ran {runs} times"));
            verdict = Verdict::Broken;
        }
        served += usize::from(status == 200 && answer.is_complete);
    }
    record.note(format_args!(
        "{served} of {} requests are served, the others refused",
        answers.len()
    ));
    verdict
}
