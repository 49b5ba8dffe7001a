//! Tests of refunds, audits, the journal and requests in doubt.

use super::*;
use crate::budget::BudgetRow;
use crate::budget::InstanceIncarnation;
use crate::budget::RowError;
use crate::budget::SlotId;
use crate::budget::TokenPool;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::id::AttemptId;
use crate::id::BudgetId;
use crate::id::IncarnationId;
use crate::id::ManifestVersion;
use crate::id::ShardId;
use crate::id::SlotEpoch;
use crate::id::TokenCount;
use crate::request::RequestIdentity;
use crate::request::StreamUsage;

fn slot(zone: &str) -> SlotId {
    SlotId {
        zone: zone.parse().unwrap(),
        shard: ShardId::new(3),
    }
}

fn router() -> InstanceIncarnation {
    InstanceIncarnation {
        instance: "tln-a-1".parse().unwrap(),
        incarnation: IncarnationId::new(77),
    }
}

fn budget() -> BudgetId {
    "b".parse().unwrap()
}

fn record(request: &str, attempt: u128, zone: &str, charged: u64, at: u64) -> BillingRecord {
    BillingRecord {
        identity: RequestIdentity::from_caller("o".parse().unwrap(), request).unwrap(),
        attempt: AttemptId::new(attempt),
        budget: budget(),
        slot: slot(zone),
        tenure: SlotEpoch::new(1),
        charged: TokenCount::new(charged),
        backend: None,
        counted: TokenCount::ZERO,
        pool: TokenPool::Witnessed,
        at: ClockTime::from_millis(at),
    }
}

#[test]
fn a_second_charge_of_an_identity_becomes_a_refund_in_any_order() {
    let records = vec![
        record("k", 1, "tln-a", 30, 10),
        record("k", 1, "tln-a", 30, 10),
        record("k", 2, "tln-b", 40, 20),
        record("k", 2, "tln-b", 40, 20),
        record("j", 3, "tln-a", 5, 30),
    ];
    let fold = fold_records(records.clone());
    assert_eq!(fold.charged(&budget()), TokenCount::new(35));
    assert_eq!(fold.owed(&budget()), TokenCount::new(40));
    assert_eq!(fold.repeated, 2);
    assert_eq!(fold.refunds.len(), 1);
    assert_eq!(fold.refunds[0].attempt, AttemptId::new(2));
    assert_eq!(fold.refunds[0].kept, AttemptId::new(1));
    let identity = &records[2].identity;
    assert_eq!(fold.charge(identity).unwrap().attempt, AttemptId::new(1));
    let mut order = records;
    for _ in 0..order.len() {
        order.rotate_left(1);
        assert_eq!(fold_records(order.clone()), fold);
    }
}

#[test]
fn the_audit_finds_every_kind_of_difference() {
    let fold = fold_records(vec![
        record("k", 1, "tln-a", 30, 10),
        record("k", 2, "tln-b", 40, 20),
    ]);
    let version = ManifestVersion::new(1);
    let mut row = BudgetRow::new("o".parse().unwrap(), TokenCount::new(100), version);
    let mut audit = |settled, refunded| {
        row.settled = TokenCount::new(settled);
        audit_budget(&budget(), &row, TokenCount::new(refunded), &fold).gap
    };
    assert_eq!(audit(70, 0), AuditGap::None);
    assert_eq!(audit(30, 40), AuditGap::None);
    assert_eq!(audit(75, 0), AuditGap::Unrecorded(TokenCount::new(5)));
    assert_eq!(audit(60, 0), AuditGap::Overdrawn(TokenCount::new(10)));
    row.grants.push(crate::budget::BudgetGrant {
        slot: slot("tln-a"),
        tenure: SlotEpoch::new(1),
        open: TokenCount::new(10),
        reported: TokenCount::ZERO,
        float_reported: TokenCount::ZERO,
        sequence: 1,
        demand: TokenCount::ZERO,
    });
    row.settled = TokenCount::new(60);
    let line = audit_budget(&budget(), &row, TokenCount::ZERO, &fold);
    assert_eq!(line.gap, AuditGap::Unreported(TokenCount::new(10)));
}

