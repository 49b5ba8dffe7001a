//! Short streamed requests against the engine stand-in, asked directly.
//!
//! Prints requests a second and the processor time of the stand-ins' threads,
//! so that a router's benchmark can tell its own limit from the engine's.
//! Run with `cargo bench -p guavawell-standin --bench engine`.

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use guavawell_standin::engine::Engine;
use guavawell_standin::engine::EngineSettings;

const WARM_UP: Duration = Duration::from_secs(1);
const SPAN: Duration = Duration::from_secs(5);
const CONNECTIONS: [u64; 3] = [1, 16, 64];
const MAX_TOKENS: u64 = 16;
/// Ends every chunked answer.
const LAST_CHUNK: &[u8] = b"\r\n0\r\n\r\n";

fn main() {
    println!(
        "streamed requests of at most {MAX_TOKENS} tokens, {} s each",
        SPAN.as_secs()
    );
    println!("connections  requests/s  engine cores  engine us/request  mean us");
    for connections in CONNECTIONS {
        let engine = smol::block_on(Engine::start(EngineSettings::default())).expect("free ports");
        measure(engine.address(), connections);
        smol::block_on(engine.stop());
    }
}

fn measure(address: SocketAddr, connections: u64) {
    let done = Arc::new(AtomicU64::new(0));
    let end = Instant::now() + WARM_UP + SPAN;
    let clients: Vec<_> = (0..connections)
        .map(|number| {
            let done = Arc::clone(&done);
            thread::spawn(move || ask_until(address, number, end, &done))
        })
        .collect();
    thread::sleep(WARM_UP);
    let start = (Instant::now(), done.load(Ordering::Relaxed), engine_nanos());
    thread::sleep(SPAN.saturating_sub(Duration::from_millis(50)));
    let passed = start.0.elapsed();
    let requests = done.load(Ordering::Relaxed) - start.1;
    let busy = Duration::from_nanos(engine_nanos() - start.2);
    for client in clients {
        client.join().expect("a client failed");
    }
    print_row(connections, requests, passed, busy);
}

#[allow(clippy::cast_precision_loss)] // figures for people
fn print_row(connections: u64, requests: u64, passed: Duration, busy: Duration) {
    let requests = requests as f64;
    let rate = requests / passed.as_secs_f64();
    let cores = busy.as_secs_f64() / passed.as_secs_f64();
    let cost = busy.as_secs_f64() * 1e6 / requests;
    let mean = connections as f64 * 1e6 / rate;
    println!("{connections:>11}  {rate:>10.0}  {cores:>12.2}  {cost:>17.1}  {mean:>7.0}");
}

fn ask_until(address: SocketAddr, number: u64, end: Instant, done: &AtomicU64) {
    let mut stream = TcpStream::connect(address).expect("a listener");
    stream.set_nodelay(true).expect("a socket");
    let mut buffer = vec![0; 64 * 1024];
    let mut round = 0;
    while Instant::now() < end {
        round += 1;
        let request = request_text(number, round);
        stream.write_all(request.as_bytes()).expect("an open end");
        read_answer(&mut stream, &mut buffer);
        done.fetch_add(1, Ordering::Relaxed);
    }
}

fn request_text(number: u64, round: u64) -> String {
    let body = format!(
        r#"{{"model":"m","messages":[{{"role":"user","content":"check transfer batch {number} {round}"}}],"max_tokens":{MAX_TOKENS},"stream":true,"stream_options":{{"include_usage":true}}}}"#
    );
    let length = body.len();
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: 127.0.0.1\r\ncontent-type: application/json\r\nx-guavawell-attempt: {number:016x}{round:016x}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

fn read_answer(stream: &mut TcpStream, buffer: &mut [u8]) {
    let mut filled = 0;
    while !buffer[..filled].ends_with(LAST_CHUNK) {
        let read = stream.read(&mut buffer[filled..]).expect("an answer");
        assert!(read > 0, "the engine closed a connection");
        filled += read;
    }
    assert!(buffer.starts_with(b"HTTP/1.1 200"), "the engine refused");
}

/// Processor time of this process's threads that serve, in nanoseconds.
fn engine_nanos() -> u64 {
    let threads = fs::read_dir("/proc/self/task").expect("Linux");
    threads
        .filter_map(|thread| thread_nanos(&thread.ok()?.path()))
        .sum()
}

fn thread_nanos(path: &Path) -> Option<u64> {
    let name = fs::read_to_string(path.join("comm")).ok()?;
    if !name.starts_with("standin-") && !name.starts_with("async-") {
        return None;
    }
    let times = fs::read_to_string(path.join("schedstat")).ok()?;
    times.split(' ').next()?.parse().ok()
}
