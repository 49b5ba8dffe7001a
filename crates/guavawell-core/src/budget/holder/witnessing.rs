//! The holder towards its witness: batches, acknowledgements, and the change
//! of witness.

use super::HolderEffect;
use super::HolderNote;
use super::HolderPhase;
use super::SlotHolder;
use crate::budget::intent::TableIntent;
use crate::budget::record::HandoverAck;
use crate::budget::record::LedgerEntry;
use crate::budget::record::LedgerHandover;
use crate::budget::record::RecordStamp;
use crate::budget::record::RefusalReason;
use crate::budget::record::WitnessAck;
use crate::budget::record::WitnessMessage;
use crate::budget::record::WitnessRecord;
use crate::budget::record::WitnessRefusal;
use crate::budget::slot::InstanceIncarnation;
use crate::budget::slot::SlotRow;
use crate::clock::ClockTime;

/// A batch on its way to the witness.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct SentBatch {
    pub(super) record: WitnessRecord,
    first_sent: ClockTime,
    last_sent: ClockTime,
}

/// A new witness on its way in.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct WitnessChange {
    /// The row that will name it.
    row: SlotRow,
    /// The handover; `None` where no witness comes in.
    handover: Option<LedgerHandover>,
    /// Whether the new witness holds the ledger, so that the table may name
    /// it. From then on only the table decides.
    is_handed: bool,
    since: ClockTime,
    last_sent: ClockTime,
}

impl SlotHolder {
    /// Sends what is queued, unless a batch is on its way; a batch without
    /// entries where the witness's word alone is waited for.
    pub(super) fn flush(&mut self, now: ClockTime, effects: &mut Vec<HolderEffect>) {
        while matches!(self.phase, HolderPhase::Serving)
            && self.batch.is_none()
            && !(self.outbox.is_empty() && self.waits.is_empty())
        {
            let entries = std::mem::take(&mut self.outbox);
            self.sequence += 1;
            match self.stamp() {
                None => self.finish_waits(self.sequence, now, effects),
                Some(stamp) => self.send_batch(stamp, entries, now, effects),
            }
        }
    }

    fn send_batch(
        &mut self,
        stamp: RecordStamp,
        entries: Vec<LedgerEntry>,
        now: ClockTime,
        effects: &mut Vec<HolderEffect>,
    ) {
        let record = WitnessRecord {
            stamp,
            sequence: self.sequence,
            entries,
        };
        send_record(&record, effects);
        self.batch = Some(SentBatch {
            record,
            first_sent: now,
            last_sent: now,
        });
    }

    /// The stamp of the present epoch; `None` without a witness.
    fn stamp(&self) -> Option<RecordStamp> {
        self.stamp_of(&self.row)
    }

    fn stamp_of(&self, row: &SlotRow) -> Option<RecordStamp> {
        Some(RecordStamp {
            slot: self.slot.clone(),
            epoch: row.epoch,
            holder: row.holder.clone(),
            witness: row.witness.clone()?,
        })
    }

    pub(super) fn take_ack(
        &mut self,
        ack: &WitnessAck,
        now: ClockTime,
        effects: &mut Vec<HolderEffect>,
    ) {
        if !matches!(self.phase, HolderPhase::Serving) || self.stamp().as_ref() != Some(&ack.stamp)
        {
            return;
        }
        let Some(batch) = &self.batch else {
            return;
        };
        if ack.sequence != batch.record.sequence {
            return;
        }
        self.batch = None;
        if self.silent {
            self.silent = false;
            effects.push(HolderEffect::Note(HolderNote::WitnessBack));
        }
        self.finish_waits(ack.sequence, now, effects);
    }

    pub(super) fn take_refusal(
        &mut self,
        refusal: &WitnessRefusal,
        effects: &mut Vec<HolderEffect>,
    ) {
        let is_present = matches!(self.phase, HolderPhase::Serving)
            && self.stamp().as_ref() == Some(&refusal.stamp);
        if !is_present || refusal.reason == RefusalReason::Gap {
            return;
        }
        if !self.silent {
            effects.push(HolderEffect::Note(HolderNote::WitnessRefused));
        }
        self.deposed = refusal.reason == RefusalReason::Stopped;
        self.give_up_waits(effects);
        self.read_slot(effects);
    }

    pub(super) fn read_slot(&self, effects: &mut Vec<HolderEffect>) {
        let slot = self.slot.clone();
        effects.push(HolderEffect::Table(TableIntent::ReadSlot { slot }));
    }

