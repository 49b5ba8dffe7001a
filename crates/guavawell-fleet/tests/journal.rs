//! The billing journal against the stand-in's object store, fault by fault.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use guavawell_core::budget::BudgetGrant;
use guavawell_core::budget::BudgetRow;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::TokenPool;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::AttemptId;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::id::ShardId;
use guavawell_core::id::SlotEpoch;
use guavawell_core::id::TokenCount;
use guavawell_core::platform::BackoffPolicy;
use guavawell_core::request::RequestIdentity;
use guavawell_core::request::billing::BillingRecord;
use guavawell_core::request::billing::JournalPolicy;
use guavawell_core::request::billing::fold_records;
use guavawell_fleet::journal::FoldSettings;
use guavawell_fleet::journal::JournalDriver;
use guavawell_fleet::journal::JournalSettings;
use guavawell_fleet::journal::ShardFold;
use guavawell_fleet::journal::read_journal;
use guavawell_fleet::platform::Objects;
use guavawell_fleet::platform::PoolSettings;
use guavawell_fleet::platform::Table;
use guavawell_standin::fault::FaultChange;
use guavawell_standin::platform::Platform;
use guavawell_standin::platform::PlatformSettings;

struct JournalTest {
    platform: Platform,
    objects: Objects,
    durable: Arc<AtomicUsize>,
}

impl JournalTest {
    fn start() -> Self {
        let platform = smol::block_on(Platform::start(PlatformSettings::default())).unwrap();
        let objects = Objects::new(platform.address(), "b", PoolSettings::default());
        Self {
            platform,
            objects,
            durable: Arc::default(),
        }
    }

    fn router(&self, incarnation: u64) -> JournalDriver {
        let life = InstanceIncarnation {
            instance: "tln-a-1".parse().unwrap(),
            incarnation: IncarnationId::new(incarnation),
        };
        let settings = JournalSettings {
            policy: JournalPolicy {
                max_records: 10,
                max_wait: ClockSpan::from_millis(3_600_000),
            },
            backoff: BackoffPolicy {
                first: ClockSpan::from_millis(2),
                longest: ClockSpan::from_millis(10),
            },
            most_backlog: 20,
        };
        let durable = Arc::clone(&self.durable);
        let forget = move |records: Vec<BillingRecord>| {
            durable.fetch_add(records.len(), Ordering::SeqCst);
        };
        JournalDriver::start(self.objects.clone(), life, settings, forget)
    }

    fn fault(&self, change: FaultChange) {
        self.platform.set_faults(change);
    }

    fn records(&self) -> Vec<BillingRecord> {
        smol::block_on(read_journal(&self.objects, None)).unwrap()
    }

    fn durable(&self) -> usize {
        self.durable.load(Ordering::SeqCst)
    }
}

fn record(number: u64, shard: u16, zone: &str) -> BillingRecord {
    let organisation = "o".parse().unwrap();
    BillingRecord {
        identity: RequestIdentity::from_caller(organisation, &format!("k{number}")).unwrap(),
        attempt: AttemptId::new(u128::from(number)),
        budget: "b".parse().unwrap(),
        slot: SlotId {
            zone: zone.parse().unwrap(),
            shard: ShardId::new(shard),
        },
        tenure: SlotEpoch::new(1),
        charged: TokenCount::new(number),
        backend: None,
        counted: TokenCount::ZERO,
        pool: TokenPool::Witnessed,
        at: ClockTime::from_millis(number),
    }
}

#[test]
fn records_are_batched_by_slot_and_read_back() {
    let test = JournalTest::start();
    let journal = test.router(1);
    for number in 0..40 {
        journal.record(record(number, u16::try_from(number % 2).unwrap(), "tln-a"));
    }
    smol::block_on(journal.flush());
    assert_eq!(test.platform.counts().writes, 4);
    assert_eq!((journal.backlog(), test.durable()), (0, 40));
    assert_eq!(fold_records(test.records()).charges.len(), 40);
    let shard = smol::block_on(read_journal(&test.objects, Some(ShardId::new(1)))).unwrap();
    assert_eq!(shard.len(), 20);
}

#[test]
fn a_lost_answer_writes_no_record_twice() {
    let test = JournalTest::start();
    test.fault(FaultChange {
        lose_answers: Some(2),
        ..FaultChange::default()
    });
    let journal = test.router(1);
    for number in 0..25 {
        journal.record(record(number, 0, "tln-a"));
    }
    smol::block_on(journal.flush());
    assert_eq!(test.records().len(), 25);
    assert_eq!(test.durable(), 25);
}

#[test]
fn records_outlive_an_outage_in_memory_and_say_when_they_are_too_many() {
    let test = JournalTest::start();
    test.fault(FaultChange {
        outage: Some(true),
        ..FaultChange::default()
    });
    let journal = test.router(1);
    for number in 0..30 {
        journal.record(record(number, 0, "tln-a"));
    }
    assert!(journal.is_full());
    let flushed = smol::block_on(smol::future::poll_once(Box::pin(journal.flush())));
    assert!(flushed.is_none());
    assert_eq!(test.durable(), 0);
    test.fault(FaultChange {
        outage: Some(false),
        ..FaultChange::default()
    });
    smol::block_on(journal.flush());
    assert!(!journal.is_full());
    assert_eq!(test.records().len(), 30);
}

