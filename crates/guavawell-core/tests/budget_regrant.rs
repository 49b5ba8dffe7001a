//! One attempt that a holder and its successor both know.
//!
//! A holder is paused right after it sent a reservation to its witness. The
//! witness takes the slot over, and the router, which had no answer, asks there
//! again with the same attempt and is granted it. Then the former holder goes
//! on. It finds its witness gone and moves its copy of the attempt to its own
//! float, for an asker that left long ago. The router's charge reached it
//! first, and it took nothing from the float, because the grant said
//! "witnessed", and answered that all was settled. The successor never heard of
//! the charge.
//!
//! The event logs of a fleet showed it: `reservation.granted` for 117 tokens,
//! `answer.ended` whole, then `settle.answered` with `actual 106`, a grant of
//! the successor's tenure and the answer `Settled { charged: 0 }`, while the
//! budget's row was short by just these 106 tokens.
//!
//! Without a float the former holder gave the attempt back instead, and its
//! successor released a reservation that it had granted and that ran.

use std::sync::Arc;

use guavawell_core::budget::AskId;
use guavawell_core::budget::BudgetRow;
use guavawell_core::budget::ChangeKey;
use guavawell_core::budget::FrozenReport;
use guavawell_core::budget::HolderAnswer;
use guavawell_core::budget::HolderEffect;
use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::HolderSettings;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::LedgerHandover;
use guavawell_core::budget::RecordStamp;
use guavawell_core::budget::ReleaseRequest;
use guavawell_core::budget::ReserveAnswer;
use guavawell_core::budget::ReserveGrant;
use guavawell_core::budget::ReserveRequest;
use guavawell_core::budget::RowChange;
use guavawell_core::budget::SettleAnswer;
use guavawell_core::budget::SettleRequest;
use guavawell_core::budget::SlotHolder;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::SlotLedger;
use guavawell_core::budget::SlotRow;
use guavawell_core::budget::SlotWitness;
use guavawell_core::budget::TableIntent;
use guavawell_core::budget::TokenPool;
use guavawell_core::budget::WitnessEffect;
use guavawell_core::budget::WitnessEvent;
use guavawell_core::budget::WitnessMessage;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::AttemptId;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::id::ShardId;
use guavawell_core::id::TokenCount;
use guavawell_core::request::RequestDigest;
use guavawell_core::request::RequestIdentity;

/// Longer than a holder waits for its witness.
const PAST_WITNESS: ClockSpan = ClockSpan::from_millis(1_000);

fn life(name: &str) -> InstanceIncarnation {
    InstanceIncarnation {
        instance: name.parse().unwrap(),
        incarnation: IncarnationId::new(1),
    }
}

fn slot() -> SlotId {
    SlotId {
        zone: "z1".parse().unwrap(),
        shard: ShardId::new(0),
    }
}

fn identity(request: u32) -> RequestIdentity {
    RequestIdentity::from_caller("org".parse().unwrap(), &format!("r{request}")).unwrap()
}

fn reserve(request: u32) -> HolderEvent {
    let ask = ReserveRequest {
        identity: identity(request),
        attempt: AttemptId::new(u128::from(request)),
        budget: "m".parse().unwrap(),
        amount: TokenCount::new(10),
        router: life("c"),
        idempotent: true,
        digest: RequestDigest::default(),
    };
    HolderEvent::Reserve(AskId::new(1), ask)
}

fn settle(request: u32, grant: &ReserveGrant, actual: u64) -> HolderEvent {
    let ask = SettleRequest {
        identity: identity(request),
        attempt: AttemptId::new(u128::from(request)),
        grant: grant.clone(),
        actual: TokenCount::new(actual),
        backend: None,
    };
    HolderEvent::Settle(AskId::new(2), ask)
}

