//! Plan files: what is read and what is found wrong.

use guavawell_load::plan::ArrivalMode;
use guavawell_load::plan::CallKind;
use guavawell_load::plan::SizeRange;
use guavawell_load::plan::TargetKind;
use guavawell_load::plan::parse_plan;

/// A plan with everything in it.
const FULL_PLAN: &str = r#"
targets = ["127.0.0.1:8080", "127.0.0.2:8080"]
rate = 40.5
requests = 1_000
threads = 2
seed = 7
tag = "peak"

[retry]
max_tries = 6
base_delay_ms = 20

[[profile]]
name = "briefs"
weight = 3
key = "k1"
model = "drafts"
prompt_bytes = "64..512"
max_tokens = 32
idempotent = false
budget = "campaigns"

[[profile]]
name = "lookups"
service = "slots"
path = "find"
request_id = false

[[budget]]
budget = "campaigns"
left = 10_000
"#;

#[test]
fn a_full_plan_is_read() {
    let plan = parse_plan(FULL_PLAN).expect("a plan without findings");
    assert!(plan.check().is_empty());
    assert_eq!(plan.targets.len(), 2);
    assert_eq!(plan.target_kind, TargetKind::Router);
    assert_eq!(plan.arrival, ArrivalMode::Open { rate: 40.5 });
    assert_eq!(plan.requests, Some(1_000));
    assert_eq!(plan.duration, None);
    assert_eq!(plan.retry.max_tries, 6);
    assert_eq!(plan.budgets[0].left.get(), 10_000);
    let briefs = &plan.profiles[0];
    assert!(!briefs.idempotent);
    let CallKind::Chat(chat) = &briefs.call else {
        panic!("briefs call a model");
    };
    assert_eq!(chat.prompt_bytes, SizeRange { low: 64, high: 512 });
    assert_eq!(chat.max_tokens, SizeRange::exactly(32));
    assert!(matches!(plan.profiles[1].call, CallKind::Service(_)));
    assert!(!plan.profiles[1].request_id);
}

#[test]
fn all_findings_come_together_with_their_lines() {
    let text = r#"targets = ["localhost", "127.0.0.1:8080"]
rate = 5
connections = 4
thread = 3

[retry]
max_tires = 2

[[profile]]
prompt_bytes = "9..3"
budget = "no spaces"
weight = [1]

[[budget]]
budget = "b"
"#;
    let findings = parse_plan(text).expect_err("a plan with findings");
    insta::assert_snapshot!("plan_findings", findings);
}

#[test]
fn a_file_that_is_no_toml_names_its_line() {
    let findings = parse_plan("rate = 5\nthreads = \n").expect_err("no TOML");
    assert_eq!(findings.as_slice()[0].line, Some(2));
}

#[test]
fn sizes_parse_themselves() {
    for (text, expected) in [
        ("8", Some(SizeRange::exactly(8))),
        ("8..64", Some(SizeRange { low: 8, high: 64 })),
        (" 8 .. 64 ", Some(SizeRange { low: 8, high: 64 })),
        ("64..8", None),
        ("..8", None),
        ("", None),
        ("-1", None),
    ] {
        assert_eq!(text.parse::<SizeRange>().ok(), expected, "`{text}`");
    }
}

#[test]
fn the_operators_page_shows_a_plan_that_can_be_run() {
    let page = include_str!("../../../../docs/operators/LOAD.md");
    let (_, rest) = page.split_once("```toml\n").expect("a plan on the page");
    let (text, _) = rest.split_once("```").expect("its end");
    let plan = parse_plan(text).expect("a plan without findings");
    assert!(plan.check().is_empty());
    assert_eq!(plan.profiles.len(), 3);
    assert_eq!(plan.budgets.len(), 1);
}
