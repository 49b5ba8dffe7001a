//! The real binary: output, filters, bad lines and exit codes.

use guavawell_core::id::AttemptId;

use crate::env::TestEnv;
use crate::env::event;
use crate::env::log_of;
use crate::env::with;

/// Two routers whose clocks differ by nine seconds.
fn two_logs(env: &TestEnv) {
    let mut started = event("tln-a-1", 3, 1_796_233_713_250, "attempt.started");
    started.attempt = Some(AttemptId::new(42));
    started.budget = Some("drafts".parse().expect("an id"));
    let first = [
        event("tln-a-1", 1, 1_796_233_713_100, "request.accepted"),
        with(with(started, "backend", "m1"), "idempotent", "false"),
        with(
            event("tln-a-1", 8, 1_796_233_713_400, "billing.recorded"),
            "tokens",
            "12",
        ),
    ];
    let second = [
        with(
            event("mrd-1-1", 2, 1_796_233_722_200, "reservation.granted"),
            "tokens",
            "20",
        ),
        with(
            event("mrd-1-1", 7, 1_796_233_722_320, "reservation.settled"),
            "tokens",
            "12",
        ),
    ];
    env.write("a.jsonl", &log_of(&first));
    env.write("b.jsonl", &log_of(&second));
}

#[test]
fn the_time_line_is_shown_with_the_clocks_offsets() {
    let env = TestEnv::new("show");
    two_logs(&env);
    let printed = env.assert_code(&["show", "a.jsonl", "b.jsonl"], 0);
    insta::assert_snapshot!("show_out", printed.out);
    insta::assert_snapshot!("show_err", printed.err);
    let printed = env.assert_code(&["show", "--json", "b.jsonl", "a.jsonl"], 0);
    insta::assert_snapshot!("show_json", printed.out);
    assert!(printed.err.is_empty());
}

#[test]
fn filters_narrow_the_time_line() {
    let env = TestEnv::new("filters");
    two_logs(&env);
    for (filter, shown) in [
        (["--kind", "reservation."], 2),
        (["--instance", "tln-a-1"], 3),
        (["--attempt", "2a"], 1),
        (["--budget", "drafts"], 1),
        (["--budget", "other"], 0),
        (["--request", "r"], 5),
        (["--organisation", "p"], 0),
        (["--since", "1796233713400"], 3),
        (["--until", "1796233713400"], 2),
    ] {
        let args = [&["show"][..], &filter, &["a.jsonl", "b.jsonl"]].concat();
        let printed = env.assert_code(&args, 0);
        assert_eq!(printed.out.lines().count(), shown, "{filter:?}");
    }
    let twice = [
        "show", "--kind", "request.", "--kind", "billing.", "a.jsonl",
    ];
    assert_eq!(env.assert_code(&twice, 0).out.lines().count(), 2);
}

#[test]
fn bad_lines_are_counted_with_their_place_and_the_rest_is_shown() {
    let env = TestEnv::new("bad_lines");
    let good = log_of(&[event("a", 1, 5, "instance.started")]);
    let long = "x".repeat(300 * 1024);
    let text = format!(
        "{good}not json\n\n{{\"at\":1}}\n{long}\n{good}{}",
        &good[..20]
    );
    env.write("bad.jsonl", &text);
    let printed = env.assert_code(&["show", "bad.jsonl"], 0);
    assert_eq!(printed.out.lines().count(), 1);
    insta::assert_snapshot!("bad_lines", printed.err);
}

#[test]
fn checks_print_each_breach_and_exit_with_their_code() {
    let env = TestEnv::new("check");
    two_logs(&env);
    env.assert_code(&["check", "a.jsonl", "b.jsonl"], 0);
    let again = with(
        event("kei-1-1", 20, 1_796_233_800_000, "billing.recorded"),
        "tokens",
        "30",
    );
    let mut started = event("kei-1-1", 19, 1_796_233_799_000, "attempt.started");
    started.attempt = Some(AttemptId::new(43));
    env.write("c.jsonl", &log_of(&[started, again]));
    let printed = env.assert_code(&["check", "a.jsonl", "b.jsonl", "c.jsonl"], 3);
    insta::assert_snapshot!("breaches", printed.out);
    let printed = env.assert_code(&["check", "--json", "a.jsonl", "b.jsonl", "c.jsonl"], 3);
    let report: serde_json::Value = serde_json::from_str(&printed.out).expect("JSON alone");
    assert_eq!(report["breaches"].as_array().map(Vec::len), Some(3));
}

#[test]
fn disorder_missing_files_and_bad_usage_have_exit_codes() {
    let env = TestEnv::new("codes");
    let log = [
        event("a", 9, 1, "slot.acquired"),
        event("a", 2, 2, "slot.acquired"),
    ];
    env.write("late.jsonl", &log_of(&log));
    let printed = env.assert_code(&["show", "--window", "1", "late.jsonl"], 4);
    assert!(printed.err.contains("late.jsonl:2"), "{}", printed.err);
    env.assert_code(&["show", "--window", "1", "--in-memory", "late.jsonl"], 0);
    let printed = env.assert_code(&["show", "absent.jsonl"], 1);
    assert!(printed.err.contains("absent.jsonl"), "{}", printed.err);
    env.assert_code(&["show", "--attempt", "xyz", "late.jsonl"], 2);
    env.assert_code(&["shaw"], 2);
}

#[test]
fn help_is_shown() {
    let env = TestEnv::new("help");
    insta::assert_snapshot!("help", env.assert_code(&["--help"], 0).out);
    insta::assert_snapshot!("help_show", env.assert_code(&["show", "--help"], 0).out);
}

#[test]
fn callers_histories_are_set_against_the_logs() {
    let env = TestEnv::new("callers");
    two_logs(&env);
    let line = |request: &str, end: &str, completion: u64| {
        format!(
            "{{\"organisation\":\"o\",\"request\":\"{request}\",\"profile\":\"p\",\"idempotent\":true,\
             \"tries\":[{{\"usage\":{{\"prompt_tokens\":5,\"completion_tokens\":{completion}}}}}],\
             \"end\":{end}}}\n"
        )
    };
    let whole = r#"{"end":"whole"}"#;
    let not_run = r#"{"end":"refused","outcome":"not_run","reason":"budget_exhausted"}"#;
    let unknown = r#"{"end":"refused","outcome":"unknown","reason":"interrupted"}"#;
    let logs = ["a.jsonl", "b.jsonl"];
    let check =
        |file, code| env.assert_code(&[&["check", "--callers", file][..], &logs].concat(), code);
    let sound = [
        line("r", whole, 7),
        line("r", unknown, 0),
        line("x", not_run, 0),
    ];
    env.write("sound.jsonl", &sound.concat());
    check("sound.jsonl", 0);
    let broken = [
        line("r", whole, 8),
        line("r", not_run, 0),
        line("x", whole, 7),
    ];
    env.write("broken.jsonl", &broken.concat());
    insta::assert_snapshot!("callers", check("broken.jsonl", 3).out);
    env.write("bad.jsonl", "{}\n");
    assert!(check("bad.jsonl", 1).err.contains("bad.jsonl:1"));
}
