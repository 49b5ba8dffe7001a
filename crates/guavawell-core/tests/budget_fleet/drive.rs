//! What a test does to the fleet: asks, time, crashes and takeovers.

use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::SlotLedger;
use guavawell_core::budget::SlotWitness;
use guavawell_core::budget::WitnessEvent;
use guavawell_core::clock::ClockSpan;
use guavawell_core::id::SlotEpoch;

use super::Fleet;
use super::FleetLetter;
use super::is_of;
use super::slot;

impl Fleet {
    /// Asks the zone's holder, or the tenure's one where it is given.
    pub fn ask(&mut self, zone: usize, tenure: Option<SlotEpoch>, event: HolderEvent) {
        let holder = match tenure {
            None => self.newest_holder(zone),
            Some(tenure) => (0..self.instances.len()).find(|place| {
                let instance = &self.instances[*place];
                instance.is_up
                    && instance
                        .holders
                        .iter()
                        .any(|holder| is_of(holder, zone) && holder.ledger().tenure == tenure)
            }),
        };
        if let Some(instance) = holder {
            let letter = FleetLetter::Holder(instance, zone, tenure, event);
            self.letters.push_back(letter);
            self.run();
        }
    }

    /// Asks the holder that the table names.
    pub fn ask_present(&mut self, zone: usize, event: HolderEvent) {
        let tenure = self.rows[zone].tenure;
        self.ask(zone, Some(tenure), event);
    }

    /// Lets time pass, renews witnesses and drives every timer.
    pub fn tick(&mut self, span: ClockSpan) {
        self.now = self.now + span;
        for instance in 0..self.instances.len() {
            for zone in 0..self.rows.len() {
                self.letters
                    .push_back(FleetLetter::Witness(instance, zone, WitnessEvent::Tick));
                let tick = FleetLetter::Holder(instance, zone, None, HolderEvent::Tick);
                self.letters.push_back(tick);
            }
        }
        self.run();
        self.renew_witnesses();
        self.run();
    }

    /// Every holder takes the preferred witness anew.
    pub fn change_witnesses(&mut self) {
        for zone in 0..self.rows.len() {
            let holder = self.holder(zone).map(|(instance, _)| instance);
            let Some(instance) = holder else {
                continue;
            };
            if let Some(life) = self.candidate(instance) {
                let event = HolderEvent::ChangeWitness(Some(life));
                self.letters
                    .push_back(FleetLetter::Holder(instance, zone, None, event));
            }
        }
        self.run();
    }

    fn renew_witnesses(&mut self) {
        for zone in 0..self.rows.len() {
            let Some((instance, place)) = self.holder(zone) else {
                continue;
            };
            let holder = &self.instances[instance].holders[place];
            let is_due = holder.row().witness.is_none() || holder.is_witness_silent();
            if !is_due || holder.is_changing_witness() || !self.reaches_table(instance) {
                continue;
            }
            if let Some(life) = self.candidate(instance) {
                let event = HolderEvent::ChangeWitness(Some(life));
                self.letters
                    .push_back(FleetLetter::Holder(instance, zone, None, event));
            }
        }
    }

    /// A reachable instance, in the preferred place if there is one.
    fn candidate(&self, instance: usize) -> Option<InstanceIncarnation> {
        let zone = self.instances[instance].zone;
        let mut others: Vec<usize> = (0..self.instances.len())
            .filter(|other| *other != instance && self.can_talk(instance, *other))
            .collect();
        others.sort_by_key(|other| {
            let distance = self.instances[*other].zone + self.rows.len() - zone;
            let is_near = self.instances[*other].zone == zone;
            (
                is_near != self.prefers_near_witness,
                distance % self.rows.len(),
            )
        });
        others
            .first()
            .map(|other| self.instances[*other].life.clone())
    }

    pub fn crash(&mut self, instance: usize) {
        self.instances[instance].is_up = false;
        self.instances[instance].holders.clear();
    }

    /// The instance comes back without its memory.
    pub fn restart(&mut self, instance: usize) {
        let zones = self.rows.len();
        let restarted = &mut self.instances[instance];
        restarted.is_up = true;
        restarted.life.incarnation = restarted.life.incarnation.next();
        let life = restarted.life.clone();
        let retry = ClockSpan::from_millis(500);
        restarted.witnesses = (0..zones)
            .map(|zone| SlotWitness::new(life.clone(), slot(zone), retry))
            .collect();
    }

    /// The slot's witness, if it is there, takes over.
    pub fn take_over(&mut self, zone: usize) {
        let row = self.rows[zone].clone();
        let witness = row.witness.as_ref().and_then(|life| self.instance_of(life));
        if let Some(witness) = witness.filter(|witness| self.reaches_table(*witness)) {
            let event = WitnessEvent::TakeOver(row);
            self.letters
                .push_back(FleetLetter::Witness(witness, zone, event));
            self.run();
        }
    }

    /// An instance takes the slot although nobody can hand it over.
    pub fn seize(&mut self, zone: usize, instance: usize) {
        if self.reaches_table(instance) && self.instances[instance].is_up {
            let life = self.instances[instance].life.clone();
            self.rows[zone] = self.rows[zone].with_holder(life);
            let row = self.rows[zone].clone();
            self.seized[zone] = true;
            let ledger = if self.plants_lease_expiry {
                SlotLedger::new(row.tenure)
            } else {
                SlotLedger::after_loss(row.tenure)
            };
            self.begin(instance, zone, row, ledger);
            self.run();
        }
    }
}
