//! The store forgets its history, so a machine asks its runners how they are. A faulty
//! runner answers a second time, late: where the answer to the next request is expected.

use std::io;
use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
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
use review_standin::router::wait_until;
use review_standin::runner::event;
use review_standin::runner::receipt;
use review_standin::runner::whole_stream;
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
/// Requests that a runner runs at once.
const SLOTS: u32 = 16;
/// Requests before the disruption, and after it.
const REQUESTS: usize = 400;
/// Requests that are open at the same time.
const OPEN_REQUESTS: usize = 10;
/// Events of a stream.
const EVENTS: u64 = 6;
/// Time before an event.
const GAP: Duration = Duration::from_millis(10);
/// Longest wait until a runner is asked.
const ASK_TIME: Duration = Duration::from_secs(3);
/// Time from a late second answer to the answer that is due.
const LATENESS: Duration = Duration::from_millis(30);

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
    let mut answers = send_requests(router.front, "before", REQUESTS, OPEN_REQUESTS);
    if !is_calm() {
        forget_history(&store, record);
        let is_asked = || {
            let mut asked = runners.iter();
            asked.any(|runner| runner.health.load(Ordering::SeqCst) > 0)
        };
        if !wait_until(ASK_TIME, is_asked) {
            record.note("no runner is asked how it is");
        }
    }
    answers.extend(send_requests(
        router.front,
        "after",
        REQUESTS,
        OPEN_REQUESTS,
    ));
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
                    "{name} answers about its health again before it answers {id}"
                ));
                if connection.send(&extra).is_err() {
                    return;
                }
                thread::sleep(LATENESS);
            }
            let sent = if request.head.path() == "/healthz" {
                let answer = self.health_answer();
                let extras = self.extras.load(Ordering::SeqCst) + 1;
                if self.is_faulty && answers >= extras * ANSWERS_PER_EXTRA {
                    self.extras.store(extras, Ordering::SeqCst);
                    second_answer = Some(answer.clone());
                }
                connection.send(&answer)
            } else {
                let id = request.head.field("X-Attempt-Id");
                self.runs.add(id);
                self.record.note(format_args!("{} runs {id}", self.name));
                stream(&request.head, &mut connection)
            };
            if sent.is_err() {
                return;
            }
        }
    }

    fn health_answer(&self) -> Vec<u8> {
        self.health.fetch_add(1, Ordering::SeqCst);
        self.record
            .note(format_args!("{} is asked how it is", self.name));
        let load = format!("0,0,{SLOTS}");
        let fields = [
            ("X-Instance-Id", self.name.as_str()),
            ("X-Instance-Load", load.as_str()),
            ("X-Cold-Ms", "0"),
        ];
        message("HTTP/1.1 200 OK", &fields, b"")
    }
}

/// Answers a request with a whole stream and keeps the channel.
fn stream(head: &Head, connection: &mut Connection) -> io::Result<()> {
    let start = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{}\
         Transfer-Encoding: chunked\r\n\r\n",
        receipt(head)
    );
    connection.send(start.as_bytes())?;
    for number in 1..=EVENTS {
        thread::sleep(GAP);
        let event = event(number);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        connection.send(chunk.as_bytes())?;
    }
    connection.send(b"0\r\n\r\n")
}

/// The rule MIXED: a success has the runner's receipt and whole body.
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
        let seal = answer.head.field("X-Server-Seal");
        let is_own = seal.ends_with(id) && answer.body == whole_stream(EVENTS).as_bytes();
        if status != 200 || !answer.is_complete {
            record.note(format_args!("{id}: {status}, ran {runs} times"));
        } else if is_own {
            served += 1;
        } else {
            record.note(format_args!(
                "{id}: 200, complete, {} bytes, receipt '{seal}', ran {runs} times",
                answer.body.len()
            ));
            verdict = Verdict::Broken;
        }
    }
    record.note(format_args!(
        "{served} of {} requests are served whole",
        answers.len()
    ));
    verdict
}
