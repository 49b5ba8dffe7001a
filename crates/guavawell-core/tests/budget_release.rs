//! Releases and joins are answered from what the witness has: one holder and
//! one witness, message by message.

use std::sync::Arc;

use guavawell_core::budget::AskId;
use guavawell_core::budget::BudgetRow;
use guavawell_core::budget::HolderAnswer;
use guavawell_core::budget::HolderEffect;
use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::HolderSettings;
use guavawell_core::budget::InstanceLife;
use guavawell_core::budget::RefusalReason;
use guavawell_core::budget::ReleaseAnswer;
use guavawell_core::budget::ReleaseAsk;
use guavawell_core::budget::ReserveAnswer;
use guavawell_core::budget::ReserveAsk;
use guavawell_core::budget::RowChange;
use guavawell_core::budget::SealAnswer;
use guavawell_core::budget::SealAsk;
use guavawell_core::budget::SlotHolder;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::SlotLedger;
use guavawell_core::budget::SlotRow;
use guavawell_core::budget::TableIntent;
use guavawell_core::budget::TokenPool;
use guavawell_core::budget::WitnessAck;
use guavawell_core::budget::WitnessMessage;
use guavawell_core::budget::WitnessRefusal;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::AttemptId;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::id::ShardId;
use guavawell_core::id::SlotEpoch;
use guavawell_core::id::TokenCount;
use guavawell_core::request::RequestDigest;
use guavawell_core::request::RequestIdentity;

const TIMEOUT: ClockSpan = ClockSpan::from_millis(250);

/// A holder whose witness answers when the test says so; the table answers
/// when asked to.
struct HolderRig {
    holder: SlotHolder,
    budget: BudgetRow,
    now: ClockTime,
    answers: Vec<(u64, HolderAnswer)>,
    acks: Vec<WitnessAck>,
    intents: Vec<TableIntent>,
    given_back: Vec<ReleaseAsk>,
}

fn life(name: &str) -> InstanceLife {
    InstanceLife {
        instance: name.parse().unwrap(),
        incarnation: IncarnationId::new(1),
    }
}

fn identity(request: u32) -> RequestIdentity {
    RequestIdentity::from_caller("org".parse().unwrap(), &format!("r{request}")).unwrap()
}

fn row() -> SlotRow {
    SlotRow::first(life("a")).with_witness(Some(life("b")))
}

impl HolderRig {
    fn new(float_percent: u8, witness: bool) -> Self {
        let settings = HolderSettings {
            float_percent,
            ..HolderSettings::default()
        };
        let slot = SlotId {
            zone: "z1".parse().unwrap(),
            shard: ShardId::new(0),
        };
        let row = if witness {
            row()
        } else {
            SlotRow::first(life("a"))
        };
        let ledger = SlotLedger::new(row.tenure);
        let now = ClockTime::from_millis(1);
        let version = ManifestVersion::new(1);
        let paid = TokenCount::new(1_000);
        let holder = SlotHolder::new(Arc::new(settings), slot, row, ledger, now);
        Self {
            holder,
            budget: BudgetRow::new("org".parse().unwrap(), paid, version),
            now,
            answers: Vec::new(),
            acks: Vec::new(),
            intents: Vec::new(),
            given_back: Vec::new(),
        }
    }

    /// A rig whose grant was read, with nothing on its way.
    fn ready(float_percent: u8) -> Self {
        let mut rig = Self::new(float_percent, true);
        rig.reserve(90, 9, 90);
        rig.settle_down();
        rig.release(91, 9, 90);
        rig.settle_down();
        rig.answers.clear();
        rig
    }

    fn tell(&mut self, event: HolderEvent) {
        let mut effects = Vec::new();
        self.holder.handle(event, self.now, &mut effects);
        for effect in effects {
            match effect {
                HolderEffect::Answer(ask, answer) => self.answers.push((ask.get(), answer)),
                HolderEffect::Send(_, WitnessMessage::Record(record)) => {
                    self.acks.push(WitnessAck {
                        stamp: record.stamp,
                        sequence: record.sequence,
                    });
                }
                HolderEffect::Table(intent) => self.intents.push(intent),
                HolderEffect::GiveBack(ask) => self.given_back.push(ask),
                _ => {}
            }
        }
    }

