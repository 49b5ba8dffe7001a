//! `audit`: requests and budgets, from journal segments and rows put in place.

use std::thread;
use std::time::Duration;

use guavawell_core::budget::BudgetRow;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::TokenPool;
use guavawell_core::budget::shard_of;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::AttemptId;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::SlotEpoch;
use guavawell_core::id::TokenCount;
use guavawell_core::platform::WriteClass;
use guavawell_core::request::RequestIdentity;
use guavawell_core::request::billing::BillingRecord;
use guavawell_core::request::billing::JournalSegment;
use guavawell_core::request::billing::SegmentName;
use guavawell_core::request::claim::ClaimRow;
use guavawell_core::request::claim::ClaimState;
use guavawell_fleet::platform::Objects;
use guavawell_fleet::platform::PoolSettings;

use crate::support::RunResult;
use crate::support::TestFleet;

fn desk() -> OrganisationId {
    "desk".parse().expect("a good id")
}

fn router() -> InstanceIncarnation {
    InstanceIncarnation {
        instance: "entry-1".parse().expect("a good id"),
        incarnation: IncarnationId::new(7),
    }
}

fn slot() -> SlotId {
    SlotId {
        zone: "tln-a".parse().expect("a good id"),
        shard: shard_of(&desk(), 16),
    }
}

fn record(request: &str, attempt: u128, charged: u64) -> BillingRecord {
    BillingRecord {
        identity: RequestIdentity::from_caller(desk(), request).expect("a good id"),
        attempt: AttemptId::new(attempt),
        budget: "desk-2026".parse().expect("a good id"),
        slot: slot(),
        tenure: SlotEpoch::new(1),
        charged: TokenCount::new(charged),
        backend: Some("run-1".parse().expect("a good id")),
        counted: TokenCount::ZERO,
        pool: TokenPool::Witnessed,
        at: ClockTime::from_millis(1_764_700_000_000 + charged),
    }
}

/// A fleet with these records in its journal and these tokens settled.
fn fleet_with(name: &str, records: Vec<BillingRecord>, settled: u64) -> TestFleet {
    let fleet = TestFleet::with_desk(name);
    let segment = JournalSegment {
        name: SegmentName {
            slot: slot(),
            router: router(),
            sequence: 0,
        },
        records,
    };
    let objects = Objects::new(
        fleet.platform.address(),
        "guavawell",
        PoolSettings::default(),
    );
    let key = segment.name.to_string();
    let put = objects.put_new(&key, segment.body(), WriteClass::Journal);
    smol::block_on(put).expect("the platform answers");
    let paid = TokenCount::new(1_000_000);
    let mut row = BudgetRow::new(desk(), paid, ManifestVersion::new(1));
    row.settled = TokenCount::new(settled);
    let value = serde_json::to_vec(&row).expect("JSON");
    fleet.platform.put_row("budget/desk-2026", &value);
    fleet
}

fn audit(fleet: &TestFleet, request: &str) -> RunResult {
    fleet.run(&["audit", "--organisation", "desk", "--request", request])
}

fn claim(fleet: &TestFleet, request: &str, state: ClaimState) {
    let row = ClaimRow {
        state,
        attempt: AttemptId::new(9),
        router: router(),
        at: ClockTime::from_millis(1_764_700_000_000),
    };
    let value = serde_json::to_vec(&row).expect("JSON");
    fleet
        .platform
        .put_row(&format!("claim/desk/{request}"), &value);
}

#[test]
fn a_billed_request_is_explained() {
    let fleet = fleet_with("audit-billed", vec![record("cancel-1", 3, 40)], 40);
    claim(&fleet, "cancel-1", ClaimState::Claimed);
    insta::assert_snapshot!(audit(&fleet, "cancel-1").assert_code(0).stdout);
}

#[test]
fn refused_doubtful_and_unknown_requests_are_told_apart() {
    let fleet = fleet_with("audit-verdicts", vec![record("other", 3, 40)], 40);
    claim(&fleet, "refused", ClaimState::Sealed);
    claim(&fleet, "doubtful", ClaimState::Claimed);
    claim(&fleet, "released", ClaimState::Released);
    let texts = ["refused", "doubtful", "released", "unheard-of"]
        .map(|request| audit(&fleet, request).assert_code(0).stdout);
    insta::assert_snapshot!(texts.concat());
}

