//! One holder and one witness, message by message.

use std::sync::Arc;

use guavawell_core::budget::AskId;
use guavawell_core::budget::BudgetRow;
use guavawell_core::budget::ChangeKey;
use guavawell_core::budget::HolderAnswer;
use guavawell_core::budget::HolderEffect;
use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::HolderSettings;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::ReleaseAnswer;
use guavawell_core::budget::ReleaseRequest;
use guavawell_core::budget::ReserveAnswer;
use guavawell_core::budget::ReserveRequest;
use guavawell_core::budget::RowChange;
use guavawell_core::budget::SlotHolder;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::SlotLedger;
use guavawell_core::budget::SlotRow;
use guavawell_core::budget::TableIntent;
use guavawell_core::budget::WitnessAck;
use guavawell_core::budget::WitnessMessage;
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

pub const TIMEOUT: ClockSpan = ClockSpan::from_millis(250);

/// A holder whose witness answers when the test says so; the table answers
/// when asked to.
pub struct HolderRig {
    pub holder: SlotHolder,
    pub budget: BudgetRow,
    pub now: ClockTime,
    pub answers: Vec<(u64, HolderAnswer)>,
    pub acks: Vec<WitnessAck>,
    pub intents: Vec<TableIntent>,
    pub given_back: Vec<ReleaseRequest>,
}

pub fn life(name: &str) -> InstanceIncarnation {
    InstanceIncarnation {
        instance: name.parse().unwrap(),
        incarnation: IncarnationId::new(1),
    }
}

pub fn identity(request: u32) -> RequestIdentity {
    RequestIdentity::from_caller("org".parse().unwrap(), &format!("r{request}")).unwrap()
}

pub fn row() -> SlotRow {
    SlotRow::first(life("a")).with_witness(Some(life("b")))
}

impl HolderRig {
    pub fn new(float_percent: u8, witness: bool) -> Self {
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
    pub fn ready(float_percent: u8) -> Self {
        let mut rig = Self::new(float_percent, true);
        rig.reserve(90, 9, 90);
        rig.settle_down();
        rig.release(91, 9, 90);
        rig.settle_down();
        rig.answers.clear();
        rig
    }

    pub fn tell(&mut self, event: HolderEvent) {
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

    pub fn reserve(&mut self, ask: u64, request: u32, attempt: u128) {
        let reserve = ReserveRequest {
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

    pub fn release(&mut self, ask: u64, request: u32, attempt: u128) {
        self.release_before(ask, request, attempt, None);
    }

    pub fn release_before(
        &mut self,
        ask: u64,
        request: u32,
        attempt: u128,
        before: Option<SlotEpoch>,
    ) {
        let release = ReleaseRequest {
            identity: identity(request),
            attempt: AttemptId::new(attempt),
            before,
        };
        self.tell(HolderEvent::Release(AskId::new(ask), release));
    }

    /// The witness has every batch that was sent.
    pub fn ack(&mut self) {
        for ack in std::mem::take(&mut self.acks) {
            self.tell(HolderEvent::Ack(ack));
        }
    }

    pub fn table(&mut self) {
        for intent in std::mem::take(&mut self.intents) {
            if let TableIntent::ChangeGrant { budget, change } = intent {
                if let Ok(RowChange::Write(row)) = self.budget.change_grant(&change) {
                    self.budget = row;
                }
                let view = self.budget.view(&change.slot);
                let key = ChangeKey::new(budget, &change);
                self.tell(HolderEvent::GrantChanged(key, Ok(view)));
            }
        }
    }

    pub fn settle_down(&mut self) {
        while !self.acks.is_empty() || !self.intents.is_empty() {
            self.ack();
            self.table();
        }
    }

    /// The witness is given up.
    pub fn lose_witness(&mut self) {
        self.now = self.now + TIMEOUT;
        self.tell(HolderEvent::Tick);
        assert!(self.holder.is_witness_silent());
    }

    pub fn taken_over(&mut self) {
        let row = self.holder.row().with_holder(life("b"));
        self.tell(HolderEvent::SlotRead(Ok(row)));
    }

    /// The holder's process takes the slot over from its former life's tenure.
    pub fn succeed(&mut self) {
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

    pub fn answer(&self, ask: u64) -> Option<&HolderAnswer> {
        let found = self.answers.iter().find(|(other, _)| *other == ask);
        found.map(|(_, answer)| answer)
    }

    pub fn reserved(&self, ask: u64) -> Option<&ReserveAnswer> {
        match self.answer(ask)? {
            HolderAnswer::Reserve(answer) => Some(answer),
            other => panic!("{other:?}"),
        }
    }

    pub fn released(&self, ask: u64) -> Option<&ReleaseAnswer> {
        match self.answer(ask)? {
            HolderAnswer::Release(answer) => Some(answer),
            other => panic!("{other:?}"),
        }
    }

    pub fn joins(&self, ask: u64, to: u128) -> bool {
        matches!(self.reserved(ask), Some(ReserveAnswer::Joined { attempt, .. }) if attempt.get() == to)
    }
}

pub fn is_granted(answer: Option<&ReserveAnswer>) -> bool {
    matches!(answer, Some(ReserveAnswer::Granted(_)))
}

pub fn is_unreachable(answer: Option<&ReserveAnswer>) -> bool {
    matches!(answer, Some(ReserveAnswer::Unreachable { .. }))
}

pub fn is_pending(answer: Option<&ReleaseAnswer>) -> bool {
    matches!(answer, Some(ReleaseAnswer::Pending { .. }))
}
