//! `retention`: show, sweep.

use crate::support::TestFleet;

/// Ten generations on: what was written before revision `before` is due.
fn sweep_row(before: u64) -> String {
    let later: Vec<String> = (1..9).map(|place| (before + place).to_string()).collect();
    format!(
        r#"{{"aged":90000,"starts":[{before},{}],"pass":9,"cursor":null,"deleted":41}}"#,
        later.join(",")
    )
}

#[test]
fn a_preview_deletes_nothing_and_a_sweep_what_is_due() {
    let fleet = TestFleet::with_desk("retention");
    let platform = &fleet.platform;
    let nothing = fleet.run(&["retention", "sweep"]).assert_code(0);
    assert_eq!(nothing.stdout, "0 claims looked at, 0 due, 0 deleted\n");
    for number in 0..3 {
        platform.put_row(&format!("claim/desk/old-{number}"), b"{}");
    }
    platform.put_row("retention/generation", br#"{"generation":10}"#);
    // The row's own revision is behind those of the three claims.
    let start = fleet.run(&["--json", "retention", "show"]).assert_code(0);
    assert_eq!(start.json()["due_before"], 0);
    let before = platform.revision();
    platform.put_row("claim/desk/young", b"{}");
    platform.put_row("retention/sweep", sweep_row(before).as_bytes());
    let show = fleet.run(&["retention", "show"]).assert_code(0);
    assert!(show.stdout.contains("claims deleted"), "{}", show.stdout);
    let preview = fleet.run(&["--json", "retention", "sweep", "--dry-run"]);
    let preview = preview.assert_code(0);
    assert_eq!(
        (&preview.json()["due"], &preview.json()["deleted"]),
        (&3.into(), &0.into())
    );
    assert_eq!(platform.keys("claim/").len(), 4);
    let sweep = fleet.run(&["retention", "sweep"]).assert_code(0);
    assert_eq!(sweep.stdout, "4 claims looked at, 3 due, 3 deleted\n");
    assert_eq!(platform.keys("claim/"), ["claim/desk/young".into()]);
}