#[test]
fn a_charge_under_a_sealed_id_is_caught() {
    let fleet = fleet_with("audit-sealed", vec![record("cancel-1", 3, 40)], 40);
    claim(&fleet, "cancel-1", ClaimState::Sealed);
    let result = audit(&fleet, "cancel-1").assert_code(8);
    assert!(result.stdout.contains("PROMISE BROKEN"));
}

#[test]
fn a_second_charge_is_caught() {
    let records = vec![record("cancel-1", 3, 40), record("cancel-1", 4, 41)];
    let fleet = fleet_with("audit-twice", records, 81);
    insta::assert_snapshot!(audit(&fleet, "cancel-1").assert_code(8).stdout);
    let budget = fleet
        .run(&["audit", "--budget", "desk-2026"])
        .assert_code(8);
    insta::assert_snapshot!(budget.stdout);
}

#[test]
fn a_budget_whose_sums_agree_is_proved() {
    let records = vec![record("a", 3, 40), record("b", 4, 2), record("b", 4, 2)];
    let fleet = fleet_with("audit-agrees", records, 42);
    let result = fleet
        .run(&["audit", "--budget", "desk-2026"])
        .assert_code(0);
    insta::assert_snapshot!(result.stdout);
    let json = fleet
        .run(&["--json", "audit", "--budget", "desk-2026"])
        .json();
    assert_eq!(
        (&json["charged"], &json["requests"]),
        (&42.into(), &2.into())
    );
}

#[test]
fn gaps_in_either_direction_are_caught() {
    let fleet = fleet_with("audit-unrecorded", vec![record("a", 3, 40)], 50);
    let result = fleet
        .run(&["audit", "--budget", "desk-2026", "--wait", "0"])
        .assert_code(8);
    assert!(
        result
            .stdout
            .contains("the row settled 10 tokens that no record tells of")
    );
    let fleet = fleet_with("audit-overdrawn", vec![record("a", 3, 40)], 30);
    let result = fleet
        .run(&["audit", "--budget", "desk-2026", "--wait", "0"])
        .assert_code(8);
    assert!(
        result
            .stdout
            .contains("10 tokens more than the row's grants covered")
    );
}

#[test]
fn a_segment_that_is_on_its_way_is_no_gap() {
    let fleet = fleet_with("audit-late", vec![record("a", 3, 40)], 50);
    let journal = Objects::new(
        fleet.platform.address(),
        "guavawell",
        PoolSettings::default(),
    );
    let late = JournalSegment {
        name: SegmentName {
            slot: slot(),
            router: router(),
            sequence: 1,
        },
        records: vec![record("b", 4, 10)],
    };
    let writer = thread::spawn(move || {
        thread::sleep(Duration::from_secs(1));
        let key = late.name.to_string();
        let put = journal.put_new(&key, late.body(), WriteClass::Journal);
        smol::block_on(put).expect("the platform answers");
    });
    let result = fleet
        .run(&["audit", "--budget", "desk-2026", "--wait", "60"])
        .assert_code(0);
    writer.join().expect("the writer ends");
    assert!(result.stdout.contains("journal and row agree"));
}

#[test]
fn a_damaged_segment_is_not_passed_over() {
    let fleet = fleet_with("audit-damaged", vec![record("a", 3, 40)], 40);
    let objects = Objects::new(
        fleet.platform.address(),
        "guavawell",
        PoolSettings::default(),
    );
    let key = format!("journal/{}/tln-a/entry-1-7-1", slot().shard);
    let put = objects.put_new(&key, b"{\"identity\":".to_vec(), WriteClass::Journal);
    smol::block_on(put).expect("the platform answers");
    audit(&fleet, "a").assert_code(5);
}

#[test]
fn a_budget_without_a_row_is_told() {
    let fleet = TestFleet::with_desk("audit-no-row");
    fleet
        .run(&["audit", "--budget", "desk-2027"])
        .assert_code(7);
    fleet
        .run(&["audit", "--organisation", "desk"])
        .assert_code(2);
}
