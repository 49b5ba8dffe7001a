//! The real binary: files, exit codes and help.

use guavawell_load::history::RequestHistory;

use crate::env::Reply;
use crate::env::Responder;
use crate::env::TestEnv;

fn streaming() -> Responder {
    Responder::start(|_, _| Reply::Stream {
        parts: 3,
        done: true,
    })
}

#[test]
fn a_run_writes_its_report_history_and_plot() {
    let env = TestEnv::new("run_files");
    let responder = streaming();
    let address = responder.address.to_string();
    let args = [
        "run",
        "--router",
        &address,
        "--requests",
        "20",
        "--connections",
        "2",
        "--threads",
        "2",
        "--tag",
        "t",
        "--quiet",
        "--json",
        "r.json",
        "--plot",
        "r.svg",
        "--history",
        "h.jsonl",
    ];
    let (out, err) = env.assert_code(&args, 0);
    assert!(err.is_empty(), "{err}");
    assert!(out.contains("answered whole"));
    assert!(out.contains("first token"));
    let json = std::fs::read_to_string(env.path("r.json")).expect("a report");
    let report: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(report["counts"]["answered"], 20);
    assert_eq!(report["whole"]["between_tokens"]["count"], 40);
    let svg = std::fs::read_to_string(env.path("r.svg")).expect("a plot");
    assert!(svg.starts_with("<svg ") && svg.ends_with("</svg>\n"));
    let history = std::fs::read_to_string(env.path("h.jsonl")).expect("a history");
    let mut ids: Vec<String> = history
        .lines()
        .map(|line| serde_json::from_str::<RequestHistory>(line).expect("a history"))
        .map(|history| history.request.expect("an id").to_string())
        .collect();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), 20);
}

#[test]
fn a_plan_file_drives_a_run_and_flags_go_over_it() {
    let env = TestEnv::new("run_plan");
    let responder = streaming();
    env.write(
        "plan.toml",
        "requests = 1000\nconnections = 1\n[[profile]]\nmax_tokens = 3\n",
    );
    let address = responder.address.to_string();
    let args = [
        "run",
        "--plan",
        "plan.toml",
        "--router",
        &address,
        "--requests",
        "5",
        "-q",
        "--json",
        "-",
    ];
    let (out, _) = env.assert_code(&args, 0);
    let report: serde_json::Value = serde_json::from_str(&out).expect("JSON alone");
    assert_eq!(report["counts"]["requests"], 5);
}

#[test]
fn wrong_answers_and_no_answers_have_exit_codes() {
    let env = TestEnv::new("exit_codes");
    let wrong = Responder::start(|_, _| Reply::Whole { tokens: 99 });
    let address = wrong.address.to_string();
    let flags = ["--requests", "1", "--connections", "1", "-q"];
    env.assert_code(&[&["run", "--router", &address][..], &flags].concat(), 3);
    let refusing = Responder::start(|_, _| Reply::Problem {
        status: 401,
        body: r#"{"outcome":"not_run","reason":"unauthorised"}"#,
    });
    let address = refusing.address.to_string();
    let (out, _) = env.assert_code(&[&["run", "--router", &address][..], &flags].concat(), 4);
    assert!(out.contains("refused not_run unauthorised"), "{out}");
}

#[test]
fn bad_plans_and_bad_usage_name_what_is_wrong() {
    let env = TestEnv::new("bad_plans");
    env.write("bad.toml", "rat = 5\nseed = \"x\"\n");
    let (_, err) = env.assert_code(&["check", "bad.toml"], 2);
    insta::assert_snapshot!("bad_plan", err);
    let (_, err) = env.assert_code(&["run", "--requests", "1"], 2);
    insta::assert_snapshot!("no_target", err);
    let (_, err) = env.assert_code(&["check", "absent.toml"], 1);
    assert!(err.contains("absent.toml"), "{err}");
    env.assert_code(&["run", "--rates", "5"], 2);
}

#[test]
fn a_comparison_gives_both_sides_in_turns() {
    let env = TestEnv::new("compare");
    let router = streaming();
    let engine = streaming();
    let router_address = router.address.to_string();
    let engine_address = engine.address.to_string();
    let args = [
        "compare",
        "--router",
        &router_address,
        "--engine",
        &engine_address,
        "--connections",
        "2",
        "--seconds",
        "1",
        "--rounds",
        "2",
        "--key",
        "k",
        "--json",
    ];
    let (out, _) = env.assert_code(&args, 0);
    let report: serde_json::Value = serde_json::from_str(&out).expect("JSON alone");
    assert_eq!(report["rounds"].as_array().map(Vec::len), Some(2));
    assert_eq!(report["median"]["router"]["failed"], 0);
    assert!(report["added_p50_micros"].is_i64());
    assert!(router.seen()[0].header("authorization").is_some());
    assert!(engine.seen()[0].header("x-guavawell-attempt").is_some());
}

#[test]
fn help_is_short_and_long() {
    let env = TestEnv::new("help");
    let (short, _) = env.assert_code(&["run", "-h"], 0);
    insta::assert_snapshot!("help_run", short);
    let (long, _) = env.assert_code(&["--help"], 0);
    insta::assert_snapshot!("help", long);
}
