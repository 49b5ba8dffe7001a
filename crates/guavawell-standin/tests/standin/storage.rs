//! The platform's object store, instance list, caps and counters.

use guavawell_standin::platform::PlatformSettings;
use http_types::Method;
use serde_json::Value;
use serde_json::json;

use crate::env::TestEnv;
use crate::env::TestReply;
use crate::env::base64;

fn env() -> TestEnv {
    TestEnv::platform(PlatformSettings::default())
}

fn put(env: &TestEnv, path: &str, content: &str, only_new: bool) -> TestReply {
    let mut request = env.request(Method::Put, path);
    request.set_body(content);
    if only_new {
        request.insert_header("if-none-match", "*");
    }
    env.call(request)
}

#[test]
fn conditional_put_keeps_the_first_object() {
    let env = env();
    put(&env, "/b/journal/1", "one", true).assert_status(200);
    put(&env, "/b/journal/1", "two", true).assert_status(412);
    assert_eq!(env.get("/b/journal/1").body, b"one");
    put(&env, "/b/journal/1", "three", false).assert_status(200);
    assert_eq!(env.get("/b/journal/1").body, b"three");
    let missing = env.get("/b/journal/2");
    missing.assert_status(404);
    assert!(missing.text().contains("<Code>NoSuchKey</Code>"));
}

#[test]
fn listing_is_ordered_bounded_and_escaped() {
    let env = env();
    for key in ["j/3", "j/1", "j/2", "k/1", "j/a%26b"] {
        put(&env, &format!("/b/{key}"), "x", false).assert_status(200);
    }
    let first = env.get("/b?list-type=2&prefix=j/&max-keys=2").text();
    assert!(first.contains("<Key>j/1</Key>"));
    assert!(first.contains("<Key>j/2</Key>"));
    assert!(!first.contains("<Key>j/3</Key>"));
    assert!(first.contains("<IsTruncated>true</IsTruncated>"));
    assert!(first.contains("<NextContinuationToken>j/2</NextContinuationToken>"));
    let rest = env.get("/b?list-type=2&prefix=j/&start-after=j/2").text();
    assert!(rest.contains("<KeyCount>2</KeyCount>"));
    assert!(rest.contains("<Key>j/3</Key>"));
    assert!(rest.contains("<Key>j/a&amp;b</Key>"));
    assert!(rest.contains("<IsTruncated>false</IsTruncated>"));
    let other = env.get("/c?list-type=2").text();
    assert!(other.contains("<KeyCount>0</KeyCount>"));
}

#[test]
fn instance_list_shows_zone_and_leaving_mark() {
    let env = env();
    let list = json!([
        { "instance": "r1", "zone": "tln-a", "address": "127.0.0.1:7001" },
        { "instance": "r2", "zone": "mrd-1", "address": "127.0.0.1:7002", "terminating": true },
    ]);
    env.control(Method::Put, "/instances", &list)
        .assert_status(200);
    let path = "/apis/discovery.k8s.io/v1/namespaces/guavawell/endpointslices";
    let slices = env.get(path).json();
    assert_eq!(slices["kind"], "EndpointSliceList");
    let endpoints = &slices["items"][0]["endpoints"];
    assert_eq!(endpoints[0]["addresses"], json!(["127.0.0.1:7001"]));
    assert_eq!(endpoints[0]["zone"], "tln-a");
    assert_eq!(endpoints[0]["conditions"]["ready"], true);
    assert_eq!(endpoints[1]["conditions"]["ready"], false);
    assert_eq!(endpoints[1]["conditions"]["terminating"], true);
}

#[test]
fn writes_and_reads_are_counted() {
    let env = env();
    let put_row = json!([{ "requestPut": { "key": base64("a"), "value": base64("1") } }]);
    let read_row = json!([{ "requestRange": { "key": base64("a") } }]);
    env.txn(&json!([]), &put_row, &json!([]));
    env.txn(&json!([]), &read_row, &json!([]));
    put(&env, "/b/k", "x", false);
    env.get("/b/k");
    env.get("/b?list-type=2");
    let counts = env.control(Method::Get, "/counts", &Value::Null).json();
    assert_eq!(counts, json!({ "writes": 2, "reads": 3, "capped": 0 }));
}

#[test]
fn caps_turn_writes_and_reads_away() {
    let env = TestEnv::platform(PlatformSettings {
        write_cap: 1,
        read_cap: 1,
        ..PlatformSettings::default()
    });
    // Whatever the pace of the test, more calls than seconds pass a cap of one.
    let mut statuses = Vec::new();
    while !statuses.contains(&429) {
        statuses.push(put(&env, "/b/k", "x", false).status);
    }
    assert_eq!(statuses[0], 200);
    while env.get("/b/k").status != 429 {}
    assert!(env.running_platform().counts().capped >= 2);
}