/// Two holders of one slot, one after the other, and the table.
struct TenurePair {
    former: SlotHolder,
    witness: SlotWitness,
    successor: Option<SlotHolder>,
    budget: BudgetRow,
    now: ClockTime,
    /// Whether the witness's answers reach the former holder.
    is_heard: bool,
    answers: Vec<HolderAnswer>,
    given_back: Vec<ReleaseRequest>,
    reports: Vec<FrozenReport>,
}

impl TenurePair {
    /// The former holder has sent attempt 1 to its witness, heard nothing, and
    /// given up waiting; then the witness has taken over.
    fn parted(float_percent: u8) -> Self {
        let row = SlotRow::first(life("a")).with_witness(Some(life("b")));
        let ledger = SlotLedger::new(row.tenure);
        let settings = HolderSettings {
            float_percent,
            ..HolderSettings::default()
        };
        let now = ClockTime::from_millis(1);
        let mut pair = Self {
            former: SlotHolder::new(Arc::new(settings), slot(), row.clone(), ledger.clone(), now),
            witness: SlotWitness::new(life("b"), slot(), ClockSpan::from_millis(500)),
            successor: None,
            budget: BudgetRow::new(
                "org".parse().unwrap(),
                TokenCount::new(1_000),
                ManifestVersion::new(1),
            ),
            now,
            is_heard: true,
            answers: Vec::new(),
            given_back: Vec::new(),
            reports: Vec::new(),
        };
        let handover = LedgerHandover {
            stamp: RecordStamp {
                slot: slot(),
                epoch: row.epoch,
                holder: life("a"),
                witness: life("b"),
            },
            handover: 1,
            ledger,
        };
        pair.tell_witness(WitnessEvent::Handover(handover));
        pair.tell_former(reserve(9));
        pair.answers.clear();
        pair.is_heard = false;
        pair.tell_former(reserve(1));
        assert!(pair.answers.is_empty(), "it waits for the witness");
        pair.tell_witness(WitnessEvent::TakeOver(row));
        pair.now = pair.now + PAST_WITNESS;
        pair
    }

    /// The former holder goes on, and finds that nobody acknowledges.
    fn resume_former(&mut self) {
        self.tell_former(HolderEvent::Tick);
    }

    fn tell_former(&mut self, event: HolderEvent) {
        let mut effects = Vec::new();
        self.former.handle(event, self.now, &mut effects);
        self.carry_out(effects, true);
    }

    fn tell_successor(&mut self, event: HolderEvent) {
        let mut effects = Vec::new();
        let successor = self.successor.as_mut().expect("the witness took over");
        successor.handle(event, self.now, &mut effects);
        self.carry_out(effects, false);
    }

    fn carry_out(&mut self, effects: Vec<HolderEffect>, is_former: bool) {
        for effect in effects {
            match effect {
                HolderEffect::Answer(_, answer) => self.answers.push(answer),
                HolderEffect::Send(_, WitnessMessage::Record(record)) if is_former => {
                    self.tell_witness(WitnessEvent::Record(record));
                }
                HolderEffect::Table(TableIntent::ChangeGrant { budget, change }) => {
                    if let Ok(RowChange::Write(row)) = self.budget.change_grant(&change) {
                        self.budget = row;
                    }
                    let view = self.budget.view(&change.slot);
                    let key = ChangeKey::new(budget, &change);
                    let event = HolderEvent::GrantChanged(key, Ok(view));
                    if is_former {
                        self.tell_former(event);
                    } else {
                        self.tell_successor(event);
                    }
                }
                HolderEffect::Table(TableIntent::ReportFrozen { report, .. }) => {
                    self.reports.push(report);
                }
                HolderEffect::GiveBack(ask) => self.given_back.push(ask),
                _ => {}
            }
        }
    }

