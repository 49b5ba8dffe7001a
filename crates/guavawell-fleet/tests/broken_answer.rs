//! Backend servers whose answers are none in the protocol, or of a rare shape.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use guavawell_core::id::AttemptId;
use guavawell_fleet::engine::EngineClient;
use guavawell_fleet::engine::EngineError;
use guavawell_fleet::engine::EngineRequest;
use guavawell_fleet::engine::EngineSettings;

/// Body of the requests.
const BODY: &[u8] = b"{}";

/// Starts a server that sends these bytes and closes the connection.
fn start_server(answer: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            read_request(&mut stream);
            let _ = stream.write_all(&answer);
        }
    });
    address
}

/// Reads a request whole: a connection that is closed with unread bytes is reset.
fn read_request(stream: &mut TcpStream) {
    let mut request = Vec::new();
    let mut part = [0; 4096];
    while !request.ends_with(BODY) {
        match stream.read(&mut part) {
            Ok(count @ 1..) => request.extend_from_slice(&part[..count]),
            _ => return,
        }
    }
}

/// A request that may be sent on an idle connection or not.
fn request(reuse: bool) -> EngineRequest {
    EngineRequest {
        attempt: AttemptId::new(1),
        request: "r-1".parse().expect("an id"),
        organisation: "acme".parse().expect("an id"),
        path: "/v1/check".into(),
        body: Arc::from(BODY),
        priority: 5,
        fence: None,
        reuse,
    }
}

/// Calls a plain service whose server answers so. Returns status and body.
fn call(answer: &str) -> Result<(u16, String), EngineError> {
    let client = EngineClient::new(EngineSettings::default());
    let address = start_server(answer.as_bytes().to_vec());
    let wait = Duration::from_secs(5);
    let answer = smol::block_on(client.call_service(address, &request(false), wait))?;
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    Ok((answer.status, body))
}

/// Answers that are none in the protocol.
const BROKEN: [&str; 20] = [
    "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 101 Switching\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX Note: a\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX-Note : a\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX\0Note: a\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX-Note: a\n\nX: b\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Note: a\r\n\r\n",
    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "",
];

// Guards against an answer that is none and that is given to a caller as one, with a body
// that its server did not send.
#[test]
fn a_broken_answer_is_lost() {
    let passed: Vec<_> = BROKEN
        .iter()
        .map(|answer| (answer, call(answer)))
        .filter(|(_, result)| !matches!(result, Err(EngineError::Lost(_))))
        .collect();
    assert!(passed.is_empty(), "{passed:#?}");
}

/// Answers of rare shapes whose body is `ok`.
const SOUND: [&str; 11] = [
    "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX-Note: caf\u{e9}\r\nContent-Type: \u{e9}\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX-Note:\r\ncontent-length: 2\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\nX-Sum: a\r\n\r\n",
    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
];

// Guards against a sound answer that is lost, cut short, or ends its reader.
#[test]
fn a_sound_answer_of_a_rare_shape_is_whole() {
    for answer in SOUND {
        let result = std::panic::catch_unwind(|| call(answer));
        let (status, body) = result.expect(answer).expect(answer);
        assert_eq!((status, &*body), (200, "ok"), "{answer:?}");
    }
}

/// Time between an interim answer and the answer.
const PAUSE: Duration = Duration::from_millis(100);

// Guards against an interim answer that is taken for the answer, so that the next call on
// the connection gets the answer to this one.
#[test]
fn an_interim_answer_does_not_shift_those_to_later_calls() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        for body in ["one", "two"] {
            read_request(&mut stream);
            let _ = stream.write_all(b"HTTP/1.1 103 Early Hints\r\n\r\n");
            thread::sleep(PAUSE);
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{body}");
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    let client = EngineClient::new(EngineSettings::default());
    for body in ["one", "two"] {
        let message = request(true);
        let called = client.call_service(address, &message, Duration::from_secs(5));
        let answer = smol::block_on(called).expect("an answer");
        assert_eq!(answer.body, body.as_bytes());
    }
}

// Guards against a stream that counts as certainly not run because of a status that does
// not say so.
#[test]
fn only_a_refusal_says_that_a_stream_did_not_run() {
    for (status, is_refusal) in [(201, false), (302, false), (500, false), (429, true)] {
        let answer = format!("HTTP/1.1 {status} S\r\nContent-Length: 0\r\n\r\n");
        let address = start_server(answer.into_bytes());
        let client = EngineClient::new(EngineSettings::default());
        let message = request(false);
        let sent = client.send(address, &message, Duration::from_secs(5));
        let error = smol::block_on(sent).expect_err("no stream");
        assert_eq!(error.certainly_not_run(), is_refusal, "{error}");
    }
}
