//! Orders to the engine and fencing numbers.

use guavawell_core::clock::ClockSpan;
use guavawell_standin::engine::EngineSettings;
use serde_json::Value;
use serde_json::json;

use crate::env::TestEnv;

fn load(order: &str, fence: u64, model: &str) -> Value {
    json!({ "order": order, "fence": fence, "kind": "load", "model": model, "version": "2" })
}

fn send(env: &TestEnv, order: &Value) -> u16 {
    env.post("/v1/orders", order).status
}

fn report(env: &TestEnv) -> Value {
    env.get("/v1/orders").json()
}

#[test]
fn loaded_model_is_served_and_unloaded_is_not() {
    let env = TestEnv::engine(EngineSettings::default());
    let chat = json!({ "model": "n", "messages": [] });
    env.post("/v1/chat/completions", &chat).assert_status(404);
    assert_eq!(send(&env, &load("o1", 1, "n")), 200);
    env.post("/v1/chat/completions", &chat).assert_status(200);
    let unload =
        json!({ "order": "o2", "fence": 2, "kind": "unload", "model": "n", "version": "2" });
    assert_eq!(send(&env, &unload), 200);
    env.post("/v1/chat/completions", &chat).assert_status(404);
    let role = json!({ "order": "o3", "fence": 3, "kind": "role", "role": "prefill" });
    assert_eq!(send(&env, &role), 200);
    let report = report(&env);
    assert_eq!(report["role"], "prefill");
    assert_eq!(report["fence"], 3);
    assert_eq!(report["applied"], json!(["o1", "o2", "o3"]));
    assert_eq!(env.get("/v1/load").json()["role"], "prefill");
}

#[test]
fn loading_takes_time() {
    let env = TestEnv::engine(EngineSettings {
        load_time: ClockSpan::from_millis(3_600_000),
        ..EngineSettings::default()
    });
    assert_eq!(send(&env, &load("o1", 1, "n")), 200);
    let report = report(&env);
    assert_eq!(report["loading"], json!([{ "model": "n", "version": "2" }]));
    assert_eq!(report["models"], json!([{ "model": "m", "version": "1" }]));
}

#[test]
fn load_ends_after_its_time() {
    let env = TestEnv::engine(EngineSettings {
        load_time: ClockSpan::from_millis(1),
        ..EngineSettings::default()
    });
    assert_eq!(send(&env, &load("o1", 1, "n")), 200);
    env.wait_until(|env| report(env)["loading"] == json!([]));
    assert_eq!(report(&env)["models"][1]["model"], "n");
}

#[test]
fn enforced_fence_refuses_old_orders_and_applies_once() {
    let env = TestEnv::engine(EngineSettings::default());
    assert_eq!(send(&env, &load("o2", 2, "n")), 200);
    assert_eq!(send(&env, &load("o2", 2, "n")), 200);
    assert_eq!(send(&env, &load("o1", 1, "k")), 409);
    let report = report(&env);
    assert_eq!(report["applied"], json!(["o2"]));
    assert_eq!(report["fence"], 2);
}

#[test]
fn ignored_fence_applies_whatever_is_sent() {
    let env = TestEnv::engine(EngineSettings {
        fence_orders: false,
        ..EngineSettings::default()
    });
    assert_eq!(send(&env, &load("o2", 2, "n")), 200);
    assert_eq!(send(&env, &load("o2", 2, "n")), 200);
    assert_eq!(send(&env, &load("o1", 1, "k")), 200);
    let report = report(&env);
    assert_eq!(report["applied"], json!(["o2", "o2", "o1"]));
    assert_eq!(report["fence"], 2);
}

#[test]
fn incomplete_order_is_refused_and_not_applied() {
    let env = TestEnv::engine(EngineSettings::default());
    let order = json!({ "order": "o1", "fence": 1, "kind": "load", "model": "n" });
    assert_eq!(send(&env, &order), 400);
    assert_eq!(report(&env)["applied"], json!([]));
}

#[test]
fn request_fence_is_checked_only_where_configured() {
    for (fence_requests, status) in [(true, 409), (false, 200)] {
        let env = TestEnv::engine(EngineSettings {
            fence_requests,
            ..EngineSettings::default()
        });
        assert_eq!(send(&env, &load("o1", 7, "n")), 200);
        let mut old = env.chat(1, "p", 4);
        old.insert_header("x-guavawell-fence", "6");
        env.call(old).assert_status(status);
        let mut new = env.chat(2, "p", 4);
        new.insert_header("x-guavawell-fence", "7");
        env.call(new).assert_status(200);
    }
}
