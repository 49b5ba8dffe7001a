//! Many clients send bodies of the size that the config allows at the same time. The
//! platform ends each process that exceeds its memory.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use review_standin::client::Request;
use review_standin::http::Connection;
use review_standin::http::Message;
use review_standin::http::serve;
use review_standin::record::Record;
use review_standin::router::Router;
use review_standin::router::RouterSettings;
use review_standin::runner::receipt;
use review_standin::site::Route;
use review_standin::site::Verdict;
use review_standin::site::config;
use review_standin::site::is_calm;
use review_standin::site::run_case;
use review_standin::site::runner_entry;
use review_standin::store::Store;

/// Machines.
const MACHINES: usize = 2;
/// Runners of the application service.
const RUNNERS: usize = 4;
/// Bursts of clients, and how often a process may end by itself in a day.
const BURSTS: usize = 3;
/// Clients of a burst at each machine: 24 as in a zone of the sheet, times 1.7.
const BURST_CLIENTS: usize = 40;
/// Clients at each machine that send small requests all the time.
const STEADY_CLIENTS: usize = 8;
/// `max_body_bytes` of the config.
const MAX_BODY: usize = 4_194_304;
/// Size of a usual body.
const USUAL_BODY: usize = 12_000;
/// `memory_mb` of the settings, in bytes.
const MEMORY: u64 = 110 * 1024 * 1024;
/// Bytes that a client sends at once, and the pause after them: all clients of a burst
/// together stay under four fifths of the machine's link of 1,000 Mbit/s.
const PIECE: usize = 48 * 1024;
const PIECE_PAUSE: Duration = Duration::from_millis(20);
/// Time for which a runner works on a request.
const WORK_TIME: Duration = Duration::from_millis(60);
/// How often the platform looks at the memory of a process.
const WATCH_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time for a burst, and for the machines to be ready again after it.
const BURST_TIME: Duration = Duration::from_secs(6);

/// A machine and how often its process exceeded its memory.
struct Machine {
    name: String,
    router: Mutex<Router>,
    front: SocketAddr,
    ends: Mutex<usize>,
}

fn main() {
    run_case(run);
}

fn run(record: &Record, folder: &Path) -> Verdict {
    let store = Store::start();
    let route = Route {
        name: "notice",
        kind: "non_idempotent",
        backend: "desk",
        attempts: 1,
    };
    store.put("op", "config", &config(7, &[route], ""));
    for number in 0..RUNNERS {
        let name = format!("i-runner-{number}");
        let address = start_runner();
        store.put("servers", &name, &runner_entry("desk", address, 6, 1));
    }
    let machines: Vec<Arc<Machine>> = (0..MACHINES)
        .map(|number| {
            let name = format!("edge-tln-a-{}", number + 1);
            let router = Router::start(&RouterSettings {
                name: &name,
                zone: "tln-a",
                store: store.address,
                folder,
            });
            Arc::new(Machine {
                name,
                front: router.front,
                router: Mutex::new(router),
                ends: Mutex::new(0),
            })
        })
        .collect();
    let is_ready = |machine: &Arc<Machine>| {
        machine
            .router
            .lock()
            .expect("unpoisoned")
            .wait_until_ready()
    };
    if !machines.iter().all(is_ready) {
        record.note("the machines are not ready in time");
        return Verdict::NotRun;
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let watchers: Vec<JoinHandle<()>> = machines
        .iter()
        .map(|machine| watch(Arc::clone(machine), Arc::clone(&is_over), record.clone()))
        .collect();
    let steady: Vec<JoinHandle<()>> = machines
        .iter()
        .flat_map(|machine| (0..STEADY_CLIENTS).map(move |place| (Arc::clone(machine), place)))
        .map(|(machine, place)| send_steadily(machine, place, Arc::clone(&is_over), record.clone()))
        .collect();
    thread::sleep(Duration::from_secs(1));
    let size = if is_calm() { USUAL_BODY } else { MAX_BODY };
    for burst in 0..BURSTS {
        record.note(format_args!(
            "burst {burst}: {BURST_CLIENTS} clients at each machine send {size} bytes each"
        ));
        for machine in &machines {
            send_burst(machine, burst, size, record);
        }
        thread::sleep(BURST_TIME);
    }
    is_over.store(true, Ordering::SeqCst);
    for thread in watchers.into_iter().chain(steady) {
        let _ = thread.join();
    }
    for machine in &machines {
        machine.router.lock().expect("unpoisoned").kill();
    }
    judge(record, &machines)
}

fn start_runner() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    serve(listener, |mut connection| {
        while let Some(request) = connection.read_request() {
            thread::sleep(WORK_TIME);
            let body = "done";
            let answer = format!(
                "HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{body}",
                receipt(&request.head),
                body.len()
            );
            if connection.send(answer.as_bytes()).is_err() {
                return;
            }
        }
    });
    address
}

