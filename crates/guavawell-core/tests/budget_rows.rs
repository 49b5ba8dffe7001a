//! Tests each rule of the budget row in isolation.

use guavawell_core::budget::BudgetRow;
use guavawell_core::budget::FormerUse;
use guavawell_core::budget::FrozenReclaim;
use guavawell_core::budget::FrozenReport;
use guavawell_core::budget::GrantChange;
use guavawell_core::budget::RowChange;
use guavawell_core::budget::RowError;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::TenureCounters;
use guavawell_core::budget::TopUpId;
use guavawell_core::budget::shard_of;
use guavawell_core::id::ManifestVersion;
use guavawell_core::id::ShardId;
use guavawell_core::id::SlotEpoch;
use guavawell_core::id::TokenCount;

fn slot() -> SlotId {
    SlotId {
        zone: "tln-a".parse().unwrap(),
        shard: ShardId::new(3),
    }
}

fn tokens(count: u64) -> TokenCount {
    TokenCount::new(count)
}

fn row(paid: u64) -> BudgetRow {
    BudgetRow::new(
        "org".parse().unwrap(),
        tokens(paid),
        ManifestVersion::new(1),
    )
}

/// A change by the holder of the first tenure that requests `need` tokens.
fn change(sequence: u64, need: u64) -> GrantChange {
    GrantChange {
        slot: slot(),
        tenure: SlotEpoch::new(1),
        sequence,
        former: FormerUse::default(),
        settled: TokenCount::ZERO,
        float_settled: TokenCount::ZERO,
        hand_back: TokenCount::ZERO,
        need: tokens(need),
        want: tokens(need),
        demand: tokens(1),
    }
}

fn written(change: Result<RowChange, RowError>) -> BudgetRow {
    match change {
        Ok(RowChange::Write(row)) => {
            assert!(row.is_balanced(), "{row:?}");
            row
        }
        other => panic!("expected a write, found {other:?}"),
    }
}

fn open(row: &BudgetRow) -> u64 {
    row.grant(&slot()).map_or(0, |grant| grant.open.get())
}

#[test]
fn a_repeated_change_is_not_applied_again() {
    let granted = written(row(100).change_grant(&change(1, 40)));
    assert_eq!(open(&granted), 40);
    assert_eq!(granted.change_grant(&change(1, 40)), Ok(RowChange::Applied));
}

#[test]
fn a_need_is_granted_from_all_unspent_tokens_and_a_want_from_a_share() {
    let granted = written(row(100).change_grant(&change(1, 500)));
    assert_eq!(open(&granted), 100);
    let want_only = GrantChange {
        need: tokens(0),
        ..change(1, 500)
    };
    assert_eq!(open(&written(row(100).change_grant(&want_only))), 50);
}

#[test]
fn settled_and_returned_tokens_are_deducted_from_the_grant() {
    let granted = written(row(100).change_grant(&change(1, 40)));
    let back = GrantChange {
        settled: tokens(10),
        hand_back: tokens(20),
        ..change(2, 0)
    };
    let after = written(granted.change_grant(&back));
    assert_eq!(
        (open(&after), after.settled, after.unspent()),
        (10, tokens(10), tokens(80))
    );
    let too_much = GrantChange {
        settled: tokens(10),
        hand_back: tokens(11),
        ..change(3, 0)
    };
    assert_eq!(after.change_grant(&too_much), Err(RowError::GrantOverdrawn));
}

/// The row after the holder of tenure 2 took over from the holder of tenure 1. The
/// witness knows that tenure 1 charged 5 tokens to its float of 15 and 10 tokens to
/// the witnessed part.
fn taken_over() -> BudgetRow {
    let granted = written(row(100).change_grant(&change(1, 60)));
    let counters = TenureCounters {
        tenure: SlotEpoch::new(1),
        float: tokens(15),
        settled: tokens(10),
        float_settled: tokens(5),
    };
    let close = GrantChange {
        tenure: SlotEpoch::new(2),
        former: FormerUse {
            unknown_before: SlotEpoch::new(0),
            counters: vec![counters],
        },
        ..change(1, 0)
    };
    written(granted.change_grant(&close))
}