#[test]
fn a_gap_or_an_overlap_in_a_chain_is_found() {
    let paid = TokenCount::new(1_000);
    let row = BudgetRow::new("o".parse().unwrap(), paid, ManifestVersion::new(1));
    let with_counted = |request, attempt, charged, counted| BillingRecord {
        counted: TokenCount::new(counted),
        ..record(request, attempt, "tln-a", charged, counted)
    };
    let complete = vec![
        with_counted("c", 3, 0, 40),
        with_counted("a", 1, 30, 30),
        with_counted("b", 2, 10, 40),
        with_counted("d", 4, 5, 45),
    ];
    let faults = |records: &[BillingRecord]| -> Vec<(u64, ChainFault)> {
        let gaps = audit_chains(&budget(), &row, records).gaps;
        gaps.iter()
            .map(|gap| (gap.after.get(), gap.fault))
            .collect()
    };
    assert_eq!(faults(&complete), []);
    let mut repeated = complete.clone();
    repeated.push(complete[2].clone());
    assert_eq!(faults(&repeated), []);
    let mut lost = complete.clone();
    lost.remove(2);
    let missing = ChainFault::Missing(TokenCount::new(10));
    assert_eq!(faults(&lost), [(30, missing)]);
    let mut doubled = complete.clone();
    doubled.push(with_counted("e", 9, 10, 40));
    let overlap = ChainFault::Doubled(TokenCount::new(10));
    assert_eq!(faults(&doubled), [(30, overlap)]);
    let mut reported = row.clone();
    reported.grants.push(crate::budget::BudgetGrant {
        slot: slot("tln-a"),
        tenure: complete[0].tenure,
        open: TokenCount::ZERO,
        reported: TokenCount::new(50),
        float_reported: TokenCount::ZERO,
        sequence: 1,
        demand: TokenCount::ZERO,
    });
    let audit = audit_chains(&budget(), &reported, &complete);
    assert_eq!((audit.chains, audit.records), (1, 4));
    let tail = ChainFault::Trailing(TokenCount::new(5));
    assert_eq!(audit.gaps[0].fault, tail);
}

#[test]
fn a_charge_recorded_by_two_holders_is_checked_in_both_chains() {
    let paid = TokenCount::new(1_000);
    let row = BudgetRow::new("o".parse().unwrap(), paid, ManifestVersion::new(1));
    let with_counted = |request, tenure, counted| BillingRecord {
        tenure: SlotEpoch::new(tenure),
        counted: TokenCount::new(counted),
        ..record(request, counted.into(), "tln-a", 10, counted)
    };
    // The holder of tenure 1 recorded its charge of `b`, but lost the slot
    // before the charge was acknowledged. The holder of tenure 7 charged the
    // attempt.
    let former = with_counted("b", 1, 20);
    let present = BillingRecord {
        tenure: SlotEpoch::new(7),
        counted: TokenCount::new(10),
        ..former.clone()
    };
    let records = [
        with_counted("a", 1, 10),
        former,
        present,
        with_counted("c", 7, 20),
    ];
    let audit = audit_chains(&budget(), &row, &records);
    assert_eq!(audit.gaps, []);
    assert_eq!((audit.chains, audit.records), (2, 4));
    let lost = audit_chains(&budget(), &row, &records[..3]);
    assert_eq!(lost.gaps, [], "the row reports nothing after it");
    let lost = [records[0].clone(), records[1].clone(), records[3].clone()];
    let gaps = audit_chains(&budget(), &row, &lost).gaps;
    assert_eq!(gaps[0].fault, ChainFault::Missing(TokenCount::new(10)));
    assert_eq!(fold_records(records.to_vec()).charges.len(), 3);
}

