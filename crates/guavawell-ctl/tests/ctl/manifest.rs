//! `manifest`: findings, acceptance, races, lost answers.

use guavawell_standin::fault::FaultChange;

use crate::support::DESK;
use crate::support::RunResult;
use crate::support::TestFleet;

#[test]
fn a_clean_manifest_is_summed_up() {
    let fleet = TestFleet::start("clean");
    fleet.write("desk.toml", DESK);
    let result = fleet
        .run(&["manifest", "check", "desk.toml"])
        .assert_code(0);
    insta::assert_snapshot!(result.stdout);
}

#[test]
fn findings_come_together_with_their_places() {
    let fleet = TestFleet::start("findings");
    fleet.write("broken.toml", include_str!("broken.toml"));
    let result = fleet
        .run(&["manifest", "check", "broken.toml"])
        .assert_code(3);
    insta::assert_snapshot!(result.stderr);
}

#[test]
fn findings_are_json_on_request() {
    let fleet = TestFleet::start("json-findings");
    fleet.write("broken.toml", include_str!("broken.toml"));
    let args = ["--json", "manifest", "check", "broken.toml"];
    let result = fleet.run(&args).assert_code(3);
    insta::assert_snapshot!(result.stdout);
}

#[test]
fn a_manifest_with_findings_is_not_applied() {
    let fleet = TestFleet::start("not-applied");
    fleet.apply(include_str!("broken.toml"), 0).assert_code(3);
    assert!(fleet.platform.keys("version").is_empty());
}

#[test]
fn versions_are_accepted_one_on_top_of_the_other() {
    let fleet = TestFleet::with_desk("accepted");
    fleet
        .apply(&DESK.replace("weight = 3", "weight = 4"), 1)
        .assert_code(0);
    assert_eq!(fleet.row("version")["version"], 2);
    assert_eq!(fleet.row("version/1")["who"], "anna");
    let history = fleet
        .run(&["--json", "manifest", "history"])
        .assert_code(0)
        .json();
    let versions: Vec<_> = history
        .as_array()
        .expect("rows")
        .iter()
        .map(|r| &r["version"])
        .collect();
    assert_eq!(versions, [2, 1]);
    let one = fleet
        .run(&["--json", "manifest", "history", "--limit", "1"])
        .json();
    assert_eq!(one.as_array().expect("rows").len(), 1);
}

#[test]
fn an_outdated_base_is_a_conflict() {
    let fleet = TestFleet::with_desk("conflict");
    let result = fleet.apply(DESK, 0).assert_code(4);
    assert!(
        result
            .stderr
            .contains("base version 0 was stated, but version 1 is in force")
    );
    assert!(result.stderr.contains("accepted by `anna`"));
    assert_eq!(fleet.row("version")["version"], 1);
}

#[test]
fn of_racing_operators_one_wins_and_one_is_told() {
    let fleet = TestFleet::with_desk("race");
    fleet.write("anna.toml", &DESK.replace("weight = 3", "weight = 4"));
    fleet.write("ben.toml", &DESK.replace("weight = 3", "weight = 5"));
    let race = ["anna.toml", "ben.toml"].map(|file| {
        let mut command = fleet.command(&["manifest", "apply", file, "--base", "1"]);
        command.stdout(std::process::Stdio::piped());
        command.stderr(std::process::Stdio::piped());
        command.spawn().expect("the binary runs")
    });
    let results = race.map(|child| RunResult::from(child.wait_with_output().expect("it ends")));
    let mut codes = results.each_ref().map(|result| result.code);
    codes.sort_unstable();
    assert_eq!(codes, [0, 4], "{results:?}");
    assert_eq!(fleet.row("version")["version"], 2);
}

#[test]
fn a_lost_answer_is_resolved_by_reading_back() {
    let fleet = TestFleet::with_desk("lost");
    fleet.faults(FaultChange {
        lose_answers: Some(1),
        ..FaultChange::default()
    });
    fleet.apply(DESK, 1).assert_code(0);
    assert_eq!(fleet.platform.faults().lose_answers, 0);
    assert_eq!(fleet.row("version")["version"], 2);
}

#[test]
fn an_outage_changes_nothing_and_says_so() {
    let fleet = TestFleet::with_desk("outage");
    fleet.faults(FaultChange {
        outage: Some(true),
        ..FaultChange::default()
    });
    let result = fleet.apply(DESK, 1).assert_code(5);
    assert!(result.stderr.contains("the platform is out"));
    fleet.run(&["manifest", "show"]).assert_code(5);
    assert_eq!(fleet.row("version")["version"], 1);
}

#[test]
fn the_number_of_shards_stays() {
    let fleet = TestFleet::with_desk("shards");
    let result = fleet
        .apply(&DESK.replace("shards = 16", "shards = 32"), 1)
        .assert_code(3);
    insta::assert_snapshot!(result.stderr);
}

#[test]
fn a_missing_file_is_named() {
    let fleet = TestFleet::start("missing");
    let result = fleet
        .run(&["manifest", "check", "nowhere.toml"])
        .assert_code(1);
    assert!(result.stderr.contains("cannot read `nowhere.toml`"));
}

#[test]
fn without_a_manifest_there_is_nothing_to_show() {
    let fleet = TestFleet::start("empty");
    let result = fleet.run(&["manifest", "show"]).assert_code(7);
    insta::assert_snapshot!(result.stderr);
}
