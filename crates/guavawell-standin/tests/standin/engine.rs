//! The engine without faults.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::TcpListener;

use guavawell_core::clock::ClockSpan;
use guavawell_standin::engine::EngineSettings;
use guavawell_standin::fault::FaultChange;
use http_types::Method;
use serde_json::json;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use crate::env::TestEnv;
use crate::env::answer_to;
use crate::env::event_id;

fn env() -> TestEnv {
    TestEnv::engine(EngineSettings::default())
}

#[test]
fn stream_carries_expected_answer_and_usage() {
    let env = env();
    let reply = env.call(env.chat(0x2a, "draft a cancellation statement", 20));
    let answer = answer_to("draft a cancellation statement", 20);
    reply.assert_whole(0x2a, 0, &answer);
    assert_eq!(reply.header("content-type"), Some("text/event-stream"));
    let events = reply.events();
    let usage: serde_json::Value = serde_json::from_str(&events[events.len() - 2].data).unwrap();
    assert_eq!(usage["usage"]["prompt_tokens"], 8);
    assert_eq!(
        usage["usage"]["completion_tokens"],
        answer.completion_tokens
    );
    assert!(answer.completion_tokens <= 20);
}

#[test]
fn tokens_leave_one_by_one_until_cancelled() {
    let settings = EngineSettings {
        token_time: ClockSpan::from_millis(3_600_000),
        ..EngineSettings::default()
    };
    let env = TestEnv::engine(settings);
    let mut stream = env.open(env.chat(1, "p", 400));
    let first = stream.next().expect("a first token");
    assert_eq!(&*first.id, event_id(1, 0));
    assert_eq!(env.record(1)["state"], "running");
    let path = format!("/v1/attempts/{:032x}", 1);
    let record = env.call(env.request(Method::Delete, &path)).json();
    assert_eq!(record["state"], "cancelled");
    assert_eq!(record["completion_tokens"], 1);
    assert_eq!(stream.rest(), [], "no end marker after a cancellation");
}

#[test]
fn answer_without_stream_is_the_same() {
    let env = env();
    let body = json!({
        "model": "m", "max_tokens": 9,
        "messages": [{ "role": "user", "content": "p" }],
    });
    let reply = env.post("/v1/chat/completions", &body).json();
    let content = &reply["choices"][0]["message"]["content"];
    assert_eq!(content.as_str(), Some(&*answer_to("p", 9).text));
}

#[test]
fn record_tells_tokens() {
    let env = env();
    env.call(env.chat(7, "abcdefgh", 10));
    let record = env.record(7);
    assert_eq!(record["state"], "done");
    assert_eq!(record["prompt_tokens"], 2);
    let tokens = answer_to("abcdefgh", 10).completion_tokens;
    assert_eq!(record["completion_tokens"], tokens);
    let unseen = format!("/v1/attempts/{:032x}", 8);
    env.get(&unseen).assert_status(404);
}

#[test]
fn second_send_of_an_attempt_does_not_run() {
    let env = env();
    env.call(env.chat(7, "p", 10)).assert_status(200);
    env.call(env.chat(7, "p", 10)).assert_status(409);
    assert_eq!(env.running_engine().truth().total, 1);
}

#[test]
fn cancel_before_first_send_keeps_it_from_running() {
    let env = env();
    let path = format!("/v1/attempts/{:032x}", 9);
    let record = env.call(env.request(Method::Delete, &path)).json();
    assert_eq!(record["state"], "cancelled");
    env.call(env.chat(9, "p", 10)).assert_status(410);
    assert_eq!(env.running_engine().truth().total, 0);
}

#[test]
fn unknown_model_is_refused() {
    let env = env();
    let body = json!({ "model": "other", "messages": [] });
    env.post("/v1/chat/completions", &body).assert_status(404);
}

