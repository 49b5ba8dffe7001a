//! The test environment: stand-ins on free loopback ports, calls, assertions.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream as StdStream;

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use guavawell_core::id::AttemptId;
use guavawell_standin::engine::ChatMessage;
use guavawell_standin::engine::Engine;
use guavawell_standin::engine::EngineSettings;
use guavawell_standin::engine::ExpectedAnswer;
use guavawell_standin::engine::expected_answer;
use guavawell_standin::fault::FaultChange;
use guavawell_standin::platform::Platform;
use guavawell_standin::platform::PlatformSettings;
use guavawell_standin::service::Service;
use guavawell_standin::service::ServiceSettings;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::Url;
use serde_json::Value;
use serde_json::json;
use smol::io::AsyncBufReadExt;
use smol::io::AsyncReadExt;
use smol::net::TcpStream;

/// One running stand-in and the calls that tests make.
pub struct TestEnv {
    address: SocketAddr,
    control: SocketAddr,
    running: RunningStandin,
}

/// Holds the stand-in for as long as the test runs.
#[derive(Debug)]
enum RunningStandin {
    Engine(Engine),
    Platform(Platform),
    Service(Service),
}

/// A connection that stays open over several requests.
pub struct KeptConnection {
    stream: StdStream,
}

/// An answer that was read to its end.
#[derive(Debug)]
pub struct TestReply {
    pub status: u16,
    pub body: Vec<u8>,
    headers: Vec<(Box<str>, Box<str>)>,
}

/// One server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TestEvent {
    pub id: Box<str>,
    pub data: Box<str>,
}

/// An answer that is still being read.
pub struct OpenStream {
    response: Response,
}

impl TestEnv {
    pub fn platform(settings: PlatformSettings) -> Self {
        let platform = smol::block_on(Platform::start(settings)).expect("free ports");
        Self {
            address: platform.address(),
            control: platform.control_address(),
            running: RunningStandin::Platform(platform),
        }
    }

    pub fn engine(settings: EngineSettings) -> Self {
        let engine = smol::block_on(Engine::start(settings)).expect("free ports");
        Self {
            address: engine.address(),
            control: engine.control_address(),
            running: RunningStandin::Engine(engine),
        }
    }

    pub fn service(settings: ServiceSettings) -> Self {
        let service = smol::block_on(Service::start(settings)).expect("free ports");
        Self {
            address: service.address(),
            control: service.control_address(),
            running: RunningStandin::Service(service),
        }
    }

    pub fn running_engine(&self) -> &Engine {
        match &self.running {
            RunningStandin::Engine(engine) => engine,
            other => panic!("no engine runs here but {other:?}"),
        }
    }

    pub fn running_platform(&self) -> &Platform {
        match &self.running {
            RunningStandin::Platform(platform) => platform,
            other => panic!("no platform runs here but {other:?}"),
        }
    }

    pub fn running_service(&self) -> &Service {
        match &self.running {
            RunningStandin::Service(service) => service,
            other => panic!("no service runs here but {other:?}"),
        }
    }

