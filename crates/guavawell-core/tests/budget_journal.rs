//! Charges on their way to billing records: when they are told, and how long
//! a holder remembers them.

use std::sync::Arc;

use guavawell_core::budget::AskId;
use guavawell_core::budget::BudgetRow;
use guavawell_core::budget::ChangeKey;
use guavawell_core::budget::ChargeNotice;
use guavawell_core::budget::HolderAnswer;
use guavawell_core::budget::HolderEffect;
use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::HolderSettings;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::ReserveAnswer;
use guavawell_core::budget::ReserveRequest;
use guavawell_core::budget::RowChange;
use guavawell_core::budget::SettleRequest;
use guavawell_core::budget::SlotHolder;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::SlotLedger;
use guavawell_core::budget::SlotRow;
use guavawell_core::budget::TableIntent;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::AttemptId;
use guavawell_core::id::BudgetId;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::id::ShardId;
use guavawell_core::id::SlotEpoch;
use guavawell_core::id::TokenCount;
use guavawell_core::request::RequestDigest;
use guavawell_core::request::RequestIdentity;
use guavawell_core::request::billing::BillingRecord;
use guavawell_core::request::billing::fold_records;

struct JournalledHolder {
    holder: SlotHolder,
    row: BudgetRow,
    now: ClockTime,
    notices: Vec<ChargeNotice>,
}

fn life() -> InstanceIncarnation {
    InstanceIncarnation {
        instance: "a-1".parse().unwrap(),
        incarnation: IncarnationId::new(7),
    }
}

fn slot() -> SlotId {
    SlotId {
        zone: "a".parse().unwrap(),
        shard: ShardId::new(0),
    }
}

fn budget() -> BudgetId {
    "b".parse().unwrap()
}

fn identity(number: u64) -> RequestIdentity {
    RequestIdentity::from_caller("o".parse().unwrap(), &format!("k{number}")).unwrap()
}

impl JournalledHolder {
    /// A holder without a witness that remembers three charges for 100 ms.
    fn new() -> Self {
        let settings = HolderSettings {
            is_journaled: true,
            retention: ClockSpan::from_millis(100),
            retained_most: 3,
            ..HolderSettings::default()
        };
        let row = SlotRow::first(life());
        let ledger = SlotLedger::new(row.tenure);
        let now = ClockTime::from_millis(1_000);
        let paid = TokenCount::new(1_000_000);
        Self {
            holder: SlotHolder::new(Arc::new(settings), slot(), row, ledger, now),
            row: BudgetRow::new("o".parse().unwrap(), paid, ManifestVersion::new(1)),
            now,
            notices: Vec::new(),
        }
    }

    /// Tells the holder an event, carries table changes out, returns answers.
    fn tell(&mut self, event: HolderEvent) -> Vec<HolderAnswer> {
        let mut answers = Vec::new();
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut effects = Vec::new();
            self.holder.handle(event, self.now, &mut effects);
            for effect in effects {
                match effect {
                    HolderEffect::Answer(_, answer) => answers.push(answer),
                    HolderEffect::Charged(notice) => self.notices.push(*notice),
                    HolderEffect::Table(TableIntent::ChangeGrant { budget, change }) => {
                        if let Ok(RowChange::Write(row)) = self.row.change_grant(&change) {
                            self.row = row;
                        }
                        let view = self.row.view(&slot());
                        let key = ChangeKey::new(budget, &change);
                        events.push(HolderEvent::GrantChanged(key, Ok(view)));
                    }
                    _ => {}
                }
            }
        }
        answers
    }

    fn charge(&mut self, number: u64, tokens: u64) {
        let attempt = AttemptId::new(number.into());
        let reserve = ReserveRequest {
            identity: identity(number),
            attempt,
            budget: budget(),
            amount: TokenCount::new(100),
            router: life(),
            idempotent: true,
            digest: RequestDigest::default(),
        };
        let answers = self.tell(HolderEvent::Reserve(AskId::new(number * 2), reserve));
        let [HolderAnswer::Reserve(ReserveAnswer::Granted(grant))] = &answers[..] else {
            panic!("{answers:?}");
        };
        let settle = SettleRequest {
            identity: identity(number),
            attempt,
            grant: grant.clone(),
            actual: TokenCount::new(tokens),
            backend: None,
        };
        self.tell(HolderEvent::Settle(AskId::new(number * 2 + 1), settle));
    }

    fn pass(&mut self, millis: u64) {
        self.now = self.now + ClockSpan::from_millis(millis);
        self.tell(HolderEvent::Tick);
    }

    fn knows(&self, number: u64) -> bool {
        self.holder.ledger().is_charged(&identity(number))
    }
}

#[test]
fn each_charge_is_told_once_with_its_place_among_the_pools_charges() {
    let mut test = JournalledHolder::new();
    test.charge(1, 30);
    test.charge(2, 12);
    test.charge(3, 0);
    let told: Vec<(u64, u64)> = test
        .notices
        .iter()
        .map(|notice| (notice.charge.charged.get(), notice.counted.get()))
        .collect();
    assert_eq!(told, [(30, 30), (12, 42), (0, 42)]);
}

#[test]
fn a_charge_is_remembered_until_its_record_is_durable() {
    let mut test = JournalledHolder::new();
    test.charge(1, 30);
    test.charge(2, 12);
    test.pass(10_000);
    assert!(test.knows(1) && test.knows(2), "an outage of any length");
    test.tell(HolderEvent::Durable(vec![identity(2)]));
    test.pass(1);
    assert!(test.knows(1) && !test.knows(2));
    test.tell(HolderEvent::Durable(vec![identity(1)]));
    test.pass(1);
    assert!(!test.knows(1));
}

#[test]
fn at_the_bound_durable_charges_are_forgotten_first() {
    let mut test = JournalledHolder::new();
    for number in 1..=4 {
        test.charge(number, 10);
    }
    test.tell(HolderEvent::Durable(vec![identity(3)]));
    test.pass(1);
    assert!(test.knows(1) && test.knows(2) && !test.knows(3) && test.knows(4));
    test.charge(5, 10);
    test.pass(1);
    assert!(!test.knows(1) && test.knows(2) && test.knows(5));
}

#[test]
fn a_takeover_tells_the_charges_of_its_predecessor_again_and_they_count_once() {
    let mut test = JournalledHolder::new();
    test.charge(1, 30);
    test.charge(2, 12);
    let at = test.now;
    let told = test.notices.iter().cloned();
    let mut records: Vec<BillingRecord> = told
        .map(|notice| BillingRecord::of_notice(&slot(), notice, at))
        .collect();
    let mut ledger = test.holder.ledger().clone();
    ledger.begin_tenure(SlotEpoch::new(5));
    records.extend(BillingRecord::of_ledger(&slot(), &ledger, at));
    assert_eq!(records.len(), 4);
    let fold = fold_records(records);
    assert_eq!((fold.repeated, fold.refunds.len()), (2, 0));
    assert_eq!(fold.charged(&budget()), TokenCount::new(42));
}