    fn tell_witness(&mut self, event: WitnessEvent) {
        let mut effects = Vec::new();
        self.witness.handle(event, self.now, &mut effects);
        for effect in effects {
            match effect {
                WitnessEffect::Send(_, WitnessMessage::Ack(ack)) if self.is_heard => {
                    self.tell_former(HolderEvent::Ack(ack));
                }
                WitnessEffect::Table(TableIntent::WriteSlot { row, .. }) => {
                    self.tell_witness(WitnessEvent::SlotRead(row));
                }
                WitnessEffect::Begin(row, ledger) => {
                    let settings = Arc::new(HolderSettings::default());
                    let holder = SlotHolder::new(settings, slot(), row, *ledger, self.now);
                    self.successor = Some(holder);
                }
                _ => {}
            }
        }
    }

    /// The router asks the successor with the attempt that it asked before.
    fn grant_again(&mut self) -> ReserveGrant {
        self.answers.clear();
        self.tell_successor(reserve(1));
        match self.answers.pop() {
            Some(HolderAnswer::Reserve(ReserveAnswer::Granted(grant))) => grant,
            other => panic!("expected a grant, found {other:?}"),
        }
    }

    fn settled(&mut self) -> SettleAnswer {
        match self.answers.pop() {
            Some(HolderAnswer::Settle(answer)) => answer,
            other => panic!("expected the answer to a charge, found {other:?}"),
        }
    }

    fn hears_of_takeover(&mut self) {
        let row = self.successor.as_ref().expect("a successor").row().clone();
        self.tell_former(HolderEvent::SlotRead(Ok(row)));
    }
}

fn is_elsewhere(answer: &SettleAnswer) -> bool {
    matches!(answer, SettleAnswer::NotHolder { holder: Some(holder) } if *holder == life("b"))
}

fn charged(tokens: u64) -> SettleAnswer {
    SettleAnswer::Settled {
        charged: TokenCount::new(tokens),
    }
}

#[test]
fn a_former_holder_answers_for_no_charge_of_its_successors_grant() {
    let mut pair = TenurePair::parted(50);
    let grant = pair.grant_again();
    assert_eq!(grant.pool, TokenPool::Witnessed);
    pair.resume_former();
    pair.answers.clear();
    // It does not know of the takeover yet, then it does, and it is asked twice.
    for _ in 0..2 {
        pair.tell_former(settle(1, &grant, 6));
        let answer = pair.settled();
        assert!(is_elsewhere(&answer), "{answer:?}");
        pair.hears_of_takeover();
    }
    pair.tell_successor(settle(1, &grant, 6));
    assert_eq!(pair.settled(), charged(6));
}

#[test]
fn what_a_successor_charged_does_not_keep_a_float_frozen() {
    let mut pair = TenurePair::parted(50);
    pair.resume_former();
    let grant = pair.grant_again();
    pair.hears_of_takeover();
    assert!(
        pair.reports.is_empty(),
        "the float's attempt may be running"
    );
    pair.tell_former(settle(1, &grant, 6));
    pair.tell_former(HolderEvent::Tick);
    let report = pair.reports.last().expect("nothing runs in the float");
    assert_eq!(report.float_settled, TokenCount::ZERO);
}

#[test]
fn what_the_asker_disowns_is_released_by_the_former_holder_alone() {
    let mut pair = TenurePair::parted(50);
    pair.resume_former();
    let grant = pair.grant_again();
    pair.hears_of_takeover();
    let disowned = ReleaseRequest {
        identity: identity(1),
        attempt: AttemptId::new(1),
        before: Some(grant.tenure),
    };
    pair.tell_former(HolderEvent::Release(AskId::new(3), disowned.clone()));
    pair.tell_former(HolderEvent::Tick);
    let report = pair.reports.last().expect("nothing runs in the float");
    assert_eq!(report.float_settled, TokenCount::ZERO);
    pair.tell_successor(HolderEvent::Release(AskId::new(3), disowned));
    pair.answers.clear();
    pair.tell_successor(settle(1, &grant, 6));
    assert_eq!(pair.settled(), charged(6));
}

