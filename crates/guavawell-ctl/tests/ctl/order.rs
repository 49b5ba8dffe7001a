//! `order`: list.

use crate::support::TestFleet;

const OPEN: &str = r#"{"owner":{"instance":"entry-2","incarnation":9},"fence":4,
    "kind":{"load":{"model":"draft-7b","version":"3"}},"done":false}"#;

const DONE: &str = r#"{"owner":{"instance":"entry-1","incarnation":7},"fence":2,
    "kind":{"unload":{"model":"draft-7b","version":"2"}},"done":true}"#;

#[test]
fn orders_are_listed_with_their_fencing_numbers() {
    let fleet = TestFleet::with_desk("orders");
    let none = fleet.run(&["--json", "order", "list"]).assert_code(0);
    assert_eq!(none.json(), serde_json::json!([]));
    fleet.platform.put_row("order/run-1", OPEN.as_bytes());
    fleet.platform.put_row("order/run-2", DONE.as_bytes());
    fleet.platform.put_row("order/run-3", b"broken");
    let result = fleet.run(&["order", "list"]).assert_code(0);
    insta::assert_snapshot!(result.stdout, @r"
    BACKEND  FENCE  STATE  ORDER              ISSUER
    run-1    4      open   load draft-7b:3    entry-2
    run-2    2      done   unload draft-7b:2  entry-1
    ");
    let orders = fleet.run(&["--json", "order", "list"]).assert_code(0);
    assert_eq!(orders.json()[0]["row"]["fence"], 4);
}
