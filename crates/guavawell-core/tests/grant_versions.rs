//! A row as its writer knows it, with lost and late answers, and reads in between.

use guavawell_core::grant::TrackedRow;

fn known(rows: &TrackedRow<u64>) -> Option<u64> {
    rows.known().copied()
}

#[test]
fn a_write_read_before_its_answer_is_confirmed() {
    let mut rows = TrackedRow::default();
    rows.row_read(3, Some(10));
    rows.write_sent(20);
    rows.row_read(4, Some(20));
    rows.write_confirmed(4);
    assert_eq!(known(&rows), Some(20));
    assert_eq!(rows.version(), 4);
}

#[test]
fn an_answer_older_than_a_read_changes_nothing() {
    let mut rows = TrackedRow::default();
    rows.row_read(3, Some(10));
    rows.write_sent(20);
    rows.row_read(7, Some(30));
    rows.write_confirmed(4);
    assert_eq!(known(&rows), Some(30));
    assert_eq!(rows.version(), 7);
}

#[test]
fn a_lost_write_binds_until_a_later_version_is_seen() {
    let mut rows = TrackedRow::default();
    rows.row_read(3, Some(10));
    rows.write_sent(5);
    rows.row_read(3, Some(10));
    assert_eq!(rows.min_of(|row| *row), 5);
    rows.write_sent(8);
    assert_eq!(rows.min_of(|row| *row), 5);
    rows.write_confirmed(4);
    assert_eq!(rows.min_of(|row| *row), 8);
}

#[test]
fn a_rejected_write_binds_no_longer() {
    let mut rows = TrackedRow::default();
    rows.row_read(3, Some(10));
    rows.write_sent(5);
    rows.write_rejected();
    assert_eq!(rows.min_of(|row| *row), 10);
    assert!(!rows.has_pending_writes());
}

#[test]
fn nothing_is_known_before_the_first_read() {
    let rows = TrackedRow::<u64>::default();
    assert!(!rows.is_read());
    assert_eq!(rows.version(), 0);
    assert_eq!(rows.min_of(|row| *row), 0);
}
