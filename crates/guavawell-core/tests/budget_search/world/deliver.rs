//! Letters on their way, and what the state machines do with them.

use guavawell_core::budget::AskId;
use guavawell_core::budget::HolderAnswer;
use guavawell_core::budget::HolderEffect;
use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::HolderNote;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::ReleaseAnswer;
use guavawell_core::budget::RequestState;
use guavawell_core::budget::ReserveAnswer;
use guavawell_core::budget::ReserveGrant;
use guavawell_core::budget::SlotHolder;
use guavawell_core::budget::SlotLedger;
use guavawell_core::budget::SlotRow;
use guavawell_core::budget::TableIntent;
use guavawell_core::budget::TokenPool;
use guavawell_core::budget::WitnessEffect;
use guavawell_core::budget::WitnessEvent;
use guavawell_core::budget::WitnessMessage;
use guavawell_core::id::SlotEpoch;

use super::NOW;
use super::RELEASE_ASKS;
use super::World;
use super::attempt_of;
use super::digest;
use super::identity;
use super::model::GrantedAttempt;
use super::model::Letter;
use super::model::LetterBody;
use super::model::Node;
use super::model::ReleaseState;
use super::new_witness;
use super::settings;
use super::slot;
use crate::plant::PlantedFault;

impl World {
    pub(super) fn deliver(&mut self, letter: Letter) {
        let Letter { node, life, body } = letter;
        if let LetterBody::Intent(_, intent) = body {
            self.execute(node, life, &intent);
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
            LetterBody::Grant(key, outcome) => {
                let tenure = key.tenure;
                self.tell_tenure(node, tenure, HolderEvent::GrantChanged(key, outcome));
            }
            LetterBody::Report(key, outcome) => {
                let tenure = key.tenure;
                self.tell_tenure(node, tenure, HolderEvent::FrozenReported(key, outcome));
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
        self.plant_answer(node, place, &event);
        let mut effects = Vec::new();
        let holder = &mut self.nodes[node].holders[place];
        holder.handle(event, NOW, &mut effects);
        let tenure = holder.ledger().tenure;
        for effect in effects {
            match effect {
                HolderEffect::Answer(ask, HolderAnswer::Reserve(ReserveAnswer::Granted(grant))) => {
                    self.note_grant(node, ask, grant);
                }
                HolderEffect::Answer(ask, HolderAnswer::Reserve(answer)) => {
                    self.note_refusal(node, place, ask, &answer);
                }
                HolderEffect::Answer(ask, HolderAnswer::Release(ReleaseAnswer::Released)) => {
                    self.note_released(ask);
                }
                HolderEffect::Send(to, message) => self.send(to, message),
                HolderEffect::Table(intent) => self.post_intent(node, tenure, intent),
                HolderEffect::Note(HolderNote::AccountMismatch(_)) => self.mismatch = true,
                HolderEffect::AskHandBack { key, .. } => {
                    self.tell(node, place, HolderEvent::HandBackDone(key));
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

    pub(super) fn begin(&mut self, node: usize, row: SlotRow, ledger: SlotLedger) {
        let holder = SlotHolder::new(settings(), slot(), row, ledger, NOW);
        self.nodes[node].holders.push(holder);
    }

    /// What an ask heard that was not granted; an answer that leaves open what
    /// becomes of the attempt counts for nothing.
    fn note_refusal(&mut self, node: usize, place: usize, ask: AskId, answer: &ReserveAnswer) {
        match answer {
            ReserveAnswer::Joined { attempt, .. } => {
                let number = u64::try_from(attempt.get()).unwrap();
                self.note_join(node, place, attempt_of(ask.get()), attempt_of(number));
            }
            ReserveAnswer::NotHolder { .. } | ReserveAnswer::Unreachable { .. } => return,
            _ => {}
        }
        self.heard.refuse(attempt_of(ask.get()));
    }

    /// Float attempts are their holder's alone, so only others are promised;
    /// and a holder whose witness is away joins what it had before.
    pub fn note_join(
        &mut self,
        node: usize,
        place: usize,
        asker: (usize, u8),
        joined: (usize, u8),
    ) {
        let holder = &self.nodes[node].holders[place];
        let is_alone = holder.is_witness_silent();
        let state = holder.ledger().request(&identity(joined.0));
        let is_witnessed = matches!(state, Some(RequestState::Reserved(held)) if held.pool == TokenPool::Witnessed);
        if !is_witnessed {
            return;
        }
        self.heard.join(joined);
        let is_late = self.heard.late.binary_search(&(asker, joined)).is_ok();
        self.heard.is_joined_late |= is_late && !is_alone;
    }

    pub fn note_released(&mut self, ask: AskId) {
        let released = attempt_of(ask.get() - RELEASE_ASKS);
        let mut granted = self.granted.iter_mut();
        let found = granted.find(|granted| (granted.request, granted.attempt) == released);
        found.expect("a granted attempt").release = ReleaseState::Answered;
    }

    fn note_grant(&mut self, node: usize, ask: AskId, grant: ReserveGrant) {
        let (request, attempt) = attempt_of(ask.get());
        let is_known =
            |granted: &GrantedAttempt| granted.request == request && granted.attempt == attempt;
        if !self.granted.iter().any(is_known) {
            self.granted.push(GrantedAttempt {
                request,
                attempt,
                node,
                grant,
                charged: None,
                release: ReleaseState::Unasked,
            });
            self.granted
                .sort_by_key(|granted| (granted.request, granted.attempt));
        }
    }

    fn send(&mut self, to: InstanceIncarnation, message: WitnessMessage) {
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
}
