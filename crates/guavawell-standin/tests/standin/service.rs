//! The plain service without faults.

use guavawell_standin::service::ServiceSettings;
use guavawell_standin::service::expected_reply;
use http_types::Method;
use serde_json::json;

use crate::env::TestEnv;

#[test]
fn reply_depends_on_body_and_run_is_logged() {
    let env = TestEnv::service(ServiceSettings::default());
    let mut request = env.json_request(Method::Post, "/transfer/7", &json!({ "id": 7 }));
    request.insert_header("x-guavawell-attempt", format!("{:032x}", 3));
    request.insert_header("x-guavawell-request", "key-1");
    let reply = env.call(request);
    reply.assert_status(200);
    assert_eq!(reply.text(), expected_reply(br#"{"id":7}"#));
    assert_eq!(
        reply.header("x-guavawell-attempt"),
        Some("00000000000000000000000000000003")
    );
    let run = &env.truth()["runs"][0];
    assert_eq!(run["request"], "key-1");
    assert_eq!(run["target"], "/transfer/7");
    assert_eq!(env.record(3)["state"], "done");
}

#[test]
fn cancelled_and_repeated_attempts_do_not_run() {
    let env = TestEnv::service(ServiceSettings::default());
    let send = |attempt: u128| {
        let mut request = env.json_request(Method::Post, "/cancel", &json!(1));
        request.insert_header("x-guavawell-attempt", format!("{attempt:032x}"));
        env.call(request).status
    };
    let path = format!("/v1/attempts/{:032x}", 1);
    env.call(env.request(Method::Delete, &path))
        .assert_status(200);
    assert_eq!(send(1), 410);
    assert_eq!(send(2), 200);
    assert_eq!(send(2), 409);
    assert_eq!(env.running_service().truth().total, 1);
}

#[test]
fn no_free_slot_is_refused_and_was_not_run() {
    let env = TestEnv::service(ServiceSettings {
        slots: 0,
        ..ServiceSettings::default()
    });
    env.post("/cancel", &json!(1)).assert_status(503);
    assert_eq!(env.running_service().truth().total, 0);
    let load = env.get("/v1/load").json();
    assert_eq!(load["slots"], 0);
    assert_eq!(load["role"], "service");
}
