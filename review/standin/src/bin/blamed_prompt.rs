//! All processes are killed and started again. While they have served next to nothing
//! yet, a few runners crash. After that nothing is served any more.

use std::cmp::Reverse;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use review_standin::client::Request;
use review_standin::http::Connection;
use review_standin::record::Record;
use review_standin::router::Router;
use review_standin::router::RouterSettings;
use review_standin::router::wait_until;
use review_standin::runner::event;
use review_standin::runner::receipt;
use review_standin::runner::whole_stream;
use review_standin::site::Route;
use review_standin::site::Verdict;
use review_standin::site::config;
use review_standin::site::is_calm;
use review_standin::site::run_case;
use review_standin::site::runner_entry;
use review_standin::store::Store;

/// Machines.
const MACHINES: usize = 2;
/// Runners of the model pool.
const RUNNERS: usize = 24;
/// Runners that crash: the share 0.17.
const CRASHED_RUNNERS: usize = 4;
/// Events of a stream, and the time before each of them.
const EVENTS: u64 = 6;
const GAP: Duration = Duration::from_millis(150);
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(12);
/// Time before the final fault in which requests are sent.
const BEFORE: Duration = Duration::from_secs(8);
/// Time for which the processes are down.
const DOWN: Duration = Duration::from_millis(930);
/// Time from the return of the machines to the crash of runners.
const CRASH_AFTER: Duration = Duration::from_millis(350);
/// Time for which the crashed runners are down.
const CRASH_TIME: Duration = Duration::from_millis(4_500);
/// Time after which the entry of a crashed runner is removed: three heartbeats.
const ENTRY_TIME: Duration = Duration::from_millis(3_600);
/// `recover_s`.
const RECOVER: Duration = Duration::from_secs(12);
/// Time after that in which requests are judged.
const JUDGED: Duration = Duration::from_secs(10);

/// A request and what became of it.
struct Outcome {
    sent_at: Instant,
    is_served: bool,
    status: u16,
}

fn main() {
    run_case(run);
}

fn run(record: &Record, folder: &Path) -> Verdict {
    let store = Store::start();
    let route = Route {
        name: "draft",
        kind: "streaming",
        backend: "pool",
        attempts: 1,
    };
    let text = config(7, &[route], "");
    let text = text.replace("\"prepaid\":7591438", "\"prepaid\":75914380");
    store.put("op", "config", &text);
    let runners: Vec<Runner> = (0..RUNNERS)
        .map(|number| Runner::start(&format!("i-runner-{number}"), &store))
        .collect();
    let mut routers: Vec<Router> = (0..MACHINES)
        .map(|number| {
            Router::start(&RouterSettings {
                name: &format!("edge-tln-a-{}", number + 1),
                zone: "tln-a",
                store: store.address,
                folder,
            })
        })
        .collect();
    if !routers.iter().all(Router::wait_until_ready) {
        record.note("the machines are not ready in time");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let fronts: Vec<SocketAddr> = routers.iter().map(|router| router.front).collect();
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let sender = send_requests(fronts, Arc::clone(&outcomes), Arc::clone(&is_over));
    thread::sleep(BEFORE);
    let fault_at = Instant::now();
    record.note("all processes are killed");
    routers.iter_mut().for_each(Router::kill);
    thread::sleep(DOWN);
    routers.iter_mut().for_each(Router::restart);
    let is_back = || routers.iter().all(Router::is_ready);
    if !wait_until(Duration::from_secs(10), is_back) {
        record.note("the machines are not back in time");
        return Verdict::NotRun;
    }
    let back_at = Instant::now();
    record.note("the machines are back");
    if !is_calm() {
        thread::sleep(CRASH_AFTER);
        crash_runners(&runners, &store, record);
    }
    let judged_from = back_at + RECOVER;
    thread::sleep((judged_from + JUDGED).saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::SeqCst);
    let _ = sender.join();
    judge(
        record,
        &outcomes.lock().expect("unpoisoned"),
        fault_at,
        judged_from,
    )
}

/// Lets some runners crash; others take their place later.
fn crash_runners(runners: &[Runner], store: &Store, record: &Record) {
    // Any may crash; here those that hold the most requests.
    let mut busy: Vec<&Runner> = runners.iter().collect();
    busy.sort_by_key(|runner| Reverse(runner.open_requests()));
    let crashed = &busy[..CRASHED_RUNNERS];
    for runner in crashed {
        record.note(format_args!(
            "{} crashes with {} open requests",
            runner.name,
            runner.open_requests()
        ));
        runner.crash();
    }
    thread::sleep(ENTRY_TIME);
    for runner in crashed {
        store.remove("servers", &runner.name);
    }
    thread::sleep(CRASH_TIME - ENTRY_TIME);
    for runner in crashed {
        let _ = Runner::start(&format!("{}-again", runner.name), store);
    }
    record.note("all runners are there again");
}

/// A model runner.
struct Runner {
    name: String,
    address: SocketAddr,
    state: Arc<RunnerState>,
}

#[derive(Default)]
struct RunnerState {
    has_crashed: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    open_requests: AtomicU64,
}

impl Runner {
    fn start(name: &str, store: &Store) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state: Arc<RunnerState> = Arc::default();
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.has_crashed.load(Ordering::SeqCst) {
                    return;
                }
                let clone = stream.try_clone();
                shared.streams.lock().expect("unpoisoned").extend(clone);
                let shared = Arc::clone(&shared);
                thread::spawn(move || shared.serve(Connection::new(stream)));
            }
        });
        store.put("servers", name, &runner_entry("pool", address, 64, 1));
        Self {
            name: name.to_string(),
            address,
            state,
        }
    }

    fn open_requests(&self) -> u64 {
        self.state.open_requests.load(Ordering::SeqCst)
    }

    /// Ends all channels and refuses new ones.
    fn crash(&self) {
        self.state.has_crashed.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts channels, which then closes the listener.
        let _ = TcpStream::connect(self.address);
        for stream in self.state.streams.lock().expect("unpoisoned").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl RunnerState {
    fn serve(&self, mut connection: Connection) {
        while let Some(request) = connection.read_request() {
            let start = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{}\
                 Transfer-Encoding: chunked\r\n\r\n",
                receipt(&request.head)
            );
            self.open_requests.fetch_add(1, Ordering::SeqCst);
            let sent = connection.send(start.as_bytes());
            let sent = sent.and_then(|()| {
                for number in 1..=EVENTS {
                    thread::sleep(GAP);
                    let event = event(number);
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    connection.send(chunk.as_bytes())?;
                }
                connection.send(b"0\r\n\r\n")
            });
            self.open_requests.fetch_sub(1, Ordering::SeqCst);
            if sent.is_err() {
                return;
            }
        }
    }
}

