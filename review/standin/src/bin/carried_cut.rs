//! A machine that lost its path to some runners reaches them through others. One of
//! those is killed while it carries streams that have no length.

use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use review_standin::client::Request;
use review_standin::http::Message;
use review_standin::link::Link;
use review_standin::record::Record;
use review_standin::router::Router;
use review_standin::router::RouterSettings;
use review_standin::router::wait_until;
use review_standin::runner::StreamPace;
use review_standin::runner::start_streaming;
use review_standin::runner::whole_stream;
use review_standin::site::Route;
use review_standin::site::Verdict;
use review_standin::site::config;
use review_standin::site::is_calm;
use review_standin::site::run_case;
use review_standin::site::runner_entry;
use review_standin::store::Store;

/// Runners of the model pool.
const RUNNERS: usize = 10;
/// Runners to which the first machine loses its path: the share 0.2.
const CUT_RUNNERS: usize = 2;
/// Machines; one of them loses its path: the share 0.3.
const MACHINES: usize = 3;
/// Events of a stream.
const EVENTS: u64 = 40;
/// Time between two events, under the pause that clients accept (400 ms).
const GAP: Duration = Duration::from_millis(200);
/// Streams, and the time between the starts of two.
const STREAMS: usize = 80;
const START_INTERVAL: Duration = Duration::from_millis(45);
/// Time from the start of the last stream to the kill.
const KILL_AFTER: Duration = Duration::from_millis(500);
/// Time after which the platform starts a process again. The cut ends then as well: it
/// lasts under the usual 5 s.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Longer than the time in which the machines learn of each other.
const ACQUAINTANCE: Duration = Duration::from_secs(7);

/// The id of a request and its answer.
type Answer = (String, Option<Message>);

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
    store.put("op", "config", &config(7, &[route], ""));
    let runners: Vec<(String, SocketAddr)> = (0..RUNNERS)
        .map(|number| {
            let name = format!("i-runner-{number}");
            let address = start_streaming(&name, StreamPace { gap: GAP }, record);
            store.put("servers", &name, &runner_entry("pool", address, 64, 1));
            (name, address)
        })
        .collect();
    let links: Vec<Link> = runners
        .iter()
        .take(CUT_RUNNERS)
        .map(|(_, address)| Link::start(*address))
        .collect();
    let shown = runners.iter().zip(&links).map(|((name, _), link)| {
        let entry = runner_entry("pool", link.address, 64, 1);
        (name.clone(), entry)
    });
    let first_view = store.view(shown.collect());
    let mut routers: Vec<Router> = (0..MACHINES)
        .map(|number| {
            let address = if number == 0 {
                first_view.address
            } else {
                store.address
            };
            Router::start(&RouterSettings {
                name: &format!("edge-tln-a-{}", number + 1),
                zone: "tln-a",
                store: address,
                folder,
            })
        })
        .collect();
    if !routers.iter().all(Router::wait_until_ready) {
        record.note("the machines are not ready in time");
        return Verdict::NotRun;
    }
    let is_known = || store.count("guavawell_instances") == MACHINES;
    if !wait_until(ACQUAINTANCE, is_known) {
        record.note("the machines do not register in time");
        return Verdict::NotRun;
    }
    thread::sleep(ACQUAINTANCE);
    let front = routers[0].front;
    if is_calm() {
        record.note("calm: nothing is cut, nothing is killed");
    } else {
        record.note("edge-tln-a-1 loses its path to two of ten runners");
        links.iter().for_each(Link::cut);
    }
    let streams: Vec<JoinHandle<Answer>> = (0..STREAMS)
        .map(|number| {
            thread::sleep(START_INTERVAL);
            thread::spawn(move || send_request(front, number))
        })
        .collect();
    thread::sleep(KILL_AFTER);
    if !is_calm() {
        record.note("edge-tln-a-2 is killed");
        routers[1].kill();
        thread::sleep(RESTART_DELAY);
        record.note("edge-tln-a-2 is started again; edge-tln-a-1 has its path back");
        routers[1].restart();
        links.iter().for_each(Link::heal);
    }
    let answers = streams.into_iter().map(JoinHandle::join);
    let answers: Vec<Answer> = answers.map(|answer| answer.expect("an answer")).collect();
    judge(record, &answers)
}

fn send_request(front: SocketAddr, number: usize) -> Answer {
    let id = format!("stream-{number}");
    let fields = format!(
        "X-Model: m\r\nX-Token-Usage: 100,500\r\n\
         X-Prefix-Hash: {:x}:80,{:x}:20\r\nX-Events: {EVENTS}\r\n",
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
    (id, answer)
}

/// The rules MIXED and ORDER: an answer that ends early must not look complete.
fn judge(record: &Record, answers: &[Answer]) -> Verdict {
    let whole = whole_stream(EVENTS).into_bytes();
    let mut verdict = Verdict::Held;
    for (id, answer) in answers {
        let Some(answer) = answer else {
            record.note(format_args!("{id}: no answer"));
            continue;
        };
        let text = String::from_utf8_lossy(&answer.body);
        let events = text.matches("id: ").count();
        let status = answer.head.status();
        let end = if answer.is_complete {
            "complete"
        } else {
            "broken off"
        };
        record.note(format_args!(
            "{id}: {status}, {events} of {EVENTS} events, {end}"
        ));
        if status == 200 && answer.is_complete && answer.body != whole {
            record.note(format_args!(
                "{id}: ended early and looks complete, with the receipt {}",
                answer.head.field("X-Server-Seal")
            ));
            verdict = Verdict::Broken;
        }
    }
    verdict
}
