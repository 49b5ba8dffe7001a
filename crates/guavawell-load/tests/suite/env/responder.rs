//! A responder that answers each request as a script says.

use std::fmt::Write as _;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

/// What the responder does with one request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Streams this many parts; `done` adds the end marker.
    Stream { parts: usize, done: bool },
    /// Streams this many parts, then an `error` event.
    StreamError { parts: usize, problem: &'static str },
    /// Streams this many parts, then breaks the connection within a chunk.
    Break { parts: usize },
    /// A whole answer of this many tokens.
    Whole { tokens: usize },
    /// A problem document.
    Problem { status: u16, body: &'static str },
    /// A plain body.
    Plain { body: &'static str },
    /// Closes without an answer.
    Close,
}

/// One request as it arrived.
#[derive(Clone, Debug, Default)]
pub struct SeenRequest {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl SeenRequest {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }
}

type Script = Arc<dyn Fn(usize, &SeenRequest) -> Reply + Send + Sync>;

/// Answers each request as a script says; `number` counts from 0.
pub struct Responder {
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<SeenRequest>>>,
}

impl Responder {
    pub fn start(script: impl Fn(usize, &SeenRequest) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let seen: Arc<Mutex<Vec<SeenRequest>>> = Arc::default();
        let record = Arc::clone(&seen);
        let script: Script = Arc::new(script);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let record = Arc::clone(&record);
                let script = Arc::clone(&script);
                thread::spawn(move || serve(stream, &record, &script));
            }
        });
        Self { address, seen }
    }

    /// All requests so far.
    pub fn seen(&self) -> Vec<SeenRequest> {
        self.seen.lock().expect("no poison").clone()
    }
}

fn serve(mut stream: TcpStream, record: &Mutex<Vec<SeenRequest>>, script: &Script) {
    stream.set_nodelay(true).expect("a TCP socket");
    let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
    while let Some(request) = read_request(&mut reader) {
        let number = {
            let mut seen = record.lock().expect("no poison");
            seen.push(request.clone());
            seen.len() - 1
        };
        let (text, keep) = render(&script(number, &request), &request);
        if stream.write_all(text.as_bytes()).is_err() || !keep {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<SeenRequest> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut request = SeenRequest {
        path: line.split(' ').nth(1)?.into(),
        ..SeenRequest::default()
    };
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(": ") else {
            break;
        };
        let pair = (name.to_ascii_lowercase(), value.to_owned());
        request.headers.push(pair);
    }
    let length = request.header("content-length")?.parse().ok()?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    request.body = String::from_utf8(body).ok()?;
    Some(request)
}

/// The reply's bytes, and whether the connection stays open.
fn render(reply: &Reply, request: &SeenRequest) -> (String, bool) {
    match reply {
        Reply::Stream { parts, done } => {
            let mut events = part_events(*parts);
            if *done {
                let tokens = *parts;
                events.push(format!(
                    "data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":3,\"completion_tokens\":{tokens}}}}}\n\n"
                ));
                events.push("data: [DONE]\n\n".into());
            }
            (chunked(&events, request, true), true)
        }
        Reply::StreamError { parts, problem } => {
            let mut events = part_events(*parts);
            events.push(format!("event: error\ndata: {problem}\n\n"));
            (chunked(&events, request, true), true)
        }
        Reply::Break { parts } => (chunked(&part_events(*parts), request, false), false),
        Reply::Whole { tokens } => {
            let body = format!(
                "{{\"choices\":[{{\"message\":{{\"role\":\"assistant\",\"content\":\"w\"}}}}],\
                 \"usage\":{{\"prompt_tokens\":3,\"completion_tokens\":{tokens}}}}}"
            );
            (plain(200, "application/json", &body, request), true)
        }
        Reply::Problem { status, body } => (
            plain(*status, "application/problem+json", body, request),
            true,
        ),
        Reply::Plain { body } => (plain(200, "application/octet-stream", body, request), true),
        Reply::Close => (String::new(), false),
    }
}

fn part_events(parts: usize) -> Vec<String> {
    let event = |part| {
        format!(
            "id: 2a:{part}\ndata: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"w{part} \"}},\"finish_reason\":null}}]}}\n\n"
        )
    };
    (0..parts).map(event).collect()
}

fn identity(request: &SeenRequest) -> String {
    let id = request.header("idempotency-key").unwrap_or("minted");
    format!("x-guavawell-request: {id}\r\nx-guavawell-attempt: 2a\r\n")
}

fn chunked(events: &[String], request: &SeenRequest, ended: bool) -> String {
    let mut text = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n{}\r\n",
        identity(request)
    );
    for event in events {
        write!(text, "{:x}\r\n{event}\r\n", event.len()).expect("a string takes every write");
    }
    text.push_str(if ended { "0\r\n\r\n" } else { "ff\r\ndata: {" });
    text
}

fn plain(status: u16, media: &str, body: &str, request: &SeenRequest) -> String {
    let identity = identity(request);
    let length = body.len();
    format!(
        "HTTP/1.1 {status} X\r\ncontent-type: {media}\r\ncontent-length: {length}\r\n{identity}\r\n{body}"
    )
}