#[test]
fn stream_resumes_after_the_last_event_seen() {
    let env = env();
    env.call(env.chat(7, "p", 10)).assert_status(200);
    let answer = answer_to("p", 10);
    let path = format!("/v1/attempts/{:032x}/stream", 7);
    env.get(&path).assert_whole(7, 0, &answer);
    for seen in 0..answer.completion_tokens {
        let mut request = env.request(Method::Get, &path);
        request.insert_header("last-event-id", event_id(7, seen));
        env.call(request).assert_whole(7, seen + 1, &answer);
    }
    env.get(&format!("/v1/attempts/{:032x}/stream", 8))
        .assert_status(404);
}

#[test]
fn attempt_goes_on_after_its_caller_is_gone() {
    let settings = EngineSettings {
        token_time: ClockSpan::from_millis(1),
        ..EngineSettings::default()
    };
    let env = TestEnv::engine(settings);
    let mut stream = env.open(env.chat(7, "p", 10));
    let first = stream.next().expect("a first token");
    drop(stream);
    let path = format!("/v1/attempts/{:032x}/stream", 7);
    let mut request = env.request(Method::Get, &path);
    request.insert_header("last-event-id", &*first.id);
    env.call(request).assert_whole(7, 1, &answer_to("p", 10));
    assert_eq!(env.running_engine().truth().total, 1);
}

#[test]
fn truth_names_request_and_organisation() {
    let env = env();
    let mut request = env.chat(7, "p", 10);
    request.insert_header("x-guavawell-request", "key-1");
    request.insert_header("x-guavawell-organisation", "kivisild");
    env.call(request).assert_status(200);
    let run = &env.truth()["runs"][0];
    assert_eq!(run["request"], "key-1");
    assert_eq!(run["organisation"], "kivisild");
    assert_eq!(run["attempt"], format!("{:032x}", 7));
}

#[test]
fn oldest_records_are_forgotten_and_lost_truth_is_counted() {
    let env = TestEnv::engine(EngineSettings {
        record_limit: 1,
        truth_limit: 1,
        ..EngineSettings::default()
    });
    // Ids that differ by a multiple of the shards share the one place of theirs.
    for attempt in [1, 1 + 64] {
        env.call(env.chat(attempt, "p", 4)).assert_status(200);
    }
    env.get(&format!("/v1/attempts/{:032x}", 1))
        .assert_status(404);
    assert_eq!(env.record(1 + 64)["state"], "done");
    let truth = env.running_engine().truth();
    assert_eq!((truth.total, truth.dropped), (2, 1));
}

#[test]
fn many_engines_fit_into_one_process() {
    let engines: Vec<TestEnv> = (0..200).map(|_| env()).collect();
    for (attempt, engine) in (1..).zip(&engines) {
        let reply = engine.call(engine.chat(attempt, "p", 4));
        reply.assert_whole(attempt, 0, &answer_to("p", 4));
    }
}

#[test]
fn stopped_engine_leaves_its_addresses() {
    // An address of its own: no other test can take the freed port.
    let env = TestEnv::engine(EngineSettings {
        listen: SocketAddr::from(([127, 0, 7, 1], 0)),
        ..EngineSettings::default()
    });
    env.call(env.chat(1, "p", 4)).assert_status(200);
    smol::block_on(env.running_engine().stop());
    assert!(env.try_call(env.chat(2, "p", 4)).is_none());
    assert!(TcpListener::bind(env.address()).is_ok());
}

#[test]
fn crashed_engine_keeps_its_port() {
    let env = env();
    env.set_faults(FaultChange {
        crash: Some(true),
        ..FaultChange::default()
    });
    let other = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let taken = other.bind(&env.address().into()).unwrap_err();
    assert_eq!(taken.kind(), ErrorKind::AddrInUse);
    env.set_faults(FaultChange {
        crash: Some(false),
        ..FaultChange::default()
    });
    env.call(env.chat(1, "p", 4)).assert_status(200);
}
