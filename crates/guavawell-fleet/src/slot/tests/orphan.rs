//! Attempts that a dead router left in the float of a former holder.

use std::sync::Arc;

use guavawell_core::budget::HolderSettings;
use guavawell_core::budget::LedgerEntry;
use guavawell_core::budget::SlotHolder;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::SlotLedger;
use guavawell_core::budget::SlotRow;
use guavawell_core::budget::SlotWitness;
use guavawell_core::budget::TokenPool;
use guavawell_core::clock::ClockSpan;
use guavawell_core::id::AttemptId;
use guavawell_core::id::TokenCount;
use guavawell_core::request::RequestDigest;
use guavawell_core::request::RequestIdentity;

use super::NOW;
use super::life;
use crate::slot::resolve::collect;
use crate::slot::seat::SlotSeat;

fn reserve(request: u32, pool: TokenPool) -> LedgerEntry {
    LedgerEntry::Reserve {
        identity: RequestIdentity::from_caller("org-0".parse().unwrap(), &format!("r{request}"))
            .unwrap(),
        attempt: AttemptId::new(u128::from(request)),
        budget: "budget-0".parse().unwrap(),
        pool,
        amount: TokenCount::new(100),
        router: life("dead"),
        digest: RequestDigest::default(),
    }
}

#[test]
fn an_orphan_names_the_holder_whose_float_pays_for_it() {
    let first = SlotRow::first(life("first"));
    let mut ledger = SlotLedger::new(first.tenure);
    ledger.apply(&reserve(1, TokenPool::Float));
    ledger.apply(&reserve(2, TokenPool::Witnessed));
    let row = first.with_holder(life("second"));
    ledger.end_tenure(first.holder);
    ledger.begin_tenure(row.tenure);
    let slot: SlotId = "tln-a/0".parse().unwrap();
    let witness = SlotWitness::new(life("second"), slot.clone(), ClockSpan::from_millis(500));
    let seat = SlotSeat::new(slot.clone(), witness);
    let settings = Arc::new(HolderSettings::default());
    let holder = SlotHolder::new(settings, slot, row, ledger, NOW);
    let effects = seat.lock().begin(holder, NOW);
    assert!(effects.is_empty());
    let mut orphans = Vec::new();
    collect(&seat, &mut orphans, |router| *router != life("dead"));
    let mut holders: Vec<(u128, &str)> = orphans
        .iter()
        .map(|orphan| (orphan.held.attempt.get(), orphan.holder.instance.as_str()))
        .collect();
    holders.sort_unstable();
    assert_eq!(holders, [(1, "first"), (2, "second")]);
}
