//! The platform's table.

use guavawell_standin::platform::PlatformSettings;
use serde_json::Value;
use serde_json::json;

use crate::env::TestEnv;
use crate::env::base64;

fn put(key: &str, value: &str) -> Value {
    json!({ "requestPut": { "key": base64(key), "value": base64(value) } })
}

fn absent(key: &str) -> Value {
    json!({ "key": base64(key), "target": "CREATE", "result": "EQUAL", "createRevision": "0" })
}

fn env() -> TestEnv {
    TestEnv::platform(PlatformSettings::default())
}

fn range(env: &TestEnv, body: &Value) -> Value {
    let reply = env.post("/v3/kv/range", body);
    reply.assert_status(200);
    reply.json()
}

#[test]
fn conditional_insert_takes_effect_once() {
    let env = env();
    let read = json!([{ "requestRange": { "key": base64("claim/a") } }]);
    let first = env.txn(
        &json!([absent("claim/a")]),
        &json!([put("claim/a", "1")]),
        &read,
    );
    assert_eq!(first["succeeded"], true);
    assert_eq!(
        first["responses"][0]["response_put"]["header"]["revision"],
        "2"
    );
    let second = env.txn(
        &json!([absent("claim/a")]),
        &json!([put("claim/a", "2")]),
        &read,
    );
    assert_eq!(
        second.get("succeeded"),
        None,
        "the gateway leaves out defaults"
    );
    let row = &second["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(row["value"], base64("1"));
    assert_eq!(row["mod_revision"], "2");
    assert_eq!(row["version"], "1");
}

#[test]
fn every_target_and_result_compares() {
    let env = env();
    env.txn(&json!([]), &json!([put("k", "b")]), &json!([]));
    env.txn(&json!([]), &json!([put("k", "b")]), &json!([]));
    let cases = [
        ("MOD", "EQUAL", json!({ "modRevision": "3" }), true),
        ("MOD", "LESS", json!({ "mod_revision": 3 }), false),
        ("CREATE", "EQUAL", json!({ "createRevision": "2" }), true),
        (
            "CREATE",
            "NOT_EQUAL",
            json!({ "createRevision": "2" }),
            false,
        ),
        ("VERSION", "GREATER", json!({ "version": "1" }), true),
        ("VERSION", "GREATER", json!({ "version": "2" }), false),
        ("VALUE", "EQUAL", json!({ "value": base64("b") }), true),
        ("VALUE", "LESS", json!({ "value": base64("c") }), true),
        ("VALUE", "GREATER", json!({ "value": base64("c") }), false),
    ];
    for (target, result, mut compare, holds) in cases {
        compare["key"] = base64("k");
        compare["target"] = target.into();
        compare["result"] = result.into();
        let answer = env.txn(&json!([compare]), &json!([]), &json!([]));
        assert_eq!(answer["succeeded"] == true, holds, "{compare}");
    }
}

#[test]
fn value_of_missing_row_never_compares() {
    let env = env();
    let compare = json!([{
        "key": base64("none"), "target": "VALUE", "result": "NOT_EQUAL", "value": base64("x"),
    }]);
    assert_eq!(
        env.txn(&compare, &json!([]), &json!([])).get("succeeded"),
        None
    );
}

#[test]
fn range_gives_rows_in_order_with_limit() {
    let env = env();
    let puts = json!([
        put("a/3", "x"),
        put("a/1", "y"),
        put("b/1", "z"),
        put("a/2", "w")
    ]);
    env.txn(&json!([]), &puts, &json!([]));
    let body = json!({ "key": base64("a/"), "rangeEnd": base64("a0"), "limit": "2" });
    let answer = range(&env, &body);
    assert_eq!(answer["kvs"][0]["key"], base64("a/1"));
    assert_eq!(answer["kvs"][1]["key"], base64("a/2"));
    assert_eq!(answer["count"], "3");
    assert_eq!(answer["more"], true);
    let all = range(
        &env,
        &json!({ "key": base64("a/2"), "range_end": base64("\0") }),
    );
    assert_eq!(all["count"], "3");
    let none = range(&env, &json!({ "key": base64("a/9") }));
    assert_eq!(none.get("kvs"), None);
}

#[test]
fn delete_counts_rows_and_raises_revision_only_if_any() {
    let env = env();
    env.txn(
        &json!([]),
        &json!([put("a", "1"), put("b", "2")]),
        &json!([]),
    );
    let delete =
        json!([{ "requestDeleteRange": { "key": base64("a"), "range_end": base64("c") } }]);
    let first = env.txn(&json!([]), &delete, &json!([]));
    assert_eq!(
        first["responses"][0]["response_delete_range"]["deleted"],
        "2"
    );
    assert_eq!(first["header"]["revision"], "3");
    let second = env.txn(&json!([]), &delete, &json!([]));
    assert_eq!(second["header"]["revision"], "3");
}

#[test]
fn malformed_transactions_are_refused() {
    let env = env();
    let bodies = [
        json!({ "success": [put("a", "1"), put("a", "2")] }),
        json!({ "success": [{}] }),
        json!({ "success": [put("", "1")] }),
        json!({ "compare": [{ "key": base64("a"), "target": "MOD" }] }),
        json!({ "compare": "no list" }),
        json!({ "success": [{ "requestPut": { "key": "not base64!" } }] }),
    ];
    for body in bodies {
        env.post("/v3/kv/txn", &body).assert_status(400);
    }
}