    fn reserve(&mut self, ask: u64, request: u32, attempt: u128) {
        let reserve = ReserveAsk {
            identity: identity(request),
            attempt: AttemptId::new(attempt),
            budget: "m".parse().unwrap(),
            amount: TokenCount::new(10),
            router: life("a"),
            idempotent: true,
            digest: RequestDigest::default(),
        };
        self.tell(HolderEvent::Reserve(AskId::new(ask), reserve));
    }

    fn release(&mut self, ask: u64, request: u32, attempt: u128) {
        self.release_before(ask, request, attempt, None);
    }

    fn release_before(&mut self, ask: u64, request: u32, attempt: u128, before: Option<SlotEpoch>) {
        let release = ReleaseAsk {
            identity: identity(request),
            attempt: AttemptId::new(attempt),
            before,
        };
        self.tell(HolderEvent::Release(AskId::new(ask), release));
    }

    /// The witness has every batch that was sent.
    fn ack(&mut self) {
        for ack in std::mem::take(&mut self.acks) {
            self.tell(HolderEvent::Ack(ack));
        }
    }

    fn table(&mut self) {
        for intent in std::mem::take(&mut self.intents) {
            if let TableIntent::ChangeGrant { budget, change } = intent {
                if let Ok(RowChange::Write(row)) = self.budget.change_grant(&change) {
                    self.budget = row;
                }
                let view = self.budget.view(&change.slot);
                self.tell(HolderEvent::GrantChanged(budget, Ok(view)));
            }
        }
    }

    fn settle_down(&mut self) {
        while !self.acks.is_empty() || !self.intents.is_empty() {
            self.ack();
            self.table();
        }
    }

    /// The witness is given up.
    fn lose_witness(&mut self) {
        self.now = self.now + TIMEOUT;
        self.tell(HolderEvent::Tick);
        assert!(self.holder.is_witness_silent());
    }

    fn taken_over(&mut self) {
        let row = self.holder.row().with_holder(life("b"));
        self.tell(HolderEvent::SlotRead(Ok(row)));
    }

    /// The holder's process takes the slot over from its former life's tenure.
    fn succeed(&mut self) {
        let row = self.holder.row().with_holder(life("a"));
        let row = row.with_witness(Some(life("b")));
        let mut ledger = self.holder.ledger().clone();
        ledger.begin_tenure(row.tenure);
        let slot = self.holder.slot().clone();
        let settings = Arc::new(HolderSettings::default());
        self.holder = SlotHolder::new(settings, slot, row, ledger, self.now);
        self.acks.clear();
        self.intents.clear();
    }

    fn answer(&self, ask: u64) -> Option<&HolderAnswer> {
        let found = self.answers.iter().find(|(other, _)| *other == ask);
        found.map(|(_, answer)| answer)
    }

    fn reserved(&self, ask: u64) -> Option<&ReserveAnswer> {
        match self.answer(ask)? {
            HolderAnswer::Reserve(answer) => Some(answer),
            other => panic!("{other:?}"),
        }
    }

    fn released(&self, ask: u64) -> Option<&ReleaseAnswer> {
        match self.answer(ask)? {
            HolderAnswer::Release(answer) => Some(answer),
            other => panic!("{other:?}"),
        }
    }

    fn joins(&self, ask: u64, to: u128) -> bool {
        matches!(self.reserved(ask), Some(ReserveAnswer::Joined { attempt, .. }) if attempt.get() == to)
    }
}

fn is_granted(answer: Option<&ReserveAnswer>) -> bool {
    matches!(answer, Some(ReserveAnswer::Granted(_)))
}

fn is_unreachable(answer: Option<&ReserveAnswer>) -> bool {
    matches!(answer, Some(ReserveAnswer::Unreachable { .. }))
}

fn is_pending(answer: Option<&ReleaseAnswer>) -> bool {
    matches!(answer, Some(ReleaseAnswer::Pending { .. }))
}

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
    let seal = SealAsk {
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
    let seal = SealAsk {
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
    let seal = SealAsk {
        identity: identity(7),
    };
    rig.tell(HolderEvent::Seal(AskId::new(2), seal));
    rig.lose_witness();
    rig.reserve(3, 1, 1);
    assert!(rig.reserved(3).is_some(), "it is told at once");
}