    /// Starts to bring in a new witness, or none.
    ///
    /// From here on nothing is acknowledged under the former epoch. Once the
    /// table was asked to name the new witness, only its answer ends the
    /// change.
    pub(super) fn change_witness(
        &mut self,
        witness: Option<InstanceIncarnation>,
        now: ClockTime,
        effects: &mut Vec<HolderEffect>,
    ) {
        let is_open = match &self.phase {
            HolderPhase::Serving => true,
            HolderPhase::Changing(change) => !change.is_handed,
            HolderPhase::Retired(_) => false,
        };
        if !is_open || (witness.is_none() && self.row.witness.is_none()) {
            return;
        }
        self.handovers += 1;
        let row = self.row.with_witness(witness);
        let handover = self.stamp_of(&row).map(|stamp| LedgerHandover {
            stamp,
            handover: self.handovers,
            ledger: self.ledger.clone(),
        });
        self.outbox.clear();
        self.batch = None;
        self.sequence = 0;
        for wait in &mut self.waits {
            wait.batch = 0;
        }
        self.phase = HolderPhase::Changing(Box::new(WitnessChange {
            is_handed: handover.is_none(),
            row,
            handover,
            since: now,
            last_sent: now,
        }));
        self.send_witness_change(effects);
    }

    fn send_witness_change(&self, effects: &mut Vec<HolderEffect>) {
        let HolderPhase::Changing(change) = &self.phase else {
            return;
        };
        match &change.handover {
            Some(handover) if !change.is_handed => {
                let to = handover.stamp.witness.clone();
                let message = WitnessMessage::Handover(handover.clone());
                effects.push(HolderEffect::Send(to, message));
            }
            _ => effects.push(HolderEffect::Table(TableIntent::WriteSlot {
                slot: self.slot.clone(),
                expected: Some(self.row.clone()),
                row: change.row.clone(),
            })),
        }
    }

    pub(super) fn take_handover_ack(
        &mut self,
        ack: &HandoverAck,
        now: ClockTime,
        effects: &mut Vec<HolderEffect>,
    ) {
        let HolderPhase::Changing(change) = &mut self.phase else {
            return;
        };
        let Some(handover) = &change.handover else {
            return;
        };
        let is_answer = handover.stamp == ack.stamp && handover.handover == ack.handover;
        if !is_answer || change.is_handed {
            return;
        }
        change.is_handed = true;
        change.last_sent = now;
        self.send_witness_change(effects);
    }

    pub(super) fn take_row(
        &mut self,
        row: SlotRow,
        now: ClockTime,
        effects: &mut Vec<HolderEffect>,
    ) {
        if self.is_retired() || row.epoch <= self.row.epoch {
            return;
        }
        match &self.phase {
            HolderPhase::Changing(change) if change.is_handed && change.row == row => {
                let witness = row.witness.clone();
                self.row = row;
                self.phase = HolderPhase::Serving;
                self.silent = false;
                self.deposed = false;
                effects.push(HolderEffect::Note(HolderNote::WitnessChanged(witness)));
                self.finish_waits(0, now, effects);
                self.review_all(now, effects);
            }
            _ => self.retire(row, now, effects),
        }
    }

    /// Sends again what was not answered, and notices a silent witness.
    pub(super) fn resend(&mut self, now: ClockTime, effects: &mut Vec<HolderEffect>) {
        let every = self.settings.resend_every;
        if let Some(batch) = &mut self.batch {
            if now.since(batch.last_sent) >= every {
                batch.last_sent = now;
                send_record(&batch.record, effects);
            }
            let is_late = now.since(batch.first_sent) >= self.settings.witness_timeout;
            if is_late && !self.silent {
                effects.push(HolderEffect::Note(HolderNote::WitnessSilent));
                self.give_up_waits(effects);
            }
        }
        if let HolderPhase::Changing(change) = &mut self.phase {
            let is_late = now.since(change.since) >= self.settings.witness_timeout;
            if now.since(change.last_sent) >= every {
                change.last_sent = now;
                self.send_witness_change(effects);
            }
            if is_late {
                self.give_up_waits(effects);
            }
        }
    }
}

fn send_record(record: &WitnessRecord, effects: &mut Vec<HolderEffect>) {
    let to = record.stamp.witness.clone();
    let message = WitnessMessage::Record(record.clone());
    effects.push(HolderEffect::Send(to, message));
}
