//! Racing operators and lost answers, on the rows alone.

use guavawell_core::id::ManifestVersion;
use guavawell_core::manifest::VersionRow;
use guavawell_core::manifest::VersionWord;

use crate::support::proposal;
use crate::support::row;

#[test]
fn the_second_of_two_racing_operators_gets_a_conflict() {
    let first = proposal("anna", 0)
        .on_top_of(None)
        .expect("nothing is in force");
    let conflict = proposal("ben", 0)
        .on_top_of(Some(&first))
        .expect_err("anna came first");
    insta::assert_snapshot!(conflict.to_string(), @"base version 0 was stated, but version 1 is in force, accepted by `anna` at 5 ms; put the change on top of version 1 and apply with base version 1");
    let second = proposal("ben", 1)
        .on_top_of(Some(&first))
        .expect("on top of anna's");
    assert_eq!(second.version, ManifestVersion::new(2));
}

#[test]
fn a_base_that_never_was_is_a_conflict() {
    let conflict = proposal("anna", 4)
        .on_top_of(None)
        .expect_err("nothing is in force");
    insta::assert_snapshot!(conflict.to_string(), @"base version 4 was stated, but no manifest was accepted yet; apply with base version 0");
}

#[test]
fn a_lost_answer_is_told_by_the_digest_in_the_history() {
    let ours = row("anna", 3);
    let theirs = row("ben", 3);
    assert_eq!(ours.judge(None), VersionWord::Open);
    assert_eq!(ours.judge(Some(&ours.clone())), VersionWord::Accepted);
    let VersionWord::Conflict(conflict) = ours.judge(Some(&theirs)) else {
        panic!("ben's write came first");
    };
    assert_eq!(conflict.current, Some(theirs));
}

#[test]
fn the_same_manifest_by_another_operator_is_not_ours() {
    let ours = proposal("anna", 0)
        .on_top_of(None)
        .expect("nothing is in force");
    let mut other = proposal("anna", 0);
    other.nonce += 1;
    let theirs = other.on_top_of(None).expect("nothing is in force");
    assert_eq!(ours.root, theirs.root);
    assert!(matches!(
        ours.judge(Some(&theirs)),
        VersionWord::Conflict(_)
    ));
}

#[test]
fn a_row_reads_back_and_a_changed_row_does_not() {
    let row = row("anna", 2);
    let bytes = row.encode();
    assert_eq!(VersionRow::decode(&bytes), Ok(row));
    let text = String::from_utf8(bytes).expect("JSON");
    let forged = text.replace("anna", "hans");
    assert!(VersionRow::decode(forged.as_bytes()).is_err());
    assert!(VersionRow::decode(b"{}").is_err());
}
