//! `budget`: list, show, reclaim, top-up.

use guavawell_standin::fault::FaultChange;

use crate::support::TestFleet;

fn top_up(fleet: &TestFleet, id: &str) -> crate::support::RunResult {
    fleet.run(&[
        "budget",
        "top-up",
        "desk-2026",
        "--tokens",
        "500",
        "--id",
        id,
    ])
}

#[test]
fn budgets_are_listed_with_what_became_of_them() {
    let fleet = TestFleet::with_desk("budgets");
    top_up(&fleet, "inv-1").assert_code(0);
    let all = fleet.run(&["budget", "list"]).assert_code(0);
    insta::assert_snapshot!(all.stdout);
    let one = fleet
        .run(&["budget", "list", "--organisation", "desk"])
        .assert_code(0);
    insta::assert_snapshot!(one.stdout);
    let none = fleet
        .run(&["budget", "list", "--organisation", "desc"])
        .assert_code(7);
    assert_eq!(
        none.stderr,
        "guavawell-ctl: there is no organisation `desc`\n"
    );
}

#[test]
fn a_budget_that_nobody_drew_on_is_shown_as_stated() {
    let fleet = TestFleet::with_desk("untouched");
    let result = fleet.run(&["budget", "show", "park-2026"]).assert_code(0);
    insta::assert_snapshot!(result.stdout);
    fleet.run(&["budget", "show", "park-2027"]).assert_code(7);
}

#[test]
fn a_top_up_counts_once() {
    let fleet = TestFleet::with_desk("top-up");
    let first = top_up(&fleet, "inv-1").assert_code(0);
    insta::assert_snapshot!(first.stdout, @"top-up inv-1 counts: desk-2026 now has 1000500 paid, 1000500 unspent");
    let again = top_up(&fleet, "inv-1").assert_code(0);
    insta::assert_snapshot!(again.stdout, @"top-up inv-1 counted already: desk-2026 now has 1000500 paid, 1000500 unspent");
    top_up(&fleet, "inv-2").assert_code(0);
    assert_eq!(fleet.row("budget/desk-2026")["paid"], 1_001_000);
    let shown = fleet
        .run(&["--json", "budget", "show", "desk-2026"])
        .assert_code(0)
        .json();
    assert_eq!(shown["unspent"], 1_001_000);
    assert_eq!(shown["topped_up"], 1_000);
}

#[test]
fn a_top_up_whose_answer_is_lost_counts_once() {
    let fleet = TestFleet::with_desk("lost-top-up");
    fleet.faults(FaultChange {
        lose_answers: Some(1),
        ..FaultChange::default()
    });
    top_up(&fleet, "inv-1").assert_code(0);
    assert_eq!(fleet.platform.faults().lose_answers, 0);
    assert_eq!(fleet.row("budget/desk-2026")["paid"], 1_000_500);
    fleet.faults(FaultChange {
        refuse_writes: Some(1),
        ..FaultChange::default()
    });
    top_up(&fleet, "inv-2").assert_code(0);
    assert_eq!(fleet.row("budget/desk-2026")["paid"], 1_001_000);
}

#[test]
fn racing_top_ups_all_count() {
    let fleet = TestFleet::with_desk("racing-top-ups");
    let ids: Vec<String> = (0..6).map(|number| format!("inv-{number}")).collect();
    let runs: Vec<_> = ids
        .iter()
        .map(|id| {
            let args = [
                "budget",
                "top-up",
                "desk-2026",
                "--tokens",
                "500",
                "--id",
                id,
            ];
            fleet.command(&args).spawn().expect("the binary runs")
        })
        .collect();
    for mut run in runs {
        assert!(run.wait().expect("it ends").success());
    }
    assert_eq!(fleet.row("budget/desk-2026")["paid"], 1_003_000);
}

#[test]
fn an_unknown_budget_is_not_topped_up() {
    let fleet = TestFleet::with_desk("unknown-budget");
    let args = [
        "budget",
        "top-up",
        "desk-2028",
        "--tokens",
        "5",
        "--id",
        "inv-1",
    ];
    let result = fleet.run(&args).assert_code(7);
    insta::assert_snapshot!(result.stderr, @"guavawell-ctl: there is no budget `desk-2028`; see `budget list`");
    assert!(fleet.platform.keys("budget/").is_empty());
}

#[test]
fn frozen_tokens_end_once_by_a_kept_word() {
    let fleet = TestFleet::with_desk("reclaim");
    top_up(&fleet, "inv-1").assert_code(0);
    let mut row = fleet.row("budget/desk-2026");
    row["frozen"] = serde_json::json!([{
        "slot": {"zone": "tln-a", "shard": 3}, "tenure": 4, "tokens": 900,
        "whole": true, "reported": 0, "float_reported": 0
    }]);
    let value = serde_json::to_vec(&row).expect("JSON");
    fleet.platform.put_row("budget/desk-2026", &value);
    let reclaim = |tenure: &str| {
        let word = "host 7 burnt down; seen by two of us";
        let slot = ["--slot", "tln-a/3", "--tenure", tenure, "--spent", "250"];
        let mut args = vec!["budget", "reclaim", "desk-2026"];
        args.extend(slot);
        args.extend(["--word", word]);
        fleet.run(&args)
    };
    fleet.faults(FaultChange {
        lose_answers: Some(1),
        ..FaultChange::default()
    });
    let told = reclaim("4").assert_code(0).stdout;
    assert!(told.contains("reclaimed 900 tokens"), "{told}");
    let again = reclaim("4").assert_code(0).stdout;
    assert_eq!(again, told, "the first word is kept");
    let row = fleet.row("budget/desk-2026");
    assert_eq!(row["settled"], 250);
    assert_eq!(row["frozen"], serde_json::json!([]));
    let kept = fleet.row("reclaim/desk-2026/tln-a/3/4");
    assert_eq!(kept["who"], "anna");
    assert_eq!(kept["word"], "host 7 burnt down; seen by two of us");
    reclaim("5").assert_code(7);
}
