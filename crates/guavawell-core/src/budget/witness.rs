//! The witness of a slot: acknowledges its holder's records, and takes the
//! slot over when the holder is gone.
//!
//! A witness keeps no more than memory. One that restarted has a new
//! incarnation and no ledger, so it refuses. Once it stopped in order to take
//! over, it never acknowledges under that epoch again, whatever the table
//! answers: a write whose answer was lost may take effect late.

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

/// What a witness is told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum WitnessEvent {
    /// The holder sends a batch.
    Record(WitnessRecord),
    /// A holder hands its ledger over.
    Handover(LedgerHandover),
    /// Take the slot over; the row as read from the table just now.
    TakeOver(SlotRow),
    /// The slot row as it is after [`TableIntent::WriteSlot`] or
    /// [`TableIntent::ReadSlot`].
    SlotRead(SlotRow),
    /// Time passes.
    Tick,
}

/// What a witness wants done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum WitnessEffect {
    /// Send to the holder; loss is allowed.
    Send(InstanceIncarnation, WitnessMessage),
    /// Carry out against the table, then tell the row.
    Table(TableIntent),
    /// The table names this instance as the holder: begin a
    /// [`SlotHolder`](super::SlotHolder) with this row and ledger.
    Begin(SlotRow, Box<SlotLedger>),
}

/// One ledger that a holder entrusted to this witness.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LedgerReplica {
    stamp: RecordStamp,
    handover: u64,
    sequence: u64,
    ledger: SlotLedger,
    /// Once stopped, for good.
    is_stopped: bool,
}

/// A takeover whose outcome is not known yet.
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
    /// Ledgers by epoch: the one that the table names, and those that it may
    /// name soon.
    replicas: Vec<LedgerReplica>,
    takeover: Option<PendingTakeover>,
    /// The highest epoch that the table is known to have named. A ledger of
    /// this epoch or before may have been given up, so none is taken in: a
    /// late handover would bring a stopped witness back to life.
    latest_epoch: SlotEpoch,
}

impl SlotWitness {
    /// A witness without a ledger; `retry_interval` is the time between two tries of
    /// a takeover whose answer is missing.
    ///
    /// The instance keeps it for its whole life, also while it has no ledger:
    /// what it gave up must not come back.
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

    /// Takes an event and appends what is to be done.
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

    /// Whether it keeps a ledger.
    #[must_use]
    pub const fn has_ledger(&self) -> bool {
        !self.replicas.is_empty()
    }

    /// Whether it has stopped in order to take the slot over.
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

    /// A record under an epoch proves that the table named it: ledgers of
    /// former epochs are of no use any more.
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

    /// Stops first, then closes the epoch in the table.
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
