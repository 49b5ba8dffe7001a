//! Answers that end before the length that they state.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;

use guavawell_load::LoadHooks;
use guavawell_load::LoadPlan;
use guavawell_load::plan::ArrivalMode;
use guavawell_load::plan::CallKind;
use guavawell_load::plan::RequestProfile;
use guavawell_load::plan::ServiceCall;
use guavawell_load::plan::SizeRange;
use guavawell_load::run;

/// Starts a router whose answers state a length and are cut off.
fn start_router() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut request = [0; 4096];
            let _ = stream.read(&mut request);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort");
        }
    });
    address
}

// Guards against a report that counts a cut answer as a whole one.
#[test]
fn an_answer_that_is_shorter_than_stated_is_incomplete() {
    let plan = LoadPlan {
        targets: Box::new([start_router()]),
        arrival: ArrivalMode::Closed { connections: 1 },
        duration: None,
        requests: Some(5),
        profiles: Box::new([RequestProfile {
            call: CallKind::Service(ServiceCall {
                service: "desk".parse().expect("an id"),
                path: "".into(),
                body_bytes: SizeRange { low: 1, high: 1 },
            }),
            ..RequestProfile::default()
        }]),
        ..LoadPlan::default()
    };
    let report = run(plan, LoadHooks::default()).expect("a plan without findings");
    assert_eq!(report.counts.answered, 0, "{:?}", report.counts.ends);
    assert_eq!(report.counts.incomplete, 5, "{:?}", report.counts.ends);
}