#[test]
fn a_takeover_settles_known_charges_and_freezes_the_float() {
    let row = taken_over();
    assert_eq!((open(&row), row.settled), (35, tokens(15)));
    assert_eq!(row.frozen[0].tokens, tokens(10));
    assert_eq!(row.change_grant(&change(2, 1)), Err(RowError::LaterTenure));
}

#[test]
fn a_late_report_is_applied_once_and_never_exceeds_the_frozen_tokens() {
    let row = taken_over();
    let report = FrozenReport {
        slot: slot(),
        tenure: SlotEpoch::new(1),
        settled: tokens(50),
        float_settled: tokens(9),
        running: TokenCount::ZERO,
    };
    let after = written(row.report_frozen(&report));
    assert_eq!((after.settled, after.unspent()), (tokens(19), tokens(46)));
    assert_eq!(after.report_frozen(&report), Ok(RowChange::Applied));
    let too_much = FrozenReport {
        float_settled: tokens(16),
        ..report
    };
    assert_eq!(row.report_frozen(&too_much), Err(RowError::GrantOverdrawn));
}

#[test]
fn a_reclaim_without_proof_charges_all_frozen_tokens() {
    let reclaim = FrozenReclaim {
        slot: slot(),
        tenure: SlotEpoch::new(1),
        spent: None,
    };
    assert_eq!(
        written(taken_over().reclaim_frozen(&reclaim)).settled,
        tokens(25)
    );
    let proven = FrozenReclaim {
        spent: Some(tokens(2)),
        ..reclaim
    };
    assert_eq!(
        written(taken_over().reclaim_frozen(&proven)).settled,
        tokens(17)
    );
}

#[test]
fn losing_holder_and_witness_freezes_the_whole_grant() {
    let granted = written(row(100).change_grant(&change(1, 60)));
    let close = GrantChange {
        tenure: SlotEpoch::new(2),
        former: FormerUse {
            unknown_before: SlotEpoch::new(2),
            counters: Vec::new(),
        },
        ..change(1, 0)
    };
    let lost = written(granted.change_grant(&close));
    assert_eq!((open(&lost), lost.frozen[0].tokens), (0, tokens(60)));
    let report = FrozenReport {
        slot: slot(),
        tenure: SlotEpoch::new(1),
        settled: tokens(7),
        float_settled: tokens(2),
        running: tokens(1),
    };
    assert_eq!(lost.report_frozen(&report), Err(RowError::StillRunning));
    let ended = FrozenReport {
        running: TokenCount::ZERO,
        ..report
    };
    assert_eq!(written(lost.report_frozen(&ended)).settled, tokens(9));
}

#[test]
fn top_ups_are_added_once_and_a_lowered_base_never_cuts_committed_tokens() {
    let granted = written(row(100).change_grant(&change(1, 60)));
    let id: TopUpId = "may".parse().unwrap();
    let raised = written(granted.top_up(&id, tokens(30)));
    assert_eq!(raised.paid, tokens(130));
    assert_eq!(raised.top_up(&id, tokens(30)), Ok(RowChange::Applied));
    let version = ManifestVersion::new(2);
    let lowered = written(raised.set_base(version, tokens(10)));
    assert_eq!((lowered.paid, lowered.unspent()), (tokens(60), tokens(0)));
    let back = GrantChange {
        hand_back: tokens(50),
        ..change(2, 0)
    };
    assert_eq!(written(lowered.change_grant(&back)).paid, tokens(40));
    let older = ManifestVersion::new(1);
    assert_eq!(
        lowered.set_base(older, tokens(9)),
        Err(RowError::OlderVersion)
    );
}

#[test]
fn a_shard_is_the_same_on_every_router() {
    let organisation = "kivisild".parse().unwrap();
    assert_eq!(shard_of(&organisation, 64), shard_of(&organisation, 64));
    assert_eq!(shard_of(&organisation, 0), ShardId::new(0));
}
