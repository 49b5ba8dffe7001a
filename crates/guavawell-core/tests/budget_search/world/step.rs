//! The transitions of the world: which may happen next, and what each does.

use guavawell_core::budget::AskId;
use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::ReleaseRequest;
use guavawell_core::budget::ReserveRequest;
use guavawell_core::budget::SettleRequest;
use guavawell_core::budget::SlotLedger;
use guavawell_core::budget::TokenPool;
use guavawell_core::budget::WitnessEvent;
use guavawell_core::request::RequestDigest;

use super::ACTUAL;
use super::AMOUNT;
use super::RELEASE_ASKS;
use super::World;
use super::attempt_id;
use super::identity;
use super::model::GrantedAttempt;
use super::model::ReleaseState;
use super::model::WorldStep;
use super::new_witness;
use crate::plant::PlantedFault;

impl World {
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
            if is_holder && self.left.joins > 0 && self.asked > 0 {
                steps.push(WorldStep::Join(place));
            }
            if is_holder && self.left.agains > 0 && self.may_ask_again() {
                steps.push(WorldStep::Again(place));
            }
            if is_holder && self.left.releases > 0 {
                let is_open = |other: &usize| {
                    let granted = &self.granted[*other];
                    granted.charged.is_none() && granted.release != ReleaseState::Answered
                };
                let open = (0..self.granted.len()).filter(is_open);
                steps.extend(open.map(|other| WorldStep::Release(other, place)));
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
            let open = |place: &usize| {
                let granted = &self.granted[*place];
                granted.charged.is_none() && granted.release == ReleaseState::Unasked
            };
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
            WorldStep::Join(node) => {
                self.left.joins -= 1;
                self.ask(node, self.asked, self.left.joins + 8);
            }
            WorldStep::Again(node) => {
                self.left.agains -= 1;
                self.ask(node, self.asked, 0);
            }
            WorldStep::Release(place, node) => {
                self.left.releases -= 1;
                self.release(place, node);
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

    pub(super) fn ask(&mut self, node: usize, request: usize, attempt: u8) {
        let ask = AskId::new(request as u64 * 16 + u64::from(attempt));
        let reserve = ReserveRequest {
            identity: identity(request),
            attempt: attempt_id(request, attempt),
            budget: "m".parse().unwrap(),
            amount: AMOUNT,
            router: self.nodes[node].life.clone(),
            idempotent: true,
            digest: RequestDigest::default(),
        };
        let is_released = |granted: &&GrantedAttempt| {
            granted.request == request
                && granted.grant.pool == TokenPool::Witnessed
                && granted.release == ReleaseState::Answered
        };
        for granted in self.granted.iter().filter(is_released) {
            let released = (granted.request, granted.attempt);
            self.heard.begin_late((request, attempt), released);
        }
        let place = self.nodes[node].holders.len() - 1;
        self.tell(node, place, HolderEvent::Reserve(ask, reserve));
    }

    /// Whether the last request's first attempt has no answer that ends it.
    fn may_ask_again(&self) -> bool {
        let first = (self.asked, 0);
        let is_first = |granted: &GrantedAttempt| (granted.request, granted.attempt) == first;
        let is_refused = self.heard.refused.binary_search(&first).is_ok();
        self.asked > 0 && !is_refused && !self.granted.iter().any(is_first)
    }

    /// The router gives an attempt back to whom it believes to be the holder.
    fn release(&mut self, place: usize, node: usize) {
        let granted = &mut self.granted[place];
        granted.release = ReleaseState::Asked;
        let attempt = attempt_id(granted.request, granted.attempt);
        let ask = AskId::new(RELEASE_ASKS + u64::try_from(attempt.get()).unwrap());
        let release = ReleaseRequest {
            identity: identity(granted.request),
            attempt,
            before: None,
        };
        let place = self.nodes[node].holders.len() - 1;
        self.tell(node, place, HolderEvent::Release(ask, release));
    }

    /// The router settles with the holder that granted; if that one is gone
    /// or retired, with the present one.
    fn settle(&mut self, place: usize) {
        let granted = self.granted[place].clone();
        self.granted[place].charged = Some(ACTUAL);
        let settle = SettleRequest {
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
}
