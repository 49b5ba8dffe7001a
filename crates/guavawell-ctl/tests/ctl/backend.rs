//! `backend`: list, drain.

use crate::support::DESK;
use crate::support::TestFleet;

#[test]
fn backend_servers_are_listed() {
    let fleet = TestFleet::with_desk("backends");
    let result = fleet.run(&["backend", "list"]).assert_code(0);
    insta::assert_snapshot!(result.stdout);
}

#[test]
fn a_drain_is_a_new_version_that_marks_the_server() {
    let fleet = TestFleet::with_desk("drain");
    let first = fleet.run(&["backend", "drain", "run-1"]).assert_code(0);
    insta::assert_snapshot!(first.stdout, @"run-1 is leaving by version 2; it gets no new work");
    let again = fleet
        .run(&["--json", "backend", "drain", "run-1"])
        .assert_code(0)
        .json();
    assert_eq!(
        (&again["version"], &again["changed"]),
        (&2.into(), &false.into())
    );
    let backends = fleet
        .run(&["--json", "backend", "list"])
        .assert_code(0)
        .json();
    let leaving: Vec<_> = backends
        .as_array()
        .expect("a list")
        .iter()
        .map(|b| &b["leaving"])
        .collect();
    assert_eq!(leaving, [&false, &true, &true]);
    // The build pipeline's next manifest does not undo it unseen.
    fleet.apply(DESK, 1).assert_code(4);
}

#[test]
fn racing_drains_both_take_effect() {
    let fleet = TestFleet::with_desk("racing-drains");
    let runs = ["run-1", "app-1"].map(|backend| {
        let mut command = fleet.command(&["backend", "drain", backend]);
        command.spawn().expect("the binary runs")
    });
    for mut run in runs {
        assert!(run.wait().expect("it ends").success());
    }
    let backends = fleet.run(&["--json", "backend", "list"]).json();
    let all = backends
        .as_array()
        .expect("a list")
        .iter()
        .all(|b| b["leaving"] == true);
    assert!(all, "{backends}");
    assert_eq!(fleet.row("version")["version"], 3);
}

#[test]
fn an_unknown_server_is_told_with_the_nearest() {
    let fleet = TestFleet::with_desk("unknown-backend");
    let result = fleet.run(&["backend", "drain", "runn-1"]).assert_code(7);
    insta::assert_snapshot!(result.stderr, @"guavawell-ctl: there is no backend server `runn-1`; the nearest is `run-1`");
}
