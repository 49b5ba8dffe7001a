//! The witness of a slot: keeps a replica of the holder's ledger and takes the slot
//! over when the holder fails or leaves.
//!
//! A witness keeps its replicas in memory only. After a restart it has a new
//! incarnation and no replica, so it refuses records. Once it has stopped in order
//! to take over, it never acknowledges records of that epoch again, whatever the
//! table answers, because a write whose response was lost may take effect later.

use super::intent::TableIntent;
use super::ledger::SlotLedger;
use super::record::HandoverAck;
use super::record::LedgerHandover;
use super::record::RecordStamp;
use super::record::RefusalReason;
use super::record::WitnessAck;
use super::record::WitnessMessage;
use super::record::WitnessRecord;
use super::record::WitnessRefusal;
use super::slot::InstanceIncarnation;
use super::slot::SlotId;
use super::slot::SlotRow;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::id::SlotEpoch;

/// Input to a witness.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum WitnessEvent {
    /// The holder sent a batch of entries.
    Record(WitnessRecord),
    /// A holder sent its whole ledger.
    Handover(LedgerHandover),
    /// Take the slot over; contains the slot row as just read from the table.
    TakeOver(SlotRow),
    /// The slot row after [`TableIntent::WriteSlot`] or [`TableIntent::ReadSlot`].
    SlotRead(SlotRow),
    /// Time has passed.
    Tick,
}

/// An action that the driver has to perform for a witness.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum WitnessEffect {
    /// Send a message to the holder; it may be lost.
    Send(InstanceIncarnation, WitnessMessage),
    /// Perform a table operation, then report the row as [`WitnessEvent::SlotRead`].
    Table(TableIntent),
    /// The slot row names this instance as the holder: start a
    /// [`SlotHolder`](super::SlotHolder) with this row and ledger.
    Begin(SlotRow, Box<SlotLedger>),
}

/// A replica of a holder's ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LedgerReplica {
    stamp: RecordStamp,
    handover: u64,
    sequence: u64,
    ledger: SlotLedger,
    /// Whether the witness has stopped acknowledging records in order to take over.
    /// Never reset.
    is_stopped: bool,
}

/// A takeover whose outcome is unknown as yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingTakeover {
    expected: SlotRow,
    row: SlotRow,
    sent_at: ClockTime,
}

/// The witness of one slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SlotWitness {
    incarnation: InstanceIncarnation,
    slot: SlotId,
    retry_interval: ClockSpan,
    /// The replica for the current slot row, and those for rows that the holder is
    /// about to write.
    replicas: Vec<LedgerReplica>,
    takeover: Option<PendingTakeover>,
    /// The highest epoch known to have been in the slot row. New replicas of this
    /// epoch or an earlier one are not accepted: this witness may have stopped and
    /// dropped that replica before, and after a late handover it would acknowledge
    /// records again.
    latest_epoch: SlotEpoch,
}

impl SlotWitness {
    /// Creates a witness without a replica. `retry_interval` is the time after which
    /// an unanswered takeover is sent again.
    ///
    /// The instance must keep the witness until it stops, even while it has no
    /// replica: a new one would accept late handovers of replicas that were dropped.
    #[must_use]
    pub const fn new(
        incarnation: InstanceIncarnation,
        slot: SlotId,
        retry_interval: ClockSpan,
    ) -> Self {
        Self {
            incarnation,
            slot,
            retry_interval,
            replicas: Vec::new(),
            takeover: None,
            latest_epoch: SlotEpoch::new(0),
        }
    }

    /// Handles an event and appends the resulting actions to `effects`.
    pub fn handle(
        &mut self,
        event: WitnessEvent,
        now: ClockTime,
        effects: &mut Vec<WitnessEffect>,
    ) {
        match event {
            WitnessEvent::Record(record) => self.apply_record(&record, effects),
            WitnessEvent::Handover(handover) => self.accept_handover(handover, effects),
            WitnessEvent::TakeOver(row) => self.take_over(&row, now, effects),
            WitnessEvent::SlotRead(row) => self.apply_row(&row, effects),
            WitnessEvent::Tick => self.tick(now, effects),
        }
    }

    /// Whether it has a replica of a ledger.
    #[must_use]
    pub const fn has_ledger(&self) -> bool {
        !self.replicas.is_empty()
    }

    /// Whether a takeover is in progress.
    #[must_use]
    pub const fn is_taking_over(&self) -> bool {
        self.takeover.is_some()
    }

