//! A small world around the real state machines: three instances, one table,
//! one slot, one budget, and a network that loses, delays and reorders.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;

use guavawell_core::budget::AskId;
use guavawell_core::budget::BudgetRow;
use guavawell_core::budget::GrantView;
use guavawell_core::budget::HolderAnswer;
use guavawell_core::budget::HolderEffect;
use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::HolderNote;
use guavawell_core::budget::HolderSettings;
use guavawell_core::budget::InstanceLife;
use guavawell_core::budget::ReserveAnswer;
use guavawell_core::budget::ReserveAsk;
use guavawell_core::budget::ReserveGrant;
use guavawell_core::budget::RowChange;
use guavawell_core::budget::SettleAsk;
use guavawell_core::budget::SlotHolder;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::SlotLedger;
use guavawell_core::budget::SlotRow;
use guavawell_core::budget::SlotWitness;
use guavawell_core::budget::TableFailure;
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
use guavawell_core::id::SlotEpoch;
use guavawell_core::id::TokenCount;
use guavawell_core::request::RequestDigest;
use guavawell_core::request::RequestIdentity;

use crate::plant::PlantedFault;

/// Time stands still; with timeouts of zero, every tick may fire any timer.
pub const NOW: ClockTime = ClockTime::from_millis(1);
const PAID: TokenCount = TokenCount::new(8);
const AMOUNT: TokenCount = TokenCount::new(2);
const ACTUAL: TokenCount = TokenCount::new(1);

/// How often each disturbance may happen in one run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct WorldLimits {
    pub asks: u8,
    pub ticks: u8,
    pub crashes: u8,
    pub witness_changes: u8,
    pub takeovers: u8,
    pub settles: u8,
    pub repeats: u8,
    pub lapses: u8,
}

/// One transition of the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorldStep {
    Deliver(usize),
    Tick(usize),
    Ask(usize),
    Repeat(usize),
    Settle(usize),
    TakeOver(usize),
    ChangeWitness(usize, usize),
    Crash(usize),
    Lapse(usize),
}

/// Something on its way: to an instance, or from it to the table.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Letter {
    pub node: usize,
    pub life: InstanceLife,
    pub body: LetterBody,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LetterBody {
    Witness(WitnessMessage),
    Intent(SlotEpoch, TableIntent),
    Slot(SlotRow),
    Grant(SlotEpoch, Result<GrantView, TableFailure>),
    Report(SlotEpoch, Result<(), TableFailure>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    pub life: InstanceLife,
    pub holders: Vec<SlotHolder>,
    pub witness: SlotWitness,
    /// The witness as it was before a takeover; used by planted faults.
    pub shadow: Option<SlotWitness>,
}

/// An attempt that was granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GrantedAttempt {
    request: usize,
    attempt: u8,
    node: usize,
    grant: ReserveGrant,
    charged: Option<TokenCount>,
}

#[derive(Clone, Debug, Hash)]
pub struct World {
    pub plant: PlantedFault,
    pub row: SlotRow,
    pub budget: BudgetRow,
    pub nodes: Vec<Node>,
    pub letters: Vec<Letter>,
    pub granted: Vec<GrantedAttempt>,
    asked: usize,
    pub left: WorldLimits,
    mismatch: bool,
}

