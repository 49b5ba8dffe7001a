//! Releases and joins are answered from what the witness has.

use guavawell_core::budget::AskId;
use guavawell_core::budget::HolderAnswer;
use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::RefusalReason;
use guavawell_core::budget::ReleaseAnswer;
use guavawell_core::budget::ReserveAnswer;
use guavawell_core::budget::SealAnswer;
use guavawell_core::budget::SealRequest;
use guavawell_core::budget::TokenPool;
use guavawell_core::budget::WitnessRefusal;

use crate::rig::HolderRig;
use crate::rig::identity;
use crate::rig::is_granted;
use crate::rig::is_pending;
use crate::rig::is_unreachable;
use crate::rig::life;
use crate::rig::row;

#[test]
fn a_release_is_answered_once_the_witness_has_it() {
    let mut rig = HolderRig::ready(0);
    rig.reserve(1, 1, 1);
    rig.ack();
    rig.release(2, 1, 1);
    assert_eq!(rig.released(2), None);
    rig.ack();
    assert_eq!(rig.released(2), Some(&ReleaseAnswer::Released));
    // Nothing is left to record, but the witness still has to say so.
    rig.release(3, 1, 1);
    assert_eq!(rig.released(3), None);
    rig.ack();
    assert_eq!(rig.released(3), Some(&ReleaseAnswer::Released));
}

#[test]
fn a_holder_that_was_taken_over_unheard_neither_releases_nor_joins() {
    let mut rig = HolderRig::ready(0);
    rig.reserve(1, 1, 1);
    rig.ack();
    rig.reserve(2, 1, 2);
    rig.release(3, 2, 7);
    assert_eq!((rig.reserved(2), rig.released(3)), (None, None));
    rig.taken_over();
    assert!(matches!(
        rig.reserved(2),
        Some(ReserveAnswer::NotHolder { .. })
    ));
    assert!(matches!(
        rig.released(3),
        Some(ReleaseAnswer::NotHolder { .. })
    ));
}

#[test]
fn a_takeover_before_the_acknowledgement_leaves_the_release_to_the_new_holder() {
    let mut rig = HolderRig::ready(0);
    rig.reserve(1, 1, 1);
    rig.ack();
    rig.release(2, 1, 1);
    rig.release(3, 1, 1);
    rig.taken_over();
    for ask in [2, 3] {
        let answer = rig.released(ask);
        assert!(
            matches!(answer, Some(ReleaseAnswer::NotHolder { holder: Some(holder) }) if *holder == life("b")),
            "{answer:?}"
        );
    }
}

#[test]
fn a_release_is_pending_while_the_witness_is_away() {
    let mut rig = HolderRig::ready(50);
    rig.reserve(1, 1, 1);
    rig.ack();
    rig.release(2, 1, 1);
    rig.lose_witness();
    assert!(is_pending(rig.released(2)));
    // The attempt is gone here, so another may run; the release is not durable.
    rig.release(3, 1, 1);
    assert!(is_pending(rig.released(3)));
    rig.reserve(4, 1, 2);
    assert!(is_granted(rig.reserved(4)));
    rig.release(5, 1, 2);
    assert!(is_pending(rig.released(5)), "a float attempt, too");
    rig.settle_down();
    rig.release(6, 1, 1);
    rig.settle_down();
    assert_eq!(rig.released(6), Some(&ReleaseAnswer::Released));
}

#[test]
fn without_a_witness_a_release_is_answered_at_once() {
    let mut rig = HolderRig::new(0, false);
    rig.reserve(1, 1, 1);
    rig.table();
    rig.release(2, 1, 1);
    assert_eq!(rig.released(2), Some(&ReleaseAnswer::Released));
}

#[test]
fn a_join_waits_for_the_reservation_that_it_joins() {
    let mut rig = HolderRig::ready(0);
    rig.reserve(1, 1, 1);
    rig.reserve(2, 1, 2);
    assert_eq!(rig.reserved(2), None);
    rig.ack();
    assert!(is_granted(rig.reserved(1)));
    rig.settle_down();
    assert!(rig.joins(2, 1));
}

#[test]
fn a_join_does_not_outlive_a_reservation_lost_by_a_takeover() {
    let mut rig = HolderRig::ready(0);
    rig.reserve(1, 1, 1);
    rig.reserve(2, 1, 2);
    rig.taken_over();
    for ask in [1, 2] {
        let answer = rig.reserved(ask);
        assert!(
            matches!(answer, Some(ReserveAnswer::NotHolder { .. })),
            "{answer:?}"
        );
    }
}

#[test]
fn a_join_to_a_reservation_that_was_given_up_is_no_join() {
    let mut rig = HolderRig::ready(0);
    rig.reserve(1, 1, 1);
    rig.reserve(2, 1, 2);
    rig.lose_witness();
    assert!(is_unreachable(rig.reserved(1)));
    assert!(is_unreachable(rig.reserved(2)));
    let given: Vec<u128> = rig.given_back.iter().map(|ask| ask.attempt.get()).collect();
    assert_eq!(given, [1], "the witness may have it");
}