    fn apply_record(&mut self, record: &WitnessRecord, effects: &mut Vec<WitnessEffect>) {
        let stamp = record.stamp.clone();
        let found = self
            .replicas
            .iter()
            .position(|replica| replica.stamp == stamp);
        let Some(index) = found.filter(|_| stamp.witness == self.incarnation) else {
            return refuse(stamp, RefusalReason::UnknownStamp, effects);
        };
        let replica = &mut self.replicas[index];
        if replica.is_stopped {
            return refuse(stamp, RefusalReason::Stopped, effects);
        }
        if record.sequence > replica.sequence + 1 {
            return refuse(stamp, RefusalReason::Gap, effects);
        }
        if record.sequence == replica.sequence + 1 {
            replica.sequence = record.sequence;
            for entry in &record.entries {
                replica.ledger.apply(entry);
            }
        }
        let ack = WitnessAck {
            sequence: replica.sequence,
            stamp: stamp.clone(),
        };
        self.drop_older_replicas(&stamp);
        effects.push(WitnessEffect::Send(stamp.holder, WitnessMessage::Ack(ack)));
    }

    /// Drops the replicas of earlier epochs, which are obsolete: a record of an epoch
    /// proves that the slot row has reached that epoch.
    fn drop_older_replicas(&mut self, stamp: &RecordStamp) {
        self.latest_epoch = self.latest_epoch.max(stamp.epoch);
        self.replicas
            .retain(|replica| replica.stamp.epoch >= stamp.epoch);
    }

    fn accept_handover(&mut self, handover: LedgerHandover, effects: &mut Vec<WitnessEffect>) {
        let stamp = handover.stamp;
        if stamp.witness != self.incarnation {
            return;
        }
        let known = self
            .replicas
            .iter()
            .position(|replica| replica.stamp == stamp);
        match known {
            Some(index) if self.replicas[index].handover > handover.handover => return,
            Some(index) if self.replicas[index].handover == handover.handover => {}
            _ if stamp.epoch <= self.latest_epoch => return,
            _ => {
                self.replicas.retain(|replica| replica.stamp != stamp);
                self.replicas.push(LedgerReplica {
                    stamp: stamp.clone(),
                    handover: handover.handover,
                    sequence: 0,
                    ledger: handover.ledger,
                    is_stopped: false,
                });
            }
        }
        let ack = HandoverAck {
            stamp: stamp.clone(),
            handover: handover.handover,
        };
        let message = WitnessMessage::HandoverAck(ack);
        effects.push(WitnessEffect::Send(stamp.holder, message));
    }

    /// Stops acknowledging records, then writes a slot row that names this instance as
    /// the holder.
    fn take_over(&mut self, row: &SlotRow, now: ClockTime, effects: &mut Vec<WitnessEffect>) {
        let current = self
            .replicas
            .iter_mut()
            .find(|replica| matches_row(&replica.stamp, row));
        let Some(replica) = current else {
            return;
        };
        replica.is_stopped = true;
        self.takeover = Some(PendingTakeover {
            expected: row.clone(),
            row: row.with_holder(self.incarnation.clone()),
            sent_at: now,
        });
        self.send_takeover(effects);
    }

    fn send_takeover(&self, effects: &mut Vec<WitnessEffect>) {
        if let Some(takeover) = &self.takeover {
            effects.push(WitnessEffect::Table(TableIntent::WriteSlot {
                slot: self.slot.clone(),
                expected: Some(takeover.expected.clone()),
                row: takeover.row.clone(),
            }));
        }
    }

    fn apply_row(&mut self, row: &SlotRow, effects: &mut Vec<WitnessEffect>) {
        self.latest_epoch = self.latest_epoch.max(row.epoch);
        if let Some(takeover) = &self.takeover {
            if row.epoch <= takeover.expected.epoch {
                return;
            }
            if *row == takeover.row {
                let expected = takeover.expected.clone();
                self.begin(&expected, row, effects);
            }
            self.takeover = None;
        }
        self.replicas
            .retain(|replica| replica.stamp.epoch > row.epoch || matches_row(&replica.stamp, row));
    }

    fn begin(&mut self, ended: &SlotRow, row: &SlotRow, effects: &mut Vec<WitnessEffect>) {
        let found = self
            .replicas
            .iter()
            .position(|replica| matches_row(&replica.stamp, ended));
        if let Some(index) = found {
            let mut ledger = self.replicas.remove(index).ledger;
            ledger.end_tenure(ended.holder.clone());
            ledger.begin_tenure(row.tenure);
            effects.push(WitnessEffect::Begin(row.clone(), Box::new(ledger)));
        }
    }

    fn tick(&mut self, now: ClockTime, effects: &mut Vec<WitnessEffect>) {
        let Some(takeover) = &mut self.takeover else {
            return;
        };
        if now.since(takeover.sent_at) >= self.retry_interval {
            takeover.sent_at = now;
            self.send_takeover(effects);
        }
    }
}

/// Whether the epoch, holder and witness of a stamp are those of a slot row.
fn matches_row(stamp: &RecordStamp, row: &SlotRow) -> bool {
    stamp.epoch == row.epoch
        && stamp.holder == row.holder
        && row.witness.as_ref() == Some(&stamp.witness)
}

fn refuse(stamp: RecordStamp, reason: RefusalReason, effects: &mut Vec<WitnessEffect>) {
    let holder = stamp.holder.clone();
    let message = WitnessMessage::Refusal(WitnessRefusal { stamp, reason });
    effects.push(WitnessEffect::Send(holder, message));
}