#[test]
fn a_second_charge_is_refunded_only_once_the_row_includes_it() {
    let paid = TokenCount::new(1_000);
    let mut row = BudgetRow::new("o".parse().unwrap(), paid, ManifestVersion::new(1));
    let charge = BillingRecord {
        counted: TokenCount::new(40),
        ..record("k", 2, "tln-b", 40, 20)
    }
    .refund_charge();
    assert_eq!(row.refund(&charge), Err(RowError::NotReported));
    row.settled = TokenCount::new(39);
    row.grants.push(crate::budget::BudgetGrant {
        slot: slot("tln-b"),
        tenure: charge.tenure,
        open: TokenCount::new(10),
        reported: TokenCount::new(39),
        float_reported: TokenCount::new(100),
        sequence: 1,
        demand: TokenCount::ZERO,
    });
    assert_eq!(row.refund(&charge), Err(RowError::NotReported));
    row.grants[0].reported = TokenCount::new(40);
    row.settled = TokenCount::new(40);
    let refunded_row = row.refund(&charge).unwrap();
    assert_eq!(
        (refunded_row.settled, refunded_row.refunded),
        (TokenCount::ZERO, charge.tokens)
    );
    row.grants[0].tenure = SlotEpoch::new(9);
    row.grants[0].reported = TokenCount::ZERO;
    assert!(row.refund(&charge).is_ok(), "a later tenure closed it");
    row.frozen.push(crate::budget::FrozenTokens {
        slot: slot("tln-b"),
        tenure: charge.tenure,
        tokens: TokenCount::new(5),
        whole: false,
        reported: TokenCount::ZERO,
        float_reported: TokenCount::ZERO,
    });
    assert_eq!(row.refund(&charge), Err(RowError::NotReported));
}

#[test]
fn the_charge_that_is_kept_is_decided_once() {
    let later = record("k", 2, "tln-b", 40, 20);
    let earlier = record("k", 1, "tln-a", 30, 10);
    let first = RefundRow::first(std::slice::from_ref(&later)).unwrap();
    assert_eq!(first.kept, later.attempt);
    let both = [earlier.clone(), later];
    let open: Vec<&BillingRecord> = first.open(&both).collect();
    assert_eq!(
        open,
        [&earlier],
        "an earlier charge that is read later is refunded"
    );
    let row = first.with(&earlier, ClockTime::from_millis(5));
    assert_eq!(row.open(&both).count(), 0);
}

#[test]
fn a_window_finds_second_charges_and_evicts_old_ones() {
    let at = ClockTime::from_millis;
    let policy = WindowPolicy {
        retention: ClockSpan::from_millis(100),
        max_charges: 3,
    };
    let mut window = ChargeWindow::new(policy);
    let first = record("k", 1, "tln-a", 30, 10);
    window.add(vec![first.clone(), record("x", 3, "tln-a", 1, 1)], at(0));
    window.add(vec![first.clone()], at(1));
    assert_eq!((window.len(), window.conflicts(at(1)).count()), (2, 0));
    window.add(vec![record("k", 2, "tln-b", 40, 20)], at(2));
    assert_eq!(window.conflicts(at(2)).next().unwrap().len(), 2);
    window.postpone(&first.identity, at(50));
    assert_eq!(window.conflicts(at(49)).count(), 0);
    assert_eq!(window.conflicts(at(50)).count(), 1);
    window.add(vec![record("y", 4, "tln-a", 1, 1)], at(3));
    assert_eq!(
        window.len(),
        2,
        "the two charges that were read first are evicted"
    );
    window.add(Vec::new(), at(200));
    assert!(window.is_empty());
}

/// Guards against refunds of tokens that were never charged. If two records
/// cover the same range, the budget's row includes the range only once. A
/// refund of one of the records would then give back too much.
#[test]
fn overlapping_charges_are_detected() {
    let with_counted = |attempt, tenure, charged, counted| BillingRecord {
        tenure: SlotEpoch::new(tenure),
        counted: TokenCount::new(counted),
        ..record("k", attempt, "tln-a", charged, 0)
    };
    let first = with_counted(1, 1, 30, 30);
    let mut window = ChargeWindow::default();
    window.add(vec![first.clone()], ClockTime::from_millis(0));
    let is_overlapped = |record: &BillingRecord| window.is_overlapped(record);
    assert!(!is_overlapped(&first), "the same charge");
    assert!(is_overlapped(&with_counted(2, 1, 30, 30)), "the same range");
    assert!(
        is_overlapped(&with_counted(2, 1, 10, 35)),
        "a part of the range"
    );
    assert!(
        !is_overlapped(&with_counted(2, 1, 30, 60)),
        "the next range"
    );
    assert!(
        !is_overlapped(&with_counted(2, 2, 30, 30)),
        "another tenure"
    );
    assert!(!is_overlapped(&with_counted(2, 1, 30, 0)), "no range");
    let float = BillingRecord {
        pool: TokenPool::Float,
        ..with_counted(2, 1, 30, 30)
    };
    assert!(!is_overlapped(&float), "another pool");
}

