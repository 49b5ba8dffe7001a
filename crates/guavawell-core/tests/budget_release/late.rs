//! Reservations and releases that come late, twice or in another order.

use guavawell_core::budget::AskId;
use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::HolderSettings;
use guavawell_core::budget::ReleaseAnswer;
use guavawell_core::budget::SealRequest;

use crate::rig::HolderRig;
use crate::rig::identity;
use crate::rig::is_granted;
use crate::rig::is_unreachable;

/// Guards against a request that stays "already run" for good: a holder that was
/// paused found the release of an attempt before its reservation, and held the
/// attempt, which nobody ran and nobody gave back again.
#[test]
fn a_reservation_that_comes_after_its_release_is_not_held() {
    for float_percent in [0, 25] {
        let mut rig = HolderRig::ready(float_percent);
        rig.release(1, 1, 1);
        rig.settle_down();
        assert_eq!(rig.released(1), Some(&ReleaseAnswer::Released));
        rig.reserve(2, 1, 1);
        rig.settle_down();
        assert!(is_unreachable(rig.reserved(2)));
        rig.reserve(3, 1, 2);
        rig.settle_down();
        assert!(is_granted(rig.reserved(3)), "another try of the request");
    }
}

/// As above, where the reservation had arrived once and comes again.
#[test]
fn a_reservation_that_is_repeated_after_its_release_is_not_held() {
    let mut rig = HolderRig::ready(0);
    rig.reserve(1, 1, 1);
    rig.settle_down();
    rig.release(2, 1, 1);
    rig.settle_down();
    rig.reserve(3, 1, 1);
    rig.settle_down();
    assert!(is_unreachable(rig.reserved(3)));
}

/// A release that means an earlier tenure takes nothing from this one.
#[test]
fn a_release_of_an_earlier_tenure_refuses_no_reservation() {
    let mut rig = HolderRig::ready(0);
    let tenure = rig.holder.ledger().tenure;
    rig.release_before(1, 1, 1, Some(tenure));
    rig.reserve(2, 1, 1);
    rig.settle_down();
    assert!(is_granted(rig.reserved(2)));
}

#[test]
fn released_attempts_are_forgotten_in_the_end() {
    let mut rig = HolderRig::ready(0);
    rig.release(1, 1, 1);
    rig.settle_down();
    rig.now = rig.now + HolderSettings::default().released_for;
    rig.tell(HolderEvent::Tick);
    rig.settle_down();
    rig.reserve(2, 1, 1);
    rig.settle_down();
    assert!(is_granted(rig.reserved(2)));
}

/// Guards against callers that hear nothing: while the witness was silent, an
/// attempt of the former tenure that was asked for again waited for its word
/// without an end.
#[test]
fn an_inherited_attempt_is_answered_while_the_witness_is_silent() {
    let mut rig = HolderRig::ready(0);
    rig.reserve(1, 1, 1);
    rig.settle_down();
    assert!(is_granted(rig.reserved(1)));
    rig.succeed();
    let seal = SealRequest {
        identity: identity(7),
    };
    rig.tell(HolderEvent::Seal(AskId::new(2), seal));
    rig.lose_witness();
    rig.reserve(3, 1, 1);
    assert!(rig.reserved(3).is_some(), "it is told at once");
}