    /// The truth log over the control address.
    pub fn truth(&self) -> Value {
        self.control(Method::Get, "/truth", &Value::Null).json()
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends one call on a connection of its own; `None` if it closes without an answer.
    pub fn try_call(&self, request: Request) -> Option<TestReply> {
        smol::block_on(async {
            let stream = TcpStream::connect(self.address).await.ok()?;
            read_reply(exchange(stream, request).await?).await
        })
    }

    pub fn call(&self, request: Request) -> TestReply {
        self.try_call(request).expect("an answer")
    }

    pub fn get(&self, path: &str) -> TestReply {
        self.call(self.request(Method::Get, path))
    }

    pub fn post(&self, path: &str, body: &Value) -> TestReply {
        self.call(self.json_request(Method::Post, path, body))
    }

    pub fn request(&self, method: Method, path: &str) -> Request {
        request_to(self.address, method, path)
    }

    pub fn json_request(&self, method: Method, path: &str, body: &Value) -> Request {
        let mut request = self.request(method, path);
        request.set_body(body.to_string());
        request
    }

    /// Calls the control address.
    pub fn control(&self, method: Method, path: &str, body: &Value) -> TestReply {
        let mut request = request_to(self.control, method, path);
        request.set_body(body.to_string());
        smol::block_on(async {
            let stream = TcpStream::connect(self.control).await.expect("control");
            let response = exchange(stream, request).await.expect("control");
            read_reply(response).await.expect("control")
        })
    }

    /// Sets fault switches over the control address.
    pub fn set_faults(&self, change: FaultChange) {
        let body = serde_json::to_value(change).expect("a change is plain data");
        let reply = self.control(Method::Put, "/faults", &body);
        assert_eq!(reply.status, 200, "{}", reply.text());
    }

    /// A streaming chat request.
    pub fn chat(&self, attempt: u128, prompt: &str, max_tokens: u64) -> Request {
        let body = json!({
            "model": "m",
            "messages": [{ "role": "user", "content": prompt }],
            "max_tokens": max_tokens,
            "stream": true,
            "stream_options": { "include_usage": true },
        });
        let mut request = self.json_request(Method::Post, "/v1/chat/completions", &body);
        request.insert_header("x-guavawell-attempt", AttemptId::new(attempt).to_string());
        request
    }

    /// Sends a request and leaves its answer open.
    pub fn open(&self, request: Request) -> OpenStream {
        let response = smol::block_on(async {
            let stream = TcpStream::connect(self.address).await.expect("a listener");
            exchange(stream, request).await.expect("an answer")
        });
        OpenStream { response }
    }

    pub fn record(&self, attempt: u128) -> Value {
        let path = format!("/v1/attempts/{}", AttemptId::new(attempt));
        self.get(&path).json()
    }

    /// Waits until `holds` is true; the test runner's own limit ends it otherwise.
    pub fn wait_until(&self, holds: impl Fn(&Self) -> bool) {
        while !holds(self) {
            std::thread::yield_now();
        }
    }

    /// Runs a transaction and returns whether it succeeded.
    pub fn txn(&self, compare: &Value, success: &Value, failure: &Value) -> Value {
        let body = json!({ "compare": compare, "success": success, "failure": failure });
        let reply = self.post("/v3/kv/txn", &body);
        assert_eq!(reply.status, 200, "{}", reply.text());
        reply.json()
    }
}

impl KeptConnection {
    pub fn open(env: &TestEnv) -> Self {
        Self {
            stream: StdStream::connect(env.address).expect("a listener"),
        }
    }

    /// Sends `GET path` without reading the answer.
    pub fn send(&mut self, env: &TestEnv, path: &str) {
        self.send_request(env.request(Method::Get, path));
    }

    /// Sends a request without reading the answer.
    pub fn send_request(&mut self, mut request: Request) {
        let body = smol::block_on(request.body_bytes()).expect("a body in memory");
        let path = request.url().path();
        let version = "HTTP/1.1\r\nhost: t";
        let mut head = vec![format!("{} {path} {version}", request.method())];
        head.extend(
            request
                .iter()
                .map(|(name, value)| format!("{name}: {}", value.as_str())),
        );
        head.push(format!("content-length: {}\r\n\r\n", body.len()));
        let head = head.join("\r\n");
        self.stream.write_all(head.as_bytes()).expect("an open end");
        self.stream.write_all(&body).expect("an open end");
    }

    /// Sends `GET path` and reads the first bytes of the answer.
    pub fn answers(&mut self, env: &TestEnv, path: &str) -> bool {
        self.send(env, path);
        let mut bytes = [0; 4096];
        self.stream.read(&mut bytes).is_ok_and(|read| read > 0)
    }

    /// Takes everything that has come so far.
    pub fn drain(&mut self) {
        while !self.is_silent() {}
    }

