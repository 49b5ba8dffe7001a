//! Attempts that run in the float of a former tenure.
//!
//! Only the former holder reports its float, so a grant has to name it: a
//! charge that reaches the present holder alone is counted nowhere.

use std::sync::Arc;

use guavawell_core::budget::AskId;
use guavawell_core::budget::HolderAnswer;
use guavawell_core::budget::HolderEffect;
use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::HolderSettings;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::LedgerEntry;
use guavawell_core::budget::ReserveAnswer;
use guavawell_core::budget::ReserveGrant;
use guavawell_core::budget::ReserveRequest;
use guavawell_core::budget::SlotHolder;
use guavawell_core::budget::SlotLedger;
use guavawell_core::budget::SlotRow;
use guavawell_core::budget::TokenPool;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::AttemptId;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::TokenCount;
use guavawell_core::request::RequestDigest;
use guavawell_core::request::RequestIdentity;

const AMOUNT: TokenCount = TokenCount::new(10);

fn life(name: &str) -> InstanceIncarnation {
    InstanceIncarnation {
        instance: name.parse().unwrap(),
        incarnation: IncarnationId::new(1),
    }
}

fn identity() -> RequestIdentity {
    RequestIdentity::from_caller("org".parse().unwrap(), "r1").unwrap()
}

/// A ledger in which the float of the first holder pays for an attempt.
fn float_ledger() -> SlotLedger {
    let mut ledger = SlotLedger::new(SlotRow::first(life("a")).tenure);
    ledger.apply(&LedgerEntry::Reserve {
        identity: identity(),
        attempt: AttemptId::new(1),
        budget: "m".parse().unwrap(),
        pool: TokenPool::Float,
        amount: AMOUNT,
        router: life("q"),
        digest: RequestDigest::default(),
    });
    ledger
}

/// The row after `a` and `b` held the slot, and the ledger that `c` takes over.
fn take_over_twice(mut ledger: SlotLedger) -> (SlotRow, SlotLedger) {
    let mut row = SlotRow::first(life("a"));
    for next in ["b", "c"] {
        let former = row.holder.clone();
        row = row.with_holder(life(next));
        ledger.end_tenure(former);
        ledger.begin_tenure(row.tenure);
    }
    (row, ledger)
}

/// Asks the holder of `row` for the attempt again.
fn ask_again(row: SlotRow, ledger: SlotLedger) -> ReserveAnswer {
    let now = ClockTime::from_millis(1);
    let slot = "z1/0".parse().unwrap();
    let settings = Arc::new(HolderSettings::default());
    let mut holder = SlotHolder::new(settings, slot, row, ledger, now);
    let ask = ReserveRequest {
        identity: identity(),
        attempt: AttemptId::new(1),
        budget: "m".parse().unwrap(),
        amount: AMOUNT,
        router: life("q"),
        idempotent: true,
        digest: RequestDigest::default(),
    };
    let mut effects = Vec::new();
    holder.handle(HolderEvent::Reserve(AskId::new(1), ask), now, &mut effects);
    match effects.pop() {
        Some(HolderEffect::Answer(_, HolderAnswer::Reserve(answer))) => answer,
        other => panic!("expected an answer, found {other:?}"),
    }
}

#[test]
fn a_grant_from_a_former_float_names_its_holder_after_two_takeovers() {
    let (row, ledger) = take_over_twice(float_ledger());
    let grant = ReserveGrant {
        holder: life("a"),
        tenure: SlotRow::first(life("a")).tenure,
        pool: TokenPool::Float,
        amount: AMOUNT,
    };
    assert_eq!(ask_again(row, ledger), ReserveAnswer::Granted(grant));
}

/// A ledger that an older build handed over names no former holders.
#[test]
fn an_attempt_in_the_float_of_an_unknown_holder_is_not_granted() {
    let (row, mut ledger) = take_over_twice(float_ledger());
    ledger.former_holders.clear();
    let answer = ask_again(row, ledger);
    assert!(
        matches!(answer, ReserveAnswer::Unreachable { .. }),
        "{answer:?}"
    );
}

#[test]
fn former_holders_are_forgotten_with_their_attempts() {
    let mut ledger = float_ledger();
    ledger.apply(&LedgerEntry::Release {
        identity: identity(),
        attempt: AttemptId::new(1),
    });
    let (_, ledger) = take_over_twice(ledger);
    assert!(ledger.former_holders.is_empty(), "{ledger:?}");
}

/// Routers of different builds hand ledgers over to each other.
#[test]
fn the_text_of_a_ledger_without_former_floats_is_that_of_older_builds() {
    let ledger = SlotLedger::new(SlotRow::first(life("a")).tenure);
    let text = serde_json::to_string(&ledger).unwrap();
    assert!(!text.contains("former_holders"), "{text}");
    let read: SlotLedger = serde_json::from_str(&text).unwrap();
    assert_eq!(read, ledger);
    let (_, ledger) = take_over_twice(float_ledger());
    let text = serde_json::to_string(&ledger).unwrap();
    let read: SlotLedger = serde_json::from_str(&text).unwrap();
    assert_eq!(read, ledger);
}