/// Sends requests at a steady rate, to the machines by turns. All prompts begin with the
/// same part.
fn send_requests(
    fronts: Vec<SocketAddr>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    is_over: Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let mut threads = Vec::new();
        for number in 0_u64.. {
            if is_over.load(Ordering::SeqCst) {
                break;
            }
            let front = fronts[usize::try_from(number).unwrap_or(0) % fronts.len()];
            let outcomes = Arc::clone(&outcomes);
            threads.push(thread::spawn(move || {
                let outcome = send_request(front, number);
                outcomes.lock().expect("unpoisoned").push(outcome);
            }));
            thread::sleep(REQUEST_INTERVAL);
        }
        for thread in threads {
            let _ = thread.join();
        }
    })
}

fn send_request(front: SocketAddr, number: u64) -> Outcome {
    // As on the sheet: a part that all prompts share, one of 214, and one of its own.
    let fields = format!(
        "X-Model: m\r\nX-Token-Usage: 6610,40\r\n\
         X-Prefix-Hash: 5c1e07a2:512,{:x}:4870,{:x}:1228\r\n",
        0x91bd_0000 + number * 7 % 214,
        0xe440_0000 + number
    );
    let request = Request {
        line: "POST /draft/2f",
        id: &format!("{number:016x}"),
        deadline_ms: 12_000,
        fields: &fields,
        body: &number.to_le_bytes(),
    };
    let sent_at = Instant::now();
    let answer = request.send(front);
    let status = answer.as_ref().map_or(0, |answer| answer.head.status());
    let is_served = answer.is_some_and(|answer| {
        status == 200 && answer.is_complete && answer.body == whole_stream(EVENTS).as_bytes()
    });
    Outcome {
        sent_at,
        is_served,
        status,
    }
}

/// The rule RECOVER: of the requests sent later than `recover_s` after the machines are
/// back, a quarter is served, if a quarter was before the final fault.
fn judge(
    record: &Record,
    outcomes: &[Outcome],
    fault_at: Instant,
    judged_from: Instant,
) -> Verdict {
    // Those that ran when the final fault struck are left out.
    let before_until = fault_at - GAP * u32::try_from(EVENTS).unwrap_or(1) * 2;
    let before = share_served(record, "before the final fault", outcomes, |outcome| {
        outcome.sent_at < before_until
    });
    let after = share_served(record, "recover_s after the return", outcomes, |outcome| {
        outcome.sent_at >= judged_from
    });
    match (before, after) {
        (Some(before), Some(after)) if before >= 0.25 && after < 0.25 => Verdict::Broken,
        (Some(before), Some(_)) if before >= 0.25 => Verdict::Held,
        _ => Verdict::NotRun,
    }
}

fn share_served(
    record: &Record,
    span: &str,
    outcomes: &[Outcome],
    is_counted: impl Fn(&Outcome) -> bool,
) -> Option<f64> {
    let counted: Vec<&Outcome> = outcomes
        .iter()
        .filter(|outcome| is_counted(outcome))
        .collect();
    let served = counted.iter().filter(|outcome| outcome.is_served).count();
    let refused = counted
        .iter()
        .filter(|outcome| outcome.status == 503)
        .count();
    record.note(format_args!(
        "{span}: {} requests sent, {served} served, {refused} answered 503",
        counted.len()
    ));
    (!counted.is_empty()).then(|| served as f64 / counted.len() as f64)
}