    /// True if the connection is open and has given nothing.
    pub fn is_silent(&mut self) -> bool {
        self.stream.set_nonblocking(true).expect("a socket");
        let read = self.stream.read(&mut [0; 4096]);
        self.stream.set_nonblocking(false).expect("a socket");
        read.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// Waits for the other side's end of the connection.
    pub fn is_closed(&mut self) -> bool {
        match self.stream.read(&mut [0; 4096]) {
            Ok(read) => read == 0,
            Err(error) => error.kind() == ErrorKind::ConnectionReset,
        }
    }
}

impl TestReply {
    pub fn text(&self) -> Box<str> {
        String::from_utf8_lossy(&self.body).into()
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("a JSON body")
    }

    pub fn events(&self) -> Vec<TestEvent> {
        self.text().split_terminator("\n\n").map(event).collect()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| &**known == name)
            .map(|(_, value)| &**value)
    }

    pub fn assert_status(&self, status: u16) {
        assert_eq!(self.status, status, "{}", self.text());
    }

    /// Asserts a whole stream of `attempt` from sequence number `first` on.
    pub fn assert_whole(&self, attempt: u128, first: u64, answer: &ExpectedAnswer) {
        self.assert_status(200);
        let events = self.events();
        for (sequence, event) in (first..).zip(&events) {
            assert_eq!(&*event.id, event_id(attempt, sequence));
        }
        assert_eq!(&*events.last().expect("events").data, "[DONE]");
        let skipped = usize::try_from(first).expect("a small number") * 7;
        assert_eq!(contents(&events), answer.text[skipped..]);
    }
}

impl OpenStream {
    /// Reads the next event; `None` at the end.
    pub fn next(&mut self) -> Option<TestEvent> {
        smol::block_on(async {
            let mut text = String::new();
            while !text.ends_with("\n\n") {
                let mut line = String::new();
                let read = self.response.read_line(&mut line).await.ok()?;
                if read == 0 {
                    return None;
                }
                text.push_str(&line);
            }
            Some(event(text.trim_end()))
        })
    }

    /// Reads to the end.
    pub fn rest(&mut self) -> Vec<TestEvent> {
        std::iter::from_fn(|| self.next()).collect()
    }
}

/// The answer expected to one user message.
pub fn answer_to(prompt: &str, max_tokens: u64) -> ExpectedAnswer {
    let message = ChatMessage {
        role: "user".into(),
        content: prompt.into(),
    };
    expected_answer(&[message], max_tokens)
}

/// All contents of events, one after the other.
pub fn contents(events: &[TestEvent]) -> String {
    let chunks = events.iter().filter_map(|event| {
        let chunk: Value = serde_json::from_str(&event.data).ok()?;
        let content = chunk["choices"][0]["delta"]["content"].as_str()?;
        Some(content.to_owned())
    });
    chunks.collect()
}

pub fn event_id(attempt: u128, sequence: u64) -> String {
    format!("{}:{sequence}", AttemptId::new(attempt))
}

pub fn base64(text: &str) -> Value {
    BASE64_STANDARD.encode(text).into()
}

fn event(text: &str) -> TestEvent {
    let field = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.unwrap_or_default().into()
    };
    TestEvent {
        id: field("id: "),
        data: field("data: "),
    }
}

fn request_to(address: SocketAddr, method: Method, path: &str) -> Request {
    let url = format!("http://{address}{path}");
    Request::new(method, Url::parse(&url).expect("a path"))
}

async fn exchange(stream: TcpStream, request: Request) -> Option<Response> {
    async_h1::connect(stream, request).await.ok()
}

async fn read_reply(mut response: Response) -> Option<TestReply> {
    let mut body = Vec::new();
    response.read_to_end(&mut body).await.ok()?;
    let headers = response
        .iter()
        .map(|(name, value)| (name.as_str().into(), value.as_str().into()))
        .collect();
    Some(TestReply {
        status: response.status().into(),
        body,
        headers,
    })
}
