//! The ledger of one boot: what it writes, and what it may spend in the meantime.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::grant::GrantLedger;
use guavawell_core::grant::LedgerSettings;
use guavawell_core::grant::ReserveAnswer;
use guavawell_core::id::OrganisationId;

fn organisation() -> OrganisationId {
    "org".parse().expect("a valid id")
}

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(1_000_000 + millis)
}

/// A boot with a grant and a limit row.
fn started_ledger(paid: u64) -> GrantLedger {
    let instance = "i1".parse().expect("a valid id");
    let mut ledger = GrantLedger::new(instance, 7, at(0), LedgerSettings::default());
    ledger.set_paid(&organisation(), paid, 1);
    ledger.record_store_time(at(0), at(0), at(0));
    ledger.limits_read(0, None);
    let first = ledger
        .first_limits(at(0))
        .expect("the store's time is known");
    ledger.limits_sent(first, at(0));
    ledger.limits_written(1);
    ledger.budget_read(&organisation(), 0, None);
    let row = ledger
        .next_budget(&organisation(), at(0))
        .expect("an entry for the new boot");
    ledger.budget_sent(&organisation(), row, at(0));
    ledger.budget_written(&organisation(), 2);
    ledger
}

fn write_limits(ledger: &mut GrantLedger, now: ClockTime, version: u64) -> bool {
    let Some(row) = ledger.next_limits(now) else {
        return false;
    };
    ledger.limits_sent(row, now);
    ledger.limits_written(version);
    true
}

#[test]
fn unanswered_writes_do_not_block_later_ones() {
    let mut ledger = started_ledger(100_000);
    assert!(write_limits(&mut ledger, at(1_000), 3));
    for turn in 0..10 {
        ledger.wait(&organisation(), 10, true);
        let now = at(2_000 + turn * 1_000);
        let row = ledger
            .next_limits(now)
            .expect("a waiting request raises the limit");
        ledger.limits_sent(row, now);
        ledger.limits_unanswered();
        // A read shows that the row has not changed.
        ledger.limits_read(3, None);
    }
    ledger.wait(&organisation(), 10, true);
    assert!(write_limits(&mut ledger, at(20_000), 4));
}

#[test]
fn an_unanswered_raise_does_not_increase_the_allowance() {
    let mut ledger = started_ledger(100_000);
    assert_eq!(
        ledger.reserve(&organisation(), 50, at(10)),
        ReserveAnswer::Locked(ClockSpan::from_millis(u64::MAX / 4))
    );
    ledger.wait(&organisation(), 50, true);
    let row = ledger
        .next_limits(at(10))
        .expect("a waiting request raises the limit");
    ledger.limits_sent(row, at(10));
    assert_ne!(
        ledger.reserve(&organisation(), 50, at(20)),
        ReserveAnswer::Granted
    );
    ledger.limits_written(3);
    assert_eq!(
        ledger.reserve(&organisation(), 50, at(20)),
        ReserveAnswer::Granted
    );
}

#[test]
fn a_lowered_budget_stops_spending_at_once() {
    let mut ledger = started_ledger(100_000);
    ledger.wait(&organisation(), 50, true);
    assert!(write_limits(&mut ledger, at(10), 3));
    assert_eq!(
        ledger.reserve(&organisation(), 50, at(20)),
        ReserveAnswer::Granted
    );
    ledger.set_paid(&organisation(), 60, 2);
    assert_ne!(
        ledger.reserve(&organisation(), 50, at(30)),
        ReserveAnswer::Granted
    );
    let row = ledger
        .next_budget(&organisation(), at(30))
        .expect("the surplus is returned");
    assert!(row.committed() <= 60);
}

#[test]
fn a_process_that_leaves_reserves_nothing_and_gives_everything_back() {
    let mut ledger = started_ledger(100_000);
    ledger.wait(&organisation(), 50, true);
    assert!(write_limits(&mut ledger, at(10), 3));
    assert_eq!(
        ledger.reserve(&organisation(), 50, at(20)),
        ReserveAnswer::Granted
    );
    ledger.leave();
    assert_eq!(
        ledger.reserve(&organisation(), 50, at(30)),
        ReserveAnswer::Unknown
    );
    assert!(ledger.next_budget(&organisation(), at(30)).is_none());
    let row = ledger
        .final_budget(&organisation())
        .expect("an entry to remove");
    assert_eq!((row.closed, row.holders.len()), (50, 0));
}
