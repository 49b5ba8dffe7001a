//! Each fault switch, shown to act.

use std::io::ErrorKind;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use guavawell_core::clock::ClockSpan;
use guavawell_standin::engine::EngineSettings;
use guavawell_standin::fault::FaultChange;
use guavawell_standin::platform::PlatformSettings;
use guavawell_standin::service::ServiceSettings;
use guavawell_standin::service::expected_reply;
use http_types::Method;
use serde_json::Value;
use serde_json::json;

use crate::env::KeptConnection;
use crate::env::TestEnv;
use crate::env::answer_to;
use crate::env::base64;
use crate::env::contents;
use crate::env::event_id;

/// Long enough that no test sees its end.
const FOREVER: u64 = 3_600_000;

fn platform() -> TestEnv {
    TestEnv::platform(PlatformSettings::default())
}

fn engine() -> TestEnv {
    TestEnv::engine(EngineSettings::default())
}

fn service() -> TestEnv {
    TestEnv::service(ServiceSettings::default())
}

fn put(key: &str) -> Value {
    let put = json!({ "key": base64(key), "value": base64("v") });
    json!({ "success": [{ "requestPut": put }] })
}

fn try_put(env: &TestEnv, key: &str) -> Option<u16> {
    let request = env.json_request(Method::Post, "/v3/kv/txn", &put(key));
    env.try_call(request).map(|reply| reply.status)
}

fn has_row(env: &TestEnv, key: &str) -> bool {
    env.running_platform().row(key).is_some()
}

#[test]
fn outage_answers_503_to_everything() {
    let change = FaultChange {
        outage: Some(true),
        ..FaultChange::default()
    };
    for (env, path) in [
        (platform(), "/bucket/key"),
        (engine(), "/v1/load"),
        (service(), "/v1/load"),
    ] {
        env.set_faults(change);
        env.get(path).assert_status(503);
        env.post("/v3/kv/txn", &put("k")).assert_status(503);
        env.set_faults(FaultChange {
            outage: Some(false),
            ..FaultChange::default()
        });
        assert_ne!(env.get(path).status, 503);
    }
}

#[test]
fn switches_left_out_keep_their_values() {
    let env = engine();
    env.control(Method::Put, "/faults", &json!({ "token_ms": 3 }));
    env.control(Method::Put, "/faults", &json!({ "late_frames": 2 }));
    let faults = env.control(Method::Get, "/faults", &Value::Null).json();
    assert_eq!(faults["token_ms"], 3);
    assert_eq!(faults["late_frames"], 2);
    let reply = env.control(Method::Put, "/faults", &json!({ "no_such": 1 }));
    reply.assert_status(400);
}

#[test]
fn lost_answer_of_a_write_took_effect() {
    let env = platform();
    env.set_faults(FaultChange {
        lose_answers: Some(1),
        ..FaultChange::default()
    });
    assert_eq!(try_put(&env, "k"), None);
    assert!(has_row(&env, "k"));
    assert_eq!(try_put(&env, "l"), Some(200));
}

#[test]
fn lost_answer_of_an_object_took_effect() {
    let env = platform();
    env.set_faults(FaultChange {
        lose_answers: Some(1),
        ..FaultChange::default()
    });
    let mut request = env.request(Method::Put, "/bucket/key");
    request.set_body("content");
    assert!(env.try_call(request).is_none());
    assert_eq!(env.get("/bucket/key").body, b"content");
}

#[test]
fn refused_write_has_no_effect() {
    let env = platform();
    env.set_faults(FaultChange {
        refuse_writes: Some(2),
        ..FaultChange::default()
    });
    assert_eq!(try_put(&env, "k"), None);
    assert_eq!(try_put(&env, "k"), None);
    assert!(!has_row(&env, "k"));
    assert_eq!(try_put(&env, "k"), Some(200));
}