#[test]
fn an_object_of_another_under_the_same_name_is_neither_lost_nor_overwritten() {
    let test = JournalTest::start();
    // Two lives that drew the same incarnation, against all odds.
    let (first, second) = (test.router(1), test.router(1));
    first.record(record(1, 0, "tln-a"));
    smol::block_on(first.flush());
    second.record(record(2, 0, "tln-a"));
    smol::block_on(second.flush());
    assert_eq!(fold_records(test.records()).charges.len(), 2);
}

#[test]
fn a_request_charged_in_two_zones_is_charged_once_and_the_other_refunded() {
    let test = JournalTest::start();
    let (here, there) = (test.router(1), test.router(2));
    here.record(record(7, 0, "tln-a"));
    there.record(BillingRecord {
        attempt: AttemptId::new(99),
        at: ClockTime::from_millis(8),
        ..record(7, 0, "tln-b")
    });
    smol::block_on(here.flush());
    smol::block_on(there.flush());
    let fold = fold_records(test.records());
    assert_eq!((fold.charges.len(), fold.refunds.len()), (1, 1));
    assert_eq!(fold.refunds[0].attempt, AttemptId::new(99));
    assert_eq!(fold.refunds[0].slot.zone.as_str(), "tln-b");
}

/// A row of the budget whose slot in `tln-b` reported this much.
fn put_budget(test: &JournalTest, reported: u64) {
    let paid = TokenCount::new(1_000);
    let mut row = BudgetRow::new("o".parse().unwrap(), paid, ManifestVersion::new(1));
    row.settled = TokenCount::new(7 + reported);
    row.grants.push(BudgetGrant {
        slot: record(7, 0, "tln-b").slot,
        tenure: SlotEpoch::new(1),
        open: TokenCount::new(100),
        reported: TokenCount::new(reported),
        float_reported: TokenCount::ZERO,
        sequence: 1,
        demand: TokenCount::ZERO,
    });
    let value = serde_json::to_vec(&row).unwrap();
    test.platform.put_row("budget/b", &value);
}

fn budget_row(test: &JournalTest) -> BudgetRow {
    serde_json::from_slice(&test.platform.row("budget/b").unwrap()).unwrap()
}

#[test]
fn a_second_charge_is_given_back_once_over_lost_answers_and_two_folds() {
    let test = JournalTest::start();
    let (here, there) = (test.router(1), test.router(2));
    here.record(record(7, 0, "tln-a"));
    there.record(BillingRecord {
        attempt: AttemptId::new(99),
        counted: TokenCount::new(7),
        at: ClockTime::from_millis(8),
        ..record(7, 0, "tln-b")
    });
    smol::block_on(here.flush());
    smol::block_on(there.flush());
    let table = Table::new(test.platform.address(), PoolSettings::default());
    let settings = FoldSettings {
        look_again: ClockSpan::from_millis(0),
        ..FoldSettings::default()
    };
    let mut first = ShardFold::new(ShardId::new(0), settings);
    let mut second = ShardFold::new(ShardId::new(0), settings);
    put_budget(&test, 0);
    let step = |fold: &mut ShardFold| smol::block_on(fold.step(&test.objects, &table));
    assert_eq!(step(&mut first), Ok(0), "not reported yet");
    put_budget(&test, 7);
    test.fault(FaultChange {
        lose_answers: Some(1),
        ..FaultChange::default()
    });
    // The write took effect; the rows read back tell so.
    for _ in 0..3 {
        step(&mut first).unwrap();
        step(&mut second).unwrap();
    }
    let row = budget_row(&test);
    assert_eq!(row.settled, TokenCount::new(7));
    assert_eq!(row.refunded, TokenCount::new(7));
}

/// Guards against tokens that nobody paid: a record that repeats another one's
/// place in a slot's run of charges was given back as a second charge, though
/// the budget's row holds the place once.
#[test]
fn a_record_over_the_place_of_another_is_not_given_back() {
    let test = JournalTest::start();
    let router = test.router(1);
    let first = BillingRecord {
        counted: TokenCount::new(7),
        ..record(7, 0, "tln-b")
    };
    router.record(BillingRecord {
        attempt: AttemptId::new(99),
        ..first.clone()
    });
    router.record(first);
    smol::block_on(router.flush());
    put_budget(&test, 7);
    let table = Table::new(test.platform.address(), PoolSettings::default());
    let mut fold = ShardFold::new(ShardId::new(0), FoldSettings::default());
    for _ in 0..3 {
        assert_eq!(smol::block_on(fold.step(&test.objects, &table)), Ok(0));
    }
    assert_eq!(budget_row(&test).refunded, TokenCount::ZERO);
}