#[test]
fn records_stay_until_their_segment_is_durable() {
    let policy = JournalPolicy {
        max_records: 2,
        max_wait: ClockSpan::from_millis(100),
    };
    let at = ClockTime::from_millis;
    let mut buffer = JournalBuffer::new(policy, slot("tln-a"), router());
    assert_eq!(buffer.due_in(at(0)), None);
    buffer.add(record("a", 1, "tln-a", 1, 0), at(0));
    assert_eq!(buffer.due_in(at(40)), Some(ClockSpan::from_millis(60)));
    assert_eq!(buffer.next(at(99)), None);
    let first = buffer.next(at(100)).unwrap().clone();
    buffer.add(record("b", 2, "tln-a", 1, 0), at(101));
    buffer.add(record("c", 3, "tln-a", 1, 0), at(102));
    assert_eq!(buffer.next(at(103)), Some(&first));
    assert_eq!(buffer.backlog(), 3);
    assert_eq!(buffer.take_written(&first.name).len(), 1);
    assert_eq!(buffer.take_written(&first.name).len(), 0);
    let second = buffer.next(at(103)).unwrap().clone();
    assert_eq!(second.records.len(), 2);
    buffer.rename(&second.name);
    let renamed = buffer.next(at(103)).unwrap().clone();
    assert_ne!(renamed.name, second.name);
    assert_eq!(renamed.records, second.records);
    assert_eq!(buffer.backlog(), 2);
}

#[test]
fn segments_read_back_as_they_were_written() {
    let name = SegmentName {
        slot: slot("tln-a"),
        router: router(),
        sequence: 4,
    };
    assert_eq!(name.to_string(), "journal/3/tln-a/tln-a-1-77-0000000004");
    assert_eq!(name.to_string().parse(), Ok(name.clone()));
    for bad in [
        "journal/3/tln-a/1-2",
        "journal/x/z/a-1-2",
        "j/3/z/a-1-2",
        "",
    ] {
        assert!(bad.parse::<SegmentName>().is_err(), "{bad}");
    }
    let records = vec![record("a", 1, "tln-a", 1, 0), record("b", 2, "tln-a", 2, 0)];
    let segment = JournalSegment { name, records };
    assert_eq!(read_segment(&segment.body()), Ok(segment.records));
    let error = read_segment(b"\n{}\n").unwrap_err();
    assert!(
        error
            .to_string()
            .starts_with("line 2 is not a billing record"),
        "{error}"
    );
}

#[test]
fn a_request_in_doubt_is_charged_by_the_engines_report_up_to_its_reservation() {
    let usage = |completion| StreamUsage {
        prompt_tokens: TokenCount::new(10),
        completion_tokens: TokenCount::new(completion),
    };
    let mut case = DoubtCase {
        identity: RequestIdentity::from_caller("o".parse().unwrap(), "k").unwrap(),
        attempt: AttemptId::new(1),
        budget: budget(),
        reserved: TokenCount::new(50),
        router: router(),
        backend: Some("e1".parse().unwrap()),
        abandoned: false,
    };
    let cases = [
        (None, DoubtResolution::Hold),
        (Some(EngineReport::NoResponse), DoubtResolution::Hold),
        (Some(EngineReport::NeverSeen), DoubtResolution::Cancel),
        (Some(EngineReport::Running), DoubtResolution::Wait),
        (
            Some(EngineReport::Done(usage(5))),
            DoubtResolution::Charge(TokenCount::new(15)),
        ),
        (
            Some(EngineReport::Done(usage(500))),
            DoubtResolution::Charge(TokenCount::new(50)),
        ),
        (
            Some(EngineReport::Cancelled(usage(2))),
            DoubtResolution::Release {
                unbilled: TokenCount::new(12),
            },
        ),
    ];
    for (word, answer) in cases {
        assert_eq!(resolve_doubt(&case, word), answer, "{word:?}");
    }
    case.abandoned = true;
    assert_eq!(
        resolve_doubt(&case, Some(EngineReport::Running)),
        DoubtResolution::Cancel
    );
}