/// Ends the process of a machine whenever it exceeds its memory, and starts it again.
fn watch(machine: Arc<Machine>, is_over: Arc<AtomicBool>, record: Record) -> JoinHandle<()> {
    thread::spawn(move || {
        let mut most = 0;
        while !is_over.load(Ordering::SeqCst) {
            let held = machine.router.lock().expect("unpoisoned").resident_bytes();
            most = most.max(held);
            if held > MEMORY {
                machine.router.lock().expect("unpoisoned").kill();
                *machine.ends.lock().expect("unpoisoned") += 1;
                record.note(format_args!(
                    "{} holds {held} bytes, more than {MEMORY}: its process is ended",
                    machine.name
                ));
                thread::sleep(RESTART_DELAY);
                machine.router.lock().expect("unpoisoned").restart();
            }
            thread::sleep(WATCH_INTERVAL);
        }
        record.note(format_args!("{} held {most} bytes at most", machine.name));
    })
}

/// Sends the requests of a burst, each from a thread of its own.
fn send_burst(machine: &Arc<Machine>, burst: usize, size: usize, record: &Record) {
    for client in 0..BURST_CLIENTS {
        let (machine, record) = (Arc::clone(machine), record.clone());
        thread::spawn(move || {
            let id = format!("burst-{burst}-{}-{client}", machine.name);
            let body = vec![b'x'; size];
            let answer = send_notice(machine.front, &id, &body);
            note_answer(&record, &id, answer.as_ref());
        });
    }
}

/// Sends small requests one after another until the run is over.
fn send_steadily(
    machine: Arc<Machine>,
    place: usize,
    is_over: Arc<AtomicBool>,
    record: Record,
) -> JoinHandle<()> {
    thread::spawn(move || {
        let mut number = 0;
        while !is_over.load(Ordering::SeqCst) {
            let id = format!("steady-{}-{place}-{number}", machine.name);
            let answer = send_notice(machine.front, &id, b"notice");
            if answer.is_none() {
                record.note(format_args!("{id}: no answer"));
                thread::sleep(Duration::from_millis(100));
            }
            number += 1;
        }
    })
}

fn send_notice(front: SocketAddr, id: &str, body: &[u8]) -> Option<Message> {
    let request = Request {
        line: "POST /notice/2f",
        id,
        deadline_ms: 3_000,
        fields: "",
        body,
    };
    let stream = TcpStream::connect(front).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    let mut connection = Connection::new(stream);
    for piece in request.bytes().chunks(PIECE) {
        connection.send(piece).ok()?;
        thread::sleep(PIECE_PAUSE);
    }
    connection.read_response()
}

fn note_answer(record: &Record, id: &str, answer: Option<&Message>) {
    match answer {
        Some(answer) => record.note(format_args!("{id}: {}", answer.head.status())),
        None => record.note(format_args!("{id}: no answer")),
    }
}

/// The rule Fault: on two machines at least, processes end by themselves three times.
fn judge(record: &Record, machines: &[Arc<Machine>]) -> Verdict {
    let mut broken = 0;
    for machine in machines {
        let ends = *machine.ends.lock().expect("unpoisoned");
        record.note(format_args!(
            "the process of {} exceeded its memory {ends} times",
            machine.name
        ));
        broken += usize::from(ends >= BURSTS);
    }
    if broken >= MACHINES {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