#[test]
fn a_join_follows_a_reservation_into_the_float() {
    let mut rig = HolderRig::ready(50);
    rig.reserve(1, 1, 1);
    rig.reserve(2, 1, 2);
    rig.lose_witness();
    assert!(
        matches!(rig.reserved(1), Some(ReserveAnswer::Granted(grant)) if grant.pool == TokenPool::Float)
    );
    assert!(rig.joins(2, 1));
}

#[test]
fn a_join_runs_itself_where_the_joined_attempt_was_released_meanwhile() {
    let mut rig = HolderRig::ready(0);
    rig.reserve(1, 1, 1);
    rig.reserve(2, 1, 2);
    rig.release(3, 1, 1);
    rig.ack();
    assert_eq!(rig.released(3), None);
    rig.settle_down();
    assert!(is_granted(rig.reserved(2)));
    assert_eq!(rig.released(3), Some(&ReleaseAnswer::Released));
}

#[test]
fn two_queued_attempts_of_a_request_wait_for_one_acknowledgement() {
    let mut rig = HolderRig::new(0, true);
    rig.reserve(1, 1, 1);
    rig.reserve(2, 1, 2);
    rig.table();
    assert_eq!(rig.reserved(2), None);
    rig.ack();
    assert!(is_granted(rig.reserved(1)));
    rig.settle_down();
    assert!(rig.joins(2, 1));
}

#[test]
fn a_seal_found_before_its_acknowledgement_is_no_refusal_for_good() {
    let mut rig = HolderRig::ready(0);
    let seal = SealRequest {
        identity: identity(1),
    };
    rig.tell(HolderEvent::Seal(AskId::new(1), seal.clone()));
    rig.reserve(2, 1, 1);
    // A repeated seal waits for the batch on its way, not for a later one.
    rig.tell(HolderEvent::Seal(AskId::new(3), seal));
    assert_eq!(rig.reserved(2), None);
    rig.ack();
    let sealed = HolderAnswer::Seal(SealAnswer::Sealed);
    assert_eq!(rig.answer(1), Some(&sealed));
    assert_eq!(rig.answer(3), Some(&sealed));
    rig.settle_down();
    assert_eq!(rig.reserved(2), Some(&ReserveAnswer::Sealed));
}

#[test]
fn a_seal_that_its_witness_may_lack_is_not_told() {
    let mut rig = HolderRig::ready(50);
    let seal = SealRequest {
        identity: identity(1),
    };
    rig.tell(HolderEvent::Seal(AskId::new(1), seal));
    rig.lose_witness();
    rig.reserve(2, 1, 1);
    assert!(is_unreachable(rig.reserved(2)));
}

#[test]
fn a_released_attempt_that_waited_to_join_never_runs() {
    let mut rig = HolderRig::ready(0);
    rig.reserve(1, 1, 1);
    rig.reserve(2, 1, 2);
    rig.release(3, 1, 2);
    assert!(is_unreachable(rig.reserved(2)));
    rig.release(4, 1, 1);
    rig.settle_down();
    assert_eq!(rig.released(4), Some(&ReleaseAnswer::Released));
    rig.reserve(5, 1, 3);
    rig.settle_down();
    assert!(is_granted(rig.reserved(5)), "nothing is left to join");
}

#[test]
fn a_join_is_told_alone_only_while_no_takeover_is_known() {
    for reason in [RefusalReason::UnknownStamp, RefusalReason::Stopped] {
        let mut rig = HolderRig::ready(0);
        rig.reserve(1, 1, 1);
        rig.ack();
        rig.reserve(2, 2, 2);
        let stamp = rig.acks[0].stamp.clone();
        rig.tell(HolderEvent::Refusal(WitnessRefusal { stamp, reason }));
        rig.reserve(3, 1, 3);
        let is_stopped = reason == RefusalReason::Stopped;
        assert_eq!(rig.joins(3, 1), !is_stopped);
        assert_eq!(is_unreachable(rig.reserved(3)), is_stopped);
    }
}

#[test]
fn a_release_of_an_earlier_tenure_ends_no_wait_of_this_one() {
    let mut rig = HolderRig::ready(0);
    let present = Some(row().tenure);
    rig.reserve(1, 1, 1);
    rig.reserve(2, 1, 2);
    rig.release_before(3, 1, 2, present);
    assert_eq!(rig.reserved(2), None, "it goes on waiting to join");
    rig.release_before(4, 1, 1, present);
    rig.settle_down();
    assert!(is_granted(rig.reserved(1)));
    assert!(rig.joins(2, 1));
}
