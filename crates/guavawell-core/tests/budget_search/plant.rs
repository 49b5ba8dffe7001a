//! Faults planted around the state machines, to show that the search finds
//! them. Each stands for a rule of the protocol that was left out.

use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::LedgerHandover;
use guavawell_core::budget::RequestState;
use guavawell_core::budget::SlotHolder;
use guavawell_core::budget::SlotLedger;
use guavawell_core::budget::TokenPool;
use guavawell_core::budget::WitnessAck;
use guavawell_core::budget::WitnessEvent;
use guavawell_core::budget::WitnessMessage;
use guavawell_core::budget::WitnessRecord;
use guavawell_core::id::TokenCount;

use crate::world::World;
use crate::world::attempt_of;

/// Batch numbers that a forged acknowledgement may carry.
const FORGED_SEQUENCES: u64 = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PlantedFault {
    None,
    /// A grant ends by time instead of by the witness.
    LeaseExpiry,
    /// The table names the new witness before it has the ledger.
    RenameBeforeLedger,
    /// Reservations go on while the ledger is handed over.
    HandoverWithoutPause,
    /// A late acknowledgement of the former witness counts.
    LateAck,
    /// A restarted witness answers as if it had its memory.
    RestartedWitnessAnswers,
    /// A takeover goes on acknowledging until the table answers.
    TakeoverWithoutStop,
    /// A takeover hands the float on to the new holder.
    TakeoverReturnsFloat,
    /// A witness that took over forgets which epochs it gave up.
    ForgottenEpoch,
    /// An acknowledgement counts whatever its epoch, as if the epoch did
    /// not rise with a change of witness.
    NoEpochRise,
    /// A release is answered before the witness has it.
    EarlyRelease,
    /// An attempt is joined before the witness has its reservation.
    EarlyJoin,
}

impl World {
    /// Forges what a witness without a ledger would do with a record.
    pub fn plant_before_record(&mut self, node: usize, record: &WitnessRecord) {
        let is_planted = matches!(
            self.plant,
            PlantedFault::RenameBeforeLedger | PlantedFault::RestartedWitnessAnswers
        );
        let is_named = self.row.epoch == record.stamp.epoch
            && self.row.witness.as_ref() == Some(&record.stamp.witness);
        if !is_planted || !is_named || self.nodes[node].witness.has_ledger() {
            return;
        }
        let handover = LedgerHandover {
            stamp: record.stamp.clone(),
            handover: 0,
            ledger: SlotLedger::new(self.row.tenure),
        };
        let witness = &mut self.nodes[node].witness;
        let now = crate::world::NOW;
        witness.handle(WitnessEvent::Handover(handover), now, &mut Vec::new());
        for sequence in 1..record.sequence {
            let filler = WitnessRecord {
                stamp: record.stamp.clone(),
                sequence,
                entries: Vec::new(),
            };
            witness.handle(WitnessEvent::Record(filler), now, &mut Vec::new());
        }
    }

    /// Answers that a holder with the fault gives before its witness has what
    /// they tell.
    pub fn plant_answer(&mut self, node: usize, place: usize, event: &HolderEvent) {
        let holder = &self.nodes[node].holders[place];
        match event {
            HolderEvent::Release(ask, _)
                if self.plant == PlantedFault::EarlyRelease && !holder.is_retired() =>
            {
                self.note_released(*ask);
            }
            HolderEvent::Reserve(_, reserve)
                if self.plant == PlantedFault::EarlyJoin && !holder.is_retired() =>
            {
                let state = holder.ledger().request(&reserve.identity);
                if let Some(RequestState::Reserved(held)) = state
                    && held.attempt != reserve.attempt
                {
                    let number = u64::try_from(held.attempt.get()).unwrap();
                    let asker = u64::try_from(reserve.attempt.get()).unwrap();
                    self.note_join(node, place, attempt_of(asker), attempt_of(number));
                }
            }
            _ => {}
        }
    }

    /// The acknowledgements that a holder with the fault takes in.
    pub fn plant_ack(&self, holder: &SlotHolder, ack: &WitnessAck) -> Vec<WitnessAck> {
        let row = holder.row();
        let mut forged = ack.clone();
        forged.stamp.epoch = row.epoch;
        match (self.plant, &row.witness) {
            (PlantedFault::NoEpochRise, _) => vec![forged],
            (PlantedFault::LateAck, Some(witness)) => {
                forged.stamp.witness = witness.clone();
                let sequences = 1..FORGED_SEQUENCES;
                sequences
                    .map(|sequence| WitnessAck {
                        sequence,
                        ..forged.clone()
                    })
                    .collect()
            }
            _ => vec![ack.clone()],
        }
    }

    /// The ledger that a takeover with the fault begins with.
    pub fn plant_ledger(&self, ledger: &mut SlotLedger) {
        if self.plant != PlantedFault::TakeoverReturnsFloat {
            return;
        }
        for account in &mut ledger.accounts {
            for counters in &mut account.former {
                counters.float = TokenCount::ZERO;
            }
        }
    }

    /// The message that a holder with the fault sends.
    pub fn plant_send(&mut self, message: WitnessMessage) -> WitnessMessage {
        let WitnessMessage::Handover(mut handover) = message else {
            return message;
        };
        if self.plant == PlantedFault::HandoverWithoutPause {
            self.strip_unanswered(&mut handover.ledger);
        }
        if self.plant == PlantedFault::RenameBeforeLedger {
            self.name_at_once(&handover);
        }
        WitnessMessage::Handover(handover)
    }

    /// Leaves out reservations that nobody was told of yet, as a ledger
    /// copied before them would.
    fn strip_unanswered(&self, ledger: &mut SlotLedger) {
        let mut missing = TokenCount::ZERO;
        ledger.requests.retain(|entry| match &entry.state {
            RequestState::Reserved(held) if held.pool == TokenPool::Witnessed => {
                let is_told = self.is_granted(&entry.identity);
                if !is_told {
                    missing = missing.saturating_add(held.amount);
                }
                is_told
            }
            _ => true,
        });
        for account in &mut ledger.accounts {
            account.reserved = account.reserved.saturating_sub(missing);
        }
    }

    /// Writes the row that names the new witness without waiting for it.
    fn name_at_once(&mut self, handover: &LedgerHandover) {
        let ack = guavawell_core::budget::HandoverAck {
            stamp: handover.stamp.clone(),
            handover: handover.handover,
        };
        let holder = handover.stamp.holder.clone();
        let node = self
            .nodes
            .iter()
            .position(|node| node.life == holder)
            .expect("the sending instance");
        let body = crate::world::LetterBody::Witness(WitnessMessage::HandoverAck(ack));
        self.post(crate::world::Letter {
            node,
            life: holder,
            body,
        });
    }
}