#[test]
fn a_former_holder_gives_back_nothing_that_its_successor_granted() {
    let mut pair = TenurePair::parted(0);
    let grant = pair.grant_again();
    pair.resume_former();
    let given: Vec<ReleaseRequest> = std::mem::take(&mut pair.given_back);
    assert_eq!(given.len(), 1, "the witness may have it");
    for ask in given {
        pair.tell_successor(HolderEvent::Release(AskId::new(3), ask));
    }
    pair.answers.clear();
    pair.tell_successor(settle(1, &grant, 6));
    assert_eq!(pair.settled(), charged(6));
}

#[test]
fn what_a_successor_has_not_granted_is_given_back() {
    let mut pair = TenurePair::parted(0);
    pair.resume_former();
    for ask in std::mem::take(&mut pair.given_back) {
        pair.tell_successor(HolderEvent::Release(AskId::new(3), ask));
    }
    let successor = pair.successor.as_ref().expect("a successor");
    let held = successor.ledger().reserved_attempts();
    let requests: Vec<&RequestIdentity> = held.map(|(identity, _)| identity).collect();
    assert_eq!(
        requests,
        [&identity(9)],
        "only what was granted before runs"
    );
}

/// The router that asks for attempt 9 had no answer of either holder. The
/// former one repeats its grant, and the ask at the successor is given up after
/// that, because its new witness does not answer.
#[test]
fn a_successor_does_not_give_up_what_its_former_holder_granted_again() {
    let mut pair = TenurePair::parted(0);
    pair.tell_successor(HolderEvent::ChangeWitness(Some(life("c"))));
    pair.answers.clear();
    pair.tell_successor(reserve(9));
    assert!(pair.answers.is_empty(), "it waits for the witness");
    pair.tell_former(reserve(9));
    let grant = match pair.answers.pop() {
        Some(HolderAnswer::Reserve(ReserveAnswer::Granted(grant))) => grant,
        other => panic!("expected a grant, found {other:?}"),
    };
    assert_eq!(grant.holder, life("a"));
    pair.now = pair.now + PAST_WITNESS;
    pair.tell_successor(HolderEvent::Tick);
    pair.answers.clear();
    pair.tell_successor(settle(9, &grant, 6));
    let answer = pair.settled();
    let is_charged = matches!(answer, SettleAnswer::Pending { charged, .. } if charged.get() == 6);
    assert!(is_charged, "{answer:?}");
}

/// The witness that the successor named does not answer, so that attempt 9,
/// which the former holder granted, can't be granted under its tenure. The
/// router is told so at once from then on, and its release frees the tokens.
#[test]
fn an_attempt_that_a_successor_could_not_grant_is_freed_by_its_routers_release() {
    let mut pair = TenurePair::parted(0);
    pair.tell_successor(HolderEvent::ChangeWitness(Some(life("c"))));
    pair.answers.clear();
    pair.tell_successor(reserve(9));
    pair.now = pair.now + PAST_WITNESS;
    pair.tell_successor(HolderEvent::Tick);
    pair.tell_successor(reserve(9));
    assert_eq!(pair.answers.len(), 2, "{:?}", pair.answers);
    let is_unreachable = |answer: &HolderAnswer| {
        matches!(
            answer,
            HolderAnswer::Reserve(ReserveAnswer::Unreachable { .. })
        )
    };
    assert!(
        pair.answers.iter().all(is_unreachable),
        "{:?}",
        pair.answers
    );
    let never_run = ReleaseRequest {
        identity: identity(9),
        attempt: AttemptId::new(9),
        before: None,
    };
    let successor = pair.successor.as_ref().expect("a successor");
    let is_held = |holder: &SlotHolder| {
        let mut held = holder.ledger().reserved_attempts();
        held.any(|(held, _)| *held == identity(9))
    };
    assert!(is_held(successor), "it may be running");
    pair.tell_successor(HolderEvent::Release(AskId::new(3), never_run));
    let successor = pair.successor.as_ref().expect("a successor");
    assert!(!is_held(successor));
}
