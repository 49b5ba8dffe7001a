//! Slots, queue, priorities, prefix cache and load reports of the engine.

use guavawell_core::clock::ClockSpan;
use guavawell_standin::engine::EngineSettings;
use guavawell_standin::fault::FaultChange;
use http_types::Method;
use http_types::Request;
use serde_json::Value;
use serde_json::json;

use crate::env::OpenStream;
use crate::env::TestEnv;
use crate::env::answer_to;

/// Long enough that no test sees its end.
const FOREVER: ClockSpan = ClockSpan::from_millis(3_600_000);

/// An engine with one slot, taken by attempt 1 until it is cancelled.
fn busy_engine(queue: usize) -> (TestEnv, OpenStream) {
    let env = TestEnv::engine(EngineSettings {
        slots: 1,
        queue,
        ..EngineSettings::default()
    });
    set_token_ms(&env, FOREVER.as_millis());
    let mut stream = env.open(env.chat(1, "p", 8));
    stream.next().expect("the first token");
    set_token_ms(&env, 0);
    (env, stream)
}

fn set_token_ms(env: &TestEnv, token_ms: u64) {
    env.set_faults(FaultChange {
        token_ms: Some(token_ms),
        ..FaultChange::default()
    });
}

fn with_priority(mut request: Request, priority: u8) -> Request {
    request.insert_header("x-guavawell-priority", priority.to_string());
    request
}

fn cancel(env: &TestEnv, attempt: u128) -> Value {
    let path = format!("/v1/attempts/{attempt:032x}");
    env.call(env.request(Method::Delete, &path)).json()
}

#[test]
fn full_queue_is_refused_and_was_not_run() {
    let (env, _first) = busy_engine(1);
    let _second = env.open(env.chat(2, "p", 8));
    let reply = env.call(env.chat(3, "p", 8));
    reply.assert_status(503);
    assert_eq!(reply.header("retry-after"), Some("1"));
    env.get(&format!("/v1/attempts/{:032x}", 3))
        .assert_status(404);
    assert_eq!(env.record(2)["state"], "queued");
    assert_eq!(env.running_engine().truth().total, 1);
}

#[test]
fn refused_attempt_may_be_sent_again() {
    let (env, _first) = busy_engine(0);
    env.call(env.chat(3, "p", 8)).assert_status(503);
    cancel(&env, 1);
    env.wait_until(|env| env.get("/v1/load").json()["running"] == 0);
    let reply = env.call(env.chat(3, "p", 8));
    reply.assert_whole(3, 0, &answer_to("p", 8));
}

#[test]
fn released_slot_goes_to_priority_then_arrival() {
    let (env, mut first) = busy_engine(8);
    let order = [(2, 5), (3, 9), (4, 0), (5, 9), (6, 9)];
    let streams: Vec<OpenStream> = order
        .iter()
        .map(|(attempt, priority)| env.open(with_priority(env.chat(*attempt, "p", 8), *priority)))
        .collect();
    assert_eq!(env.get("/v1/load").json()["queued"], 5);
    assert_eq!(cancel(&env, 5)["state"], "cancelled");
    assert_eq!(env.get("/v1/load").json()["queued"], 4);
    assert_eq!(cancel(&env, 1)["state"], "cancelled");
    first.rest();
    for mut stream in streams {
        stream.rest();
    }
    let runs = env.running_engine().truth().runs;
    let ran: Vec<u128> = runs.iter().map(|run| run.attempt.get()).collect();
    assert_eq!(ran, [1, 3, 6, 2, 4]);
}

#[test]
fn load_report_lags() {
    let env = TestEnv::engine(EngineSettings {
        report_interval: FOREVER,
        token_time: FOREVER,
        ..EngineSettings::default()
    });
    let mut stream = env.open(env.chat(1, "p", 8));
    stream.next().expect("the first token");
    let load = env.get("/v1/load").json();
    assert_eq!(load["running"], 0, "the report was made before");
    assert_eq!(load["slots"], 64);
    assert_eq!(load["models"], json!([{ "model": "m", "version": "1" }]));
}

#[test]
fn cached_prefix_shortens_the_first_token() {
    let env = TestEnv::engine(EngineSettings {
        prefill_time: FOREVER,
        cache_limit: 1,
        ..EngineSettings::default()
    });
    let _cold = env.open(env.chat(1, "prefix", 8));
    assert_eq!(env.record(1)["completion_tokens"], 0);
    let warm = env.call(env.chat(2, "prefix", 8));
    warm.assert_whole(2, 0, &answer_to("prefix", 8));
    let _evicting = env.open(env.chat(3, "another", 8));
    let _cold_again = env.open(env.chat(4, "prefix", 8));
    assert_eq!(env.record(4)["completion_tokens"], 0);
}

#[test]
fn cache_events_have_gaps_and_come_late() {
    let env = TestEnv::engine(EngineSettings {
        cache_limit: 2,
        cache_gap: 2,
        ..EngineSettings::default()
    });
    for (attempt, prompt) in [(1, "a"), (2, "b"), (3, "c")] {
        env.call(env.chat(attempt, prompt, 1)).assert_status(200);
    }
    // Stored a, b; evicted a; stored c. Every second one is lost.
    let report = env.get("/v1/cache-events?after=0").json();
    let prefix_of_a = "ca978112ca1bbdca";
    assert_eq!(
        report["events"],
        json!([
            { "seq": 1, "kind": "stored", "prefix": prefix_of_a },
            { "seq": 3, "kind": "evicted", "prefix": prefix_of_a },
        ])
    );
    assert_eq!(report["next"], 4);
    let later = env.get("/v1/cache-events?after=4").json();
    assert_eq!(later, json!({ "events": [], "next": 4 }));
    let of_earlier_life = env.get("/v1/cache-events?after=9").json();
    assert_eq!(of_earlier_life, json!({ "events": [], "next": 4 }));
    let late = TestEnv::engine(EngineSettings {
        cache_lag: FOREVER,
        ..EngineSettings::default()
    });
    late.call(late.chat(1, "a", 1)).assert_status(200);
    let report = late.get("/v1/cache-events?after=0").json();
    assert_eq!(report, json!({ "events": [], "next": 0 }));
}