pub fn digest(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

pub fn slot() -> SlotId {
    SlotId {
        zone: "z1".parse().unwrap(),
        shard: ShardId::new(0),
    }
}

fn life(node: usize, incarnation: u64) -> InstanceLife {
    InstanceLife {
        instance: ["a", "b", "c"][node].parse().unwrap(),
        incarnation: IncarnationId::new(incarnation),
    }
}

fn identity(request: usize) -> RequestIdentity {
    RequestIdentity::from_caller("org".parse().unwrap(), &format!("r{request}")).unwrap()
}

fn attempt_id(request: usize, attempt: u8) -> AttemptId {
    AttemptId::new((request as u128) * 16 + u128::from(attempt))
}

fn new_witness(life: &InstanceLife) -> SlotWitness {
    SlotWitness::new(life.clone(), slot(), ClockSpan::from_millis(0))
}

fn settings() -> Arc<HolderSettings> {
    let long = ClockSpan::from_millis(1_000_000);
    let none = ClockSpan::from_millis(0);
    Arc::new(HolderSettings {
        witness_timeout: none,
        resend_every: none,
        table_retry: none,
        queue_wait: none,
        exhausted_hold: none,
        float_percent: 50,
        stock_requests: 100,
        report_after: long,
        retention: long,
        retire_wait: long,
        slot_read_every: long,
        ..HolderSettings::default()
    })
}

impl World {
    /// Instance `a` holds the slot, `b` is its witness, request 0 runs and
    /// the float is filled.
    pub fn new(plant: PlantedFault, left: WorldLimits) -> Self {
        let mut world = Self::with_late_ack(plant, left);
        world.deliver_all(|_| true);
        world
    }

    /// As [`World::new`], but with the witness's first acknowledgement still
    /// on its way.
    pub fn with_late_ack(plant: PlantedFault, left: WorldLimits) -> Self {
        let nodes = (0..3).map(|node| Node {
            life: life(node, 1),
            holders: Vec::new(),
            witness: new_witness(&life(node, 1)),
            shadow: None,
        });
        let row = SlotRow::first(life(0, 1));
        let mut world = Self {
            plant,
            row: row.clone(),
            budget: BudgetRow::new("org".parse().unwrap(), PAID, ManifestVersion::new(1)),
            nodes: nodes.collect(),
            letters: Vec::new(),
            granted: Vec::new(),
            asked: 0,
            left,
            mismatch: false,
        };
        let ledger = SlotLedger::new(row.tenure);
        let holder = SlotHolder::new(settings(), slot(), row, ledger, NOW);
        world.nodes[0].holders.push(holder);
        world.tell(0, 0, HolderEvent::ChangeWitness(Some(life(1, 1))));
        world.deliver_all(|_| true);
        world.ask(0, 0, 0);
        world.deliver_all(|letter| {
            !matches!(letter.body, LetterBody::Witness(WitnessMessage::Ack(_)))
        });
        world
    }

    fn deliver_all(&mut self, is_due: impl Fn(&Letter) -> bool) {
        while let Some(place) = self.letters.iter().position(&is_due) {
            self.apply(WorldStep::Deliver(place));
        }
    }

    /// What may happen next.
    pub fn steps(&self) -> Vec<WorldStep> {
        let mut steps: Vec<WorldStep> = (0..self.letters.len()).map(WorldStep::Deliver).collect();
        for (place, node) in self.nodes.iter().enumerate() {
            let is_holder = node.holders.iter().any(|holder| !holder.is_retired());
            if self.left.ticks > 0 && (!node.holders.is_empty() || node.witness.is_taking_over()) {
                steps.push(WorldStep::Tick(place));
            }
            if is_holder && self.left.asks > 0 {
                steps.push(WorldStep::Ask(place));
            }
            if is_holder && self.left.repeats > 0 {
                steps.push(WorldStep::Repeat(place));
            }
            if self.left.takeovers > 0
                && self.row.witness.as_ref() == Some(&node.life)
                && !node.witness.is_taking_over()
            {
                steps.push(WorldStep::TakeOver(place));
            }
            if is_holder && self.left.witness_changes > 0 {
                let others = (0..self.nodes.len()).filter(|other| *other != place);
                steps.extend(others.map(|other| WorldStep::ChangeWitness(place, other)));
            }
            if self.left.crashes > 0 {
                steps.push(WorldStep::Crash(place));
            }
            if self.plant == PlantedFault::LeaseExpiry && self.left.lapses > 0 && place == 1 {
                steps.push(WorldStep::Lapse(place));
            }
        }
        if self.left.settles > 0 {
            let open = |place: &usize| self.granted[*place].charged.is_none();
            let places = (0..self.granted.len()).filter(open);
            steps.extend(places.map(WorldStep::Settle));
        }
        steps
    }

    pub fn apply(&mut self, step: WorldStep) {
        match step {
            WorldStep::Deliver(place) => {
                let letter = self.letters.remove(place);
                self.deliver(letter);
            }
            WorldStep::Tick(node) => {
                self.left.ticks -= 1;
                for place in 0..self.nodes[node].holders.len() {
                    self.tell(node, place, HolderEvent::Tick);
                }
                self.tell_witness(node, WitnessEvent::Tick);
            }
            WorldStep::Ask(node) => {
                self.left.asks -= 1;
                self.asked += 1;
                self.ask(node, self.asked, 0);
            }
            WorldStep::Repeat(node) => {
                self.left.repeats -= 1;
                self.ask(node, 0, self.left.repeats + 1);
            }
            WorldStep::Settle(place) => {
                self.left.settles -= 1;
                self.settle(place);
            }
            WorldStep::TakeOver(node) => {
                self.left.takeovers -= 1;
                self.nodes[node].shadow = Some(self.nodes[node].witness.clone());
                let row = self.row.clone();
                self.tell_witness(node, WitnessEvent::TakeOver(row));
            }
            WorldStep::ChangeWitness(node, to) => {
                self.left.witness_changes -= 1;
                let witness = self.nodes[to].life.clone();
                let place = self.nodes[node].holders.len() - 1;
                self.tell(node, place, HolderEvent::ChangeWitness(Some(witness)));
            }
            WorldStep::Crash(node) => {
                self.left.crashes -= 1;
                self.crash(node);
            }
            WorldStep::Lapse(node) => {
                self.left.lapses -= 1;
                self.row = self.row.with_holder(self.nodes[node].life.clone());
                let ledger = SlotLedger::new(self.row.tenure);
                self.begin(node, self.row.clone(), ledger);
            }
        }
    }

    fn crash(&mut self, node: usize) {
        let crashed = &mut self.nodes[node];
        if self.plant != PlantedFault::RestartedWitnessAnswers {
            crashed.life.incarnation = crashed.life.incarnation.next();
        }
        crashed.holders.clear();
        crashed.witness = new_witness(&crashed.life);
        crashed.shadow = None;
    }

    fn ask(&mut self, node: usize, request: usize, attempt: u8) {
        let ask = AskId::new(request as u64 * 16 + u64::from(attempt));
        let reserve = ReserveAsk {
            identity: identity(request),
            attempt: attempt_id(request, attempt),
            budget: "m".parse().unwrap(),
            amount: AMOUNT,
            router: self.nodes[node].life.clone(),
            idempotent: true,
            digest: RequestDigest::default(),
        };
        let place = self.nodes[node].holders.len() - 1;
        self.tell(node, place, HolderEvent::Reserve(ask, reserve));
    }

    /// The router settles with the holder that granted; if that one is gone
    /// or retired, with the present one.
    fn settle(&mut self, place: usize) {
        let granted = self.granted[place].clone();
        self.granted[place].charged = Some(ACTUAL);
        let settle = SettleAsk {
            identity: identity(granted.request),
            attempt: attempt_id(granted.request, granted.attempt),
            grant: granted.grant.clone(),
            actual: ACTUAL,
            backend: None,
        };
        let holder_place = self.nodes[granted.node]
            .holders
            .iter()
            .position(|holder| holder.ledger().tenure == granted.grant.tenure);
        let event = HolderEvent::Settle(AskId::new(1_000), settle);
        if let Some(holder) = holder_place {
            self.tell(granted.node, holder, event.clone());
        }
        if granted.grant.pool == TokenPool::Witnessed {
            for node in 0..self.nodes.len() {
                let place = self.nodes[node].holders.iter().position(|holder| {
                    !holder.is_retired() && holder.ledger().tenure > granted.grant.tenure
                });
                if let Some(place) = place {
                    self.tell(node, place, event.clone());
                }
            }
        }
    }

    fn deliver(&mut self, letter: Letter) {
        let Letter { node, life, body } = letter;
        if let LetterBody::Intent(tenure, intent) = body {
            self.execute(node, life, tenure, &intent);
            return;
        }
        if self.nodes[node].life != life {
            return;
        }
        match body {
            LetterBody::Witness(message) => self.deliver_message(node, message),
            LetterBody::Slot(row) => {
                for place in 0..self.nodes[node].holders.len() {
                    self.tell(node, place, HolderEvent::SlotRead(Ok(row.clone())));
                }
                self.tell_witness(node, WitnessEvent::SlotRead(row));
            }
            LetterBody::Grant(tenure, outcome) => {
                let budget = "m".parse().unwrap();
                self.tell_tenure(node, tenure, HolderEvent::GrantChanged(budget, outcome));
            }
            LetterBody::Report(tenure, outcome) => {
                let budget = "m".parse().unwrap();
                self.tell_tenure(node, tenure, HolderEvent::FrozenReported(budget, outcome));
            }
            LetterBody::Intent(..) => {}
        }
    }

    fn deliver_message(&mut self, node: usize, message: WitnessMessage) {
        match message {
            WitnessMessage::Record(record) => {
                self.plant_before_record(node, &record);
                self.tell_witness(node, WitnessEvent::Record(record));
            }
            WitnessMessage::Handover(handover) => {
                self.tell_witness(node, WitnessEvent::Handover(handover));
            }
            WitnessMessage::Ack(ack) => {
                for place in 0..self.nodes[node].holders.len() {
                    for ack in self.plant_ack(&self.nodes[node].holders[place], &ack) {
                        self.tell(node, place, HolderEvent::Ack(ack));
                    }
                }
            }
            WitnessMessage::Refusal(refusal) => {
                for place in 0..self.nodes[node].holders.len() {
                    self.tell(node, place, HolderEvent::Refusal(refusal.clone()));
                }
            }
            WitnessMessage::HandoverAck(ack) => {
                for place in 0..self.nodes[node].holders.len() {
                    self.tell(node, place, HolderEvent::HandoverAck(ack.clone()));
                }
            }
        }
    }

    /// The table: one transaction; its answer is a letter that may be lost.
    fn execute(
        &mut self,
        node: usize,
        life: InstanceLife,
        tenure: SlotEpoch,
        intent: &TableIntent,
    ) {
        let body = match intent {
            TableIntent::WriteSlot { expected, row, .. } => {
                if expected.as_ref() == Some(&self.row) {
                    self.row = row.clone();
                }
                LetterBody::Slot(self.row.clone())
            }
            TableIntent::ReadSlot { .. } => LetterBody::Slot(self.row.clone()),
            TableIntent::ChangeGrant { change, .. } => {
                let outcome = if self.row.tenure == change.tenure {
                    self.write(self.budget.change_grant(change))
                } else {
                    Err(TableFailure::NotHolder)
                };
                let view = |()| self.budget.view(&change.slot);
                LetterBody::Grant(tenure, outcome.map(view))
            }
            TableIntent::ReportFrozen { report, .. } => {
                let outcome = self.write(self.budget.report_frozen(report));
                LetterBody::Report(tenure, outcome)
            }
        };
        self.post(Letter { node, life, body });
    }

    fn write(
        &mut self,
        change: Result<RowChange, guavawell_core::budget::RowError>,
    ) -> Result<(), TableFailure> {
        match change {
            Ok(RowChange::Write(row)) => {
                self.budget = row;
                Ok(())
            }
            Ok(RowChange::Applied) => Ok(()),
            Err(error) => Err(TableFailure::Refused(error)),
        }
    }

    fn tell_tenure(&mut self, node: usize, tenure: SlotEpoch, event: HolderEvent) {
        let holders = &self.nodes[node].holders;
        let place = holders
            .iter()
            .position(|holder| holder.ledger().tenure == tenure);
        if let Some(place) = place {
            self.tell(node, place, event);
        }
    }

    pub fn tell(&mut self, node: usize, place: usize, event: HolderEvent) {
        let mut effects = Vec::new();
        let holder = &mut self.nodes[node].holders[place];
        holder.handle(event, NOW, &mut effects);
        let tenure = holder.ledger().tenure;
        for effect in effects {
            match effect {
                HolderEffect::Answer(ask, HolderAnswer::Reserve(ReserveAnswer::Granted(grant))) => {
                    self.note_grant(node, ask, grant);
                }
                HolderEffect::Send(to, message) => self.send(to, message),
                HolderEffect::Table(intent) => self.post_intent(node, tenure, intent),
                HolderEffect::Note(HolderNote::AccountMismatch(_)) => self.mismatch = true,
                HolderEffect::AskHandBack { budget, .. } => {
                    self.tell(node, place, HolderEvent::HandBackDone(budget));
                }
                _ => {}
            }
        }
    }

    pub fn tell_witness(&mut self, node: usize, event: WitnessEvent) {
        let mut effects = Vec::new();
        let is_record = matches!(event, WitnessEvent::Record(_));
        let acting = match &mut self.nodes[node] {
            Node {
                shadow: Some(shadow),
                ..
            } if is_record && self.plant == PlantedFault::TakeoverWithoutStop => shadow,
            Node { witness, .. } => witness,
        };
        acting.handle(event, NOW, &mut effects);
        for effect in effects {
            match effect {
                WitnessEffect::Send(to, message) => self.send(to, message),
                WitnessEffect::Table(intent) => {
                    self.post_intent(node, SlotEpoch::new(0), intent);
                }
                WitnessEffect::Begin(row, mut ledger) => {
                    self.plant_ledger(&mut ledger);
                    if self.plant == PlantedFault::ForgottenEpoch {
                        self.nodes[node].witness = new_witness(&self.nodes[node].life);
                    }
                    self.begin(node, row, *ledger);
                }
            }
        }
    }

    fn begin(&mut self, node: usize, row: SlotRow, ledger: SlotLedger) {
        let holder = SlotHolder::new(settings(), slot(), row, ledger, NOW);
        self.nodes[node].holders.push(holder);
    }

    fn note_grant(&mut self, node: usize, ask: AskId, grant: ReserveGrant) {
        let request = usize::try_from(ask.get() / 16).unwrap();
        let attempt = u8::try_from(ask.get() % 16).unwrap();
        let is_known =
            |granted: &GrantedAttempt| granted.request == request && granted.attempt == attempt;
        if !self.granted.iter().any(is_known) {
            self.granted.push(GrantedAttempt {
                request,
                attempt,
                node,
                grant,
                charged: None,
            });
            self.granted
                .sort_by_key(|granted| (granted.request, granted.attempt));
        }
    }

    fn send(&mut self, to: InstanceLife, message: WitnessMessage) {
        let found = self
            .nodes
            .iter()
            .position(|node| node.life.instance == to.instance);
        let node = found.expect("a known instance");
        let message = self.plant_send(message);
        let body = LetterBody::Witness(message);
        self.post(Letter {
            node,
            life: to,
            body,
        });
    }

    fn post_intent(&mut self, node: usize, tenure: SlotEpoch, intent: TableIntent) {
        let life = self.nodes[node].life.clone();
        let body = LetterBody::Intent(tenure, intent);
        self.post(Letter { node, life, body });
    }

    /// The network is a set: a letter sent again while it is on its way
    /// changes nothing, and one that is never delivered is lost.
    pub fn post(&mut self, letter: Letter) {
        let key = digest(&letter);
        let place = self.letters.partition_point(|other| digest(other) < key);
        if self.letters.get(place) != Some(&letter) {
            self.letters.insert(place, letter);
        }
    }

    pub fn is_granted(&self, request: &RequestIdentity) -> bool {
        self.granted
            .iter()
            .any(|granted| identity(granted.request) == *request)
    }

    /// Whether the holder that the table names lacks an attempt that runs on
    /// the witnessed part. Its tokens would be granted a second time.
    fn is_forgotten(&self) -> bool {
        let mut holders = self.nodes.iter().flat_map(|node| &node.holders);
        let Some(present) = holders.find(|holder| holder.ledger().tenure == self.row.tenure) else {
            return false;
        };
        let is_unknown = |granted: &GrantedAttempt| {
            granted.grant.pool == TokenPool::Witnessed
                && present
                    .ledger()
                    .request(&identity(granted.request))
                    .is_none()
        };
        self.granted.iter().any(is_unknown)
    }

    /// The promise that this state breaks, if any.
    pub fn broken(&self) -> Option<&'static str> {
        let spent: TokenCount = self
            .granted
            .iter()
            .map(|granted| granted.charged.unwrap_or(granted.grant.amount))
            .sum();
        if spent > self.budget.paid {
            return Some("overspend");
        }
        if !self.budget.is_balanced() {
            return Some("unbalanced row");
        }
        if self.is_forgotten() {
            return Some("a granted attempt is unknown to the present holder");
        }
        if self.mismatch {
            return Some("account mismatch");
        }
        let firsts = self
            .granted
            .iter()
            .filter(|granted| granted.grant.pool == TokenPool::Witnessed && granted.attempt == 0);
        for first in firsts {
            let again = |other: &GrantedAttempt| {
                other.request == first.request && other.attempt != first.attempt
            };
            if self.granted.iter().any(again) {
                return Some("granted twice");
            }
        }
        None
    }
}