#[test]
fn silent_platform_connections_stay_silent_while_new_ones_work() {
    let env = platform();
    let mut old = KeptConnection::open(&env);
    assert!(old.answers(&env, "/bucket/key"));
    env.set_faults(FaultChange {
        silent: Some(true),
        ..FaultChange::default()
    });
    env.get("/bucket/key").assert_status(404);
    env.set_faults(FaultChange {
        silent: Some(false),
        ..FaultChange::default()
    });
    old.send(&env, "/bucket/key");
    env.get("/bucket/key").assert_status(404);
    assert!(old.is_silent());
}

#[test]
fn silent_engine_streams_stop_while_new_ones_work() {
    let env = TestEnv::engine(EngineSettings {
        token_time: ClockSpan::from_millis(1),
        ..EngineSettings::default()
    });
    let mut old = KeptConnection::open(&env);
    old.send_request(env.chat(1, "p", 100_000));
    env.wait_until(|env| env.get("/v1/load").json()["running"] == 1);
    env.set_faults(FaultChange {
        silent: Some(true),
        ..FaultChange::default()
    });
    old.drain();
    let produced = |env: &TestEnv| env.record(1)["completion_tokens"].as_u64().unwrap();
    let before = produced(&env);
    env.wait_until(|env| produced(env) > before + 2);
    assert!(
        old.is_silent(),
        "the attempt goes on, its connection does not"
    );
    let reply = env.call(env.chat(2, "q", 4));
    reply.assert_whole(2, 0, &answer_to("q", 4));
}

#[test]
fn lost_answer_of_an_attempt_ran() {
    let env = engine();
    env.set_faults(FaultChange {
        lose_answers: Some(1),
        ..FaultChange::default()
    });
    assert!(env.try_call(env.chat(1, "p", 8)).is_none());
    assert_eq!(env.record(1)["state"], "done");
    let reply = env.get(&format!("/v1/attempts/{:032x}/stream", 1));
    reply.assert_whole(1, 0, &answer_to("p", 8));
}

#[test]
fn late_frame_replays_another_attempt_first() {
    let env = engine();
    env.set_faults(FaultChange {
        late_frames: Some(1),
        ..FaultChange::default()
    });
    let events = env.call(env.chat(5, "p", 8)).events();
    assert_eq!(&*events[0].id, event_id(4, 0));
    assert_eq!(&*events[1].id, event_id(5, 0));
    assert_ne!(events[0].data, events[1].data);
    assert_ne!(contents(&events[..1]), contents(&events[1..2]));
    let reply = env.call(env.chat(6, "p", 8));
    reply.assert_whole(6, 0, &answer_to("p", 8));
}

#[test]
fn crossed_frame_lies_in_the_middle() {
    let env = engine();
    env.set_faults(FaultChange {
        crossed_frames: Some(1),
        ..FaultChange::default()
    });
    let events = env.call(env.chat(5, "p", 8)).events();
    let foreign: Vec<usize> = (0..events.len())
        .filter(|index| !events[*index].id.starts_with(&format!("{:032x}", 5)))
        .collect();
    assert_eq!(foreign.len(), 1);
    assert!(foreign[0] > 0 && foreign[0] < events.len() - 2);
    let mut own = events.clone();
    let crossed = own.remove(foreign[0]);
    assert_eq!(contents(&own), *answer_to("p", 8).text);
    assert_ne!(
        contents(&[crossed]),
        contents(&own[foreign[0]..=foreign[0]])
    );
}

#[test]
fn skipped_frame_leaves_a_gap() {
    let env = engine();
    env.set_faults(FaultChange {
        skip_frames: Some(1),
        ..FaultChange::default()
    });
    let events = env.call(env.chat(5, "p", 8)).events();
    let tokens = answer_to("p", 8).completion_tokens;
    let expected: Vec<String> = (0..tokens + 2)
        .filter(|sequence| *sequence != tokens / 2)
        .map(|sequence| event_id(5, sequence))
        .collect();
    let ids: Vec<&str> = events.iter().map(|event| &*event.id).collect();
    assert_eq!(ids, expected);
}

