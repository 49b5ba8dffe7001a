//! Letters on their way, and what holders and witnesses do with them.

use guavawell_core::budget::AskId;
use guavawell_core::budget::ChangeKey;
use guavawell_core::budget::HandBackRequest;
use guavawell_core::budget::HolderEffect;
use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::HolderNote;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::WitnessEffect;
use guavawell_core::budget::WitnessEvent;
use guavawell_core::budget::WitnessMessage;
use guavawell_core::id::SlotEpoch;
use guavawell_core::id::TokenCount;

use super::Fleet;
use super::FleetLetter;
use super::OWN_ASKS;
use super::is_of;
use super::slot;
use super::zone_of;

impl Fleet {
    pub(super) fn run(&mut self) {
        loop {
            while let Some(letter) = self.letters.pop_front() {
                self.deliver(letter);
            }
            if self.later.is_empty() {
                return;
            }
            self.letters.extend(self.later.drain(..));
        }
    }

    fn deliver(&mut self, letter: FleetLetter) {
        match letter {
            FleetLetter::Holder(instance, zone, tenure, event) => {
                for place in 0..self.instances[instance].holders.len() {
                    let holder = &self.instances[instance].holders[place];
                    let is_meant = tenure.is_none_or(|tenure| holder.ledger().tenure == tenure);
                    let is_asked = matches!(event, HolderEvent::Reserve(..));
                    if is_meant && is_of(holder, zone) && !(is_asked && holder.is_retired()) {
                        self.tell(instance, zone, place, event.clone());
                    }
                }
            }
            FleetLetter::Witness(instance, zone, event) => {
                self.tell_witness(instance, zone, event);
            }
            FleetLetter::Table(instance, zone, tenure, intent) => {
                self.execute(instance, zone, tenure, intent);
            }
        }
    }

    fn tell(&mut self, instance: usize, zone: usize, place: usize, event: HolderEvent) {
        let mut effects = Vec::new();
        let holder = &mut self.instances[instance].holders[place];
        holder.handle(event, self.now, &mut effects);
        let tenure = holder.ledger().tenure;
        for effect in effects {
            match effect {
                HolderEffect::Answer(ask, _) if ask.get() >= OWN_ASKS => {}
                HolderEffect::Answer(ask, answer) => self.answers.push((ask, answer)),
                HolderEffect::Send(to, message) => self.send(instance, zone, &to, message),
                HolderEffect::Table(intent) => {
                    let letter = FleetLetter::Table(instance, zone, tenure, intent);
                    self.letters.push_back(letter);
                }
                HolderEffect::AskHandBack { key, wanted, slots } => {
                    self.ask_back(instance, zone, key, wanted, &slots);
                }
                HolderEffect::HandSlot(_, ask) => {
                    let witness = ask.row.witness.as_ref();
                    if let Some(witness) = witness.and_then(|life| self.instance_of(life)) {
                        let event = WitnessEvent::TakeOver(ask.row);
                        self.letters
                            .push_back(FleetLetter::Witness(witness, zone, event));
                    }
                }
                HolderEffect::Note(HolderNote::AccountMismatch(_)) => self.mismatches += 1,
                HolderEffect::Note(_)
                | HolderEffect::Charged(_)
                | HolderEffect::GiveBack(_)
                | HolderEffect::GiveBackAt(..)
                | HolderEffect::AskSuccessor(..) => {}
            }
        }
    }

    fn ask_back(
        &mut self,
        instance: usize,
        zone: usize,
        key: ChangeKey,
        wanted: TokenCount,
        slots: &[SlotId],
    ) {
        for other in slots.iter().map(zone_of) {
            let donor = self.holder(other).map(|(donor, _)| donor);
            let Some(donor) = donor.filter(|donor| self.can_talk(instance, *donor)) else {
                continue;
            };
            let ask = HandBackRequest {
                slot: slot(other),
                budget: key.budget.clone(),
                wanted,
            };
            let event = HolderEvent::HandBack(AskId::new(OWN_ASKS), ask);
            self.letters
                .push_back(FleetLetter::Holder(donor, other, None, event));
        }
        let tenure = key.tenure;
        let done = HolderEvent::HandBackDone(key);
        self.later
            .push(FleetLetter::Holder(instance, zone, Some(tenure), done));
    }

    fn tell_witness(&mut self, instance: usize, zone: usize, event: WitnessEvent) {
        if !self.instances[instance].is_up {
            return;
        }
        let mut effects = Vec::new();
        let witness = &mut self.instances[instance].witnesses[zone];
        witness.handle(event, self.now, &mut effects);
        for effect in effects {
            match effect {
                WitnessEffect::Send(to, message) => self.send(instance, zone, &to, message),
                WitnessEffect::Table(intent) => {
                    let tenure = SlotEpoch::new(0);
                    let letter = FleetLetter::Table(instance, zone, tenure, intent);
                    self.letters.push_back(letter);
                }
                WitnessEffect::Begin(row, ledger) => self.begin(instance, zone, row, *ledger),
            }
        }
    }

    fn send(
        &mut self,
        from: usize,
        zone: usize,
        to: &InstanceIncarnation,
        message: WitnessMessage,
    ) {
        let Some(to) = self.instance_of(to) else {
            return;
        };
        let is_lost = self.random.below(100) < self.loss_percent;
        if is_lost || !self.can_talk(from, to) {
            return;
        }
        let letter = match message {
            WitnessMessage::Record(record) => {
                FleetLetter::Witness(to, zone, WitnessEvent::Record(record))
            }
            WitnessMessage::Handover(handover) => {
                FleetLetter::Witness(to, zone, WitnessEvent::Handover(handover))
            }
            WitnessMessage::Ack(ack) => FleetLetter::Holder(to, zone, None, HolderEvent::Ack(ack)),
            WitnessMessage::Refusal(refusal) => {
                FleetLetter::Holder(to, zone, None, HolderEvent::Refusal(refusal))
            }
            WitnessMessage::HandoverAck(ack) => {
                FleetLetter::Holder(to, zone, None, HolderEvent::HandoverAck(ack))
            }
        };
        self.letters.push_back(letter);
    }
}
