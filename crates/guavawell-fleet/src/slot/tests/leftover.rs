//! What a takeover leaves behind: holders that have nothing to report, and
//! attempts that two holders of one seat know.

use guavawell_core::budget::HolderSettings;
use guavawell_core::budget::ReleaseAnswer;
use guavawell_core::budget::TokenPool;
use guavawell_core::id::TokenCount;

use super::rig::SeatPair;
use super::rig::charged;

/// Settings without a float, so that nothing freezes but a whole grant.
fn no_float() -> HolderSettings {
    HolderSettings {
        float_percent: 0,
        ..HolderSettings::default()
    }
}

/// The first router's ask waits for the table when the slot is taken over, so
/// that its holder has an account of nothing: there is nothing to report.
#[test]
fn a_holder_that_reserved_nothing_owes_no_report() {
    let mut pair = SeatPair::start(&no_float());
    pair.is_holding = true;
    assert!(pair.try_reserve(0, 1).is_none(), "it waits for the table");
    pair.perform();
    pair.is_holding = false;
    pair.take_over(1);
    pair.learn_row(0);
    pair.run(1, 2, 20);
    pair.quiesce();
    assert_eq!(pair.budget.settled, TokenCount::new(20));
    assert!(!pair.owes_reports(0), "kept for good");
}

/// As above, where the router holds the slot again.
#[test]
fn a_former_holder_that_reserved_nothing_is_not_kept() {
    let mut pair = SeatPair::start(&no_float());
    pair.is_holding = true;
    assert!(pair.try_reserve(0, 1).is_none(), "it waits for the table");
    pair.perform();
    pair.is_holding = false;
    pair.take_over(1);
    pair.entrust(1);
    pair.run(1, 2, 20);
    pair.hand_over(1);
    pair.tick(0);
    pair.run(0, 3, 20);
    pair.quiesce();
    assert_eq!(pair.budget.settled, TokenCount::new(40));
    assert!(!pair.owes_reports(0), "kept for good");
}

/// The slot was begun anew while the attempt ran, and a late copy of the ask
/// was granted there too. The first router holds the slot again when the
/// attempt is charged, so its seat knows the attempt twice.
#[test]
fn a_charge_that_two_tenures_reserved_is_counted_once() {
    let mut pair = SeatPair::start(&no_float());
    let grant = pair.reserve(0, 1);
    pair.seize(1);
    pair.learn_row(0);
    let late = pair.reserve(1, 1);
    assert_ne!(late.tenure, grant.tenure);
    pair.entrust(1);
    pair.hand_over(1);
    pair.tick(0);
    let answer = pair.settle_through(1, &grant, 60);
    pair.quiesce();
    assert_eq!(answer, Some(charged(60)));
    assert_eq!(pair.frozen(), TokenCount::ZERO);
    assert_eq!(pair.budget.settled, TokenCount::new(60));
}

/// A seat's former holder takes the first release of an attempt that the
/// present one inherited; the router is sent on and asks once more.
#[test]
fn an_inherited_attempt_is_released_while_a_former_holder_is_kept() {
    let mut pair = SeatPair::start(&HolderSettings::default());
    let grant = pair.reserve(0, 4);
    assert_eq!(grant.pool, TokenPool::Witnessed);
    pair.part(0);
    let float = pair.reserve(0, 2);
    assert_eq!(float.pool, TokenPool::Float);
    pair.is_parted = false;
    pair.take_over(1);
    pair.learn_row(0);
    pair.entrust(1);
    pair.hand_over(1);
    pair.tick(0);
    pair.quiesce();
    assert!(pair.is_reserved(0, 4));
    let first = pair.release(0, 4);
    assert!(
        matches!(first, Some(ReleaseAnswer::NotHolder { .. })),
        "{first:?}"
    );
    assert_eq!(pair.release(0, 4), Some(ReleaseAnswer::Released));
    assert!(!pair.is_reserved(0, 4));
}
