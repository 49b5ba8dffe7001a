//! Requests a second that this client can send and check, against a
//! responder on loopback that answers each request by one prepared write, and
//! against the stand-in engine in the same process.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;

use guavawell_core::clock::ClockSpan;
use guavawell_load::LoadHooks;
use guavawell_load::LoadPlan;
use guavawell_load::plan::ArrivalMode;
use guavawell_load::plan::TargetKind;
use guavawell_load::report::duration_text;
use guavawell_load::run;
use guavawell_standin::engine::Engine;
use guavawell_standin::engine::EngineSettings;

/// Tokens of each prepared answer.
const TOKENS: usize = 4;
/// Length of one measurement.
const SPAN: ClockSpan = ClockSpan::from_millis(3_000);

fn main() {
    println!("against a prepared answer of {TOKENS} tokens");
    measure(start_responder());
    let engine = smol::block_on(Engine::start(EngineSettings::default())).expect("free ports");
    println!("against the stand-in engine, of 8 to 16 tokens");
    measure(engine.address());
}

fn measure(address: SocketAddr) {
    println!("threads  connections  answered/s  first p50  first p99");
    for (threads, connections) in [(1, 1), (1, 16), (2, 16), (4, 16), (4, 64)] {
        let plan = LoadPlan {
            targets: Box::new([address]),
            target_kind: TargetKind::Engine,
            arrival: ArrivalMode::Closed { connections },
            duration: Some(SPAN),
            threads,
            tag: format!("bench-{threads}-{connections}").into(),
            ..LoadPlan::default()
        };
        let report = run(plan, LoadHooks::default()).expect("a plan without findings");
        assert_eq!(
            report.counts.answered, report.counts.requests,
            "{:?}",
            report.counts.ends
        );
        let first = &report.whole.first_token;
        println!(
            "{threads:>7}  {connections:>11}  {:>10.0}  {:>9}  {:>9}",
            report.answered_per_second,
            duration_text(first.at(0.5).unwrap_or_default()),
            duration_text(first.at(0.99).unwrap_or_default())
        );
    }
}

fn start_responder() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let answer = prepared_answer();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || serve(stream, answer.as_bytes()));
        }
    });
    address
}

fn serve(mut stream: TcpStream, answer: &[u8]) {
    stream.set_nodelay(true).expect("a TCP socket");
    let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
    while skip_request(&mut reader).is_some() {
        if stream.write_all(answer).is_err() {
            return;
        }
    }
}

fn skip_request(reader: &mut BufReader<TcpStream>) -> Option<()> {
    let mut length = 0;
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if let Some(value) = line.strip_prefix("content-length: ") {
            length = value.trim_end().parse().ok()?;
        }
        if line == "\r\n" {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()
}

fn prepared_answer() -> String {
    let mut events: Vec<String> = (0..TOKENS)
        .map(|part| {
            format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"w{part} \"}}}}]}}\n\n")
        })
        .collect();
    events.push(format!(
        "data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":3,\"completion_tokens\":{TOKENS}}}}}\n\n"
    ));
    events.push("data: [DONE]\n\n".into());
    let head =
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = |event: &String| format!("{:x}\r\n{event}\r\n", event.len());
    let body: String = events.iter().map(chunk).collect();
    format!("{head}{body}0\r\n\r\n")
}
