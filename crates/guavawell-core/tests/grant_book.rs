//! The book of one boot: what it writes, and what it may spend meanwhile.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::grant::BookSettings;
use guavawell_core::grant::GrantBook;
use guavawell_core::grant::ReserveAnswer;
use guavawell_core::id::OrganisationId;

fn organisation() -> OrganisationId {
    "org".parse().expect("a valid id")
}

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(1_000_000 + millis)
}

/// A boot that holds a grant and a line.
fn begun(paid: u64) -> GrantBook {
    let instance = "i1".parse().expect("a valid id");
    let mut book = GrantBook::new(instance, 7, at(0), BookSettings::default());
    book.set_paid(&organisation(), paid, 1);
    book.tell_time(at(0), at(0), at(0));
    book.saw_lines(0, None);
    let first = book.first_lines(at(0)).expect("the store's time is known");
    book.sent_lines(first, at(0));
    book.wrote_lines(1);
    book.saw_budget(&organisation(), 0, None);
    let row = book
        .next_budget(&organisation(), at(0))
        .expect("a first entry");
    book.sent_budget(&organisation(), row, at(0));
    book.wrote_budget(&organisation(), 2);
    book
}

fn write_lines(book: &mut GrantBook, now: ClockTime, version: u64) -> bool {
    let Some(row) = book.next_lines(now) else {
        return false;
    };
    book.sent_lines(row, now);
    book.wrote_lines(version);
    true
}

#[test]
fn writes_that_vanish_do_not_stop_later_ones() {
    let mut book = begun(100_000);
    assert!(write_lines(&mut book, at(1_000), 3));
    for turn in 0..10 {
        book.wait(&organisation(), 10, true);
        let now = at(2_000 + turn * 1_000);
        let row = book.next_lines(now).expect("a raise is wanted");
        book.sent_lines(row, now);
        book.lost_lines();
        // The row was read and has not changed.
        book.saw_lines(3, None);
    }
    book.wait(&organisation(), 10, true);
    assert!(write_lines(&mut book, at(20_000), 4));
}

#[test]
fn a_raise_that_is_open_does_not_bind_upwards() {
    let mut book = begun(100_000);
    assert_eq!(
        book.reserve(&organisation(), 50, at(10)),
        ReserveAnswer::Locked(ClockSpan::from_millis(u64::MAX / 4))
    );
    book.wait(&organisation(), 50, true);
    let row = book.next_lines(at(10)).expect("a raise is wanted");
    book.sent_lines(row, at(10));
    assert_ne!(
        book.reserve(&organisation(), 50, at(20)),
        ReserveAnswer::Granted
    );
    book.wrote_lines(3);
    assert_eq!(
        book.reserve(&organisation(), 50, at(20)),
        ReserveAnswer::Granted
    );
}

#[test]
fn a_lowered_budget_stops_spending_at_once() {
    let mut book = begun(100_000);
    book.wait(&organisation(), 50, true);
    assert!(write_lines(&mut book, at(10), 3));
    assert_eq!(
        book.reserve(&organisation(), 50, at(20)),
        ReserveAnswer::Granted
    );
    book.set_paid(&organisation(), 60, 2);
    assert_ne!(
        book.reserve(&organisation(), 50, at(30)),
        ReserveAnswer::Granted
    );
    let row = book
        .next_budget(&organisation(), at(30))
        .expect("the surplus goes back");
    assert!(row.committed() <= 60);
}

#[test]
fn a_process_that_leaves_reserves_nothing_and_gives_everything_back() {
    let mut book = begun(100_000);
    book.wait(&organisation(), 50, true);
    assert!(write_lines(&mut book, at(10), 3));
    assert_eq!(
        book.reserve(&organisation(), 50, at(20)),
        ReserveAnswer::Granted
    );
    book.leave();
    assert_eq!(
        book.reserve(&organisation(), 50, at(30)),
        ReserveAnswer::Unknown
    );
    assert!(book.next_budget(&organisation(), at(30)).is_none());
    let row = book.last_budget(&organisation()).expect("an entry to end");
    assert_eq!((row.closed, row.holders.len()), (50, 0));
}