#[test]
fn slow_tokens_leave_the_attempt_running_after_its_first() {
    let env = engine();
    env.set_faults(FaultChange {
        token_ms: Some(FOREVER),
        ..FaultChange::default()
    });
    let mut stream = env.open(env.chat(1, "p", 8));
    assert_eq!(&*stream.next().unwrap().id, event_id(1, 0));
    assert_eq!(env.record(1)["completion_tokens"], 1);
}

#[test]
fn delay_holds_the_first_token_back() {
    let env = engine();
    env.set_faults(FaultChange {
        delay_ms: Some(FOREVER),
        ..FaultChange::default()
    });
    let _stream = env.open(env.chat(1, "p", 8));
    let record = env.record(1);
    assert_eq!(record["state"], "running");
    assert_eq!(record["completion_tokens"], 0);
}

#[test]
fn delay_holds_every_platform_answer_back() {
    let env = platform();
    env.set_faults(FaultChange {
        delay_ms: Some(20),
        ..FaultChange::default()
    });
    let start = Instant::now();
    env.get("/bucket/key").assert_status(404);
    // A timer never fires early, however busy the machine is.
    assert!(start.elapsed() >= Duration::from_millis(20));
}

#[test]
fn crash_drops_connections_refuses_new_ones_and_forgets() {
    for env in [engine(), service()] {
        env.call(env.chat(1, "p", 8)).assert_status(200);
        let mut old = KeptConnection::open(&env);
        assert!(old.answers(&env, "/v1/load"));
        env.set_faults(FaultChange {
            crash: Some(true),
            ..FaultChange::default()
        });
        assert!(old.is_closed());
        let refused = TcpStream::connect(env.address()).unwrap_err();
        assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
        env.set_faults(FaultChange {
            crash: Some(false),
            ..FaultChange::default()
        });
        let record = env.get(&format!("/v1/attempts/{:032x}", 1));
        record.assert_status(404);
        assert_eq!(env.truth()["total"], 1, "the truth outlasts a crash");
    }
}

#[test]
fn crash_ends_running_streams() {
    let env = TestEnv::engine(EngineSettings {
        token_time: ClockSpan::from_millis(FOREVER),
        ..EngineSettings::default()
    });
    let mut stream = env.open(env.chat(1, "p", 8));
    stream.next().expect("the first token");
    env.set_faults(FaultChange {
        crash: Some(true),
        ..FaultChange::default()
    });
    assert!(stream.next().is_none());
    assert_eq!(env.truth()["runs"][0]["completion_tokens"], 1);
}

#[test]
fn lost_answer_of_a_service_ran_once() {
    let env = service();
    env.set_faults(FaultChange {
        lose_answers: Some(1),
        ..FaultChange::default()
    });
    let request = env.json_request(Method::Post, "/cancel", &json!(1));
    assert!(env.try_call(request).is_none());
    assert_eq!(env.running_service().truth().total, 1);
    let reply = env.post("/cancel", &json!(1));
    assert_eq!(reply.text(), expected_reply(b"1"));
}

#[test]
fn list_lag_hides_the_newest_list() {
    let env = platform();
    let list = json!([{ "instance": "r1", "zone": "tln-a", "address": "127.0.0.1:7001" }]);
    env.control(Method::Put, "/instances", &list);
    let path = "/apis/discovery.k8s.io/v1/namespaces/default/endpointslices";
    let seen = |env: &TestEnv| env.get(path).json()["items"][0]["endpoints"].clone();
    assert_eq!(seen(&env)[0]["targetRef"]["name"], "r1");
    env.set_faults(FaultChange {
        list_lag_ms: Some(FOREVER),
        ..FaultChange::default()
    });
    assert_eq!(seen(&env), json!([]));
}
