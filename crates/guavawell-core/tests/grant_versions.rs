//! A row as its writer knows it, with answers that are lost, late or overtaken.

use guavawell_core::grant::RowVersions;

fn known(rows: &RowVersions<u64>) -> Option<u64> {
    rows.known().copied()
}

#[test]
fn a_write_that_was_read_before_its_answer_stands() {
    let mut rows = RowVersions::default();
    rows.seen(3, Some(10));
    rows.sent(20);
    rows.seen(4, Some(20));
    rows.stands(4);
    assert_eq!(known(&rows), Some(20));
    assert_eq!(rows.version(), 4);
}

#[test]
fn an_answer_that_was_overtaken_changes_nothing() {
    let mut rows = RowVersions::default();
    rows.seen(3, Some(10));
    rows.sent(20);
    rows.seen(7, Some(30));
    rows.stands(4);
    assert_eq!(known(&rows), Some(30));
    assert_eq!(rows.version(), 7);
}

#[test]
fn a_lost_write_binds_until_a_later_version_is_seen() {
    let mut rows = RowVersions::default();
    rows.seen(3, Some(10));
    rows.sent(5);
    rows.seen(3, Some(10));
    assert_eq!(rows.least(|row| *row), 5);
    rows.sent(8);
    assert_eq!(rows.least(|row| *row), 5);
    rows.stands(4);
    assert_eq!(rows.least(|row| *row), 8);
}

#[test]
fn a_write_that_was_turned_down_binds_no_longer() {
    let mut rows = RowVersions::default();
    rows.seen(3, Some(10));
    rows.sent(5);
    rows.dropped();
    assert_eq!(rows.least(|row| *row), 10);
    assert!(!rows.is_open());
}

#[test]
fn nothing_is_known_before_the_first_read() {
    let rows = RowVersions::<u64>::default();
    assert!(!rows.is_read());
    assert_eq!(rows.version(), 0);
    assert_eq!(rows.least(|row| *row), 0);
}
