//! Backend servers that close a connection within an answer of a stated length.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use guavawell_core::id::AttemptId;
use guavawell_fleet::engine::EngineClient;
use guavawell_fleet::engine::EngineError;
use guavawell_fleet::engine::EngineRequest;
use guavawell_fleet::engine::EngineSettings;

const BODY: &str = "0123456789";

/// Starts a server that states the length of [`BODY`] and sends `count` bytes of it.
fn start_server(count: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut request = [0; 4096];
            let _ = stream.read(&mut request);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", BODY.len());
            let _ = stream.write_all((head + &BODY[..count]).as_bytes());
        }
    });
    address
}

fn request() -> EngineRequest {
    EngineRequest {
        attempt: AttemptId::new(1),
        request: "r-1".parse().expect("an id"),
        organisation: "acme".parse().expect("an id"),
        path: "/v1/check".into(),
        body: Arc::from(&b"{}"[..]),
        priority: 5,
        fence: None,
        reuse: false,
    }
}

fn call(count: usize) -> Result<Vec<u8>, EngineError> {
    let client = EngineClient::new(EngineSettings::default());
    let wait = Duration::from_secs(5);
    let (address, request) = (start_server(count), request());
    let answer = client.call_service(address, &request, wait);
    let answer = smol::block_on(answer)?;
    Ok(answer.body)
}

// Guards against a cut answer that is given to its caller as a whole one.
#[test]
fn an_answer_that_is_shorter_than_stated_is_lost() {
    for count in [0, 1, BODY.len() - 1] {
        let result = call(count);
        assert!(
            matches!(result, Err(EngineError::Lost(_))),
            "{count}: {result:?}"
        );
    }
    assert_eq!(call(BODY.len()).expect("an answer"), BODY.as_bytes());
}
