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
use super::slot::InstanceLife;
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
    Send(InstanceLife, WitnessMessage),
    /// Carry out against the table, then tell the row.
    Table(TableIntent),
    /// The table names this instance as the holder: begin a
    /// [`SlotHolder`](super::SlotHolder) with this row and ledger.
    Begin(SlotRow, Box<SlotLedger>),
}

/// One ledger that a holder entrusted to this witness.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct EntrustedLedger {
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
    life: InstanceLife,
    slot: SlotId,
    retry: ClockSpan,
    /// Ledgers by epoch: the one that the table names, and those that it may
    /// name soon.
    ledgers: Vec<EntrustedLedger>,
    takeover: Option<PendingTakeover>,
    /// The highest epoch that the table is known to have named. A ledger of
    /// this epoch or before may have been given up, so none is taken in: a
    /// late handover would bring a stopped witness back to life.
    named: SlotEpoch,
}

impl SlotWitness {
    /// A witness without a ledger; `retry` is the time between two tries of
    /// a takeover whose answer is missing.
    ///
    /// The instance keeps it for its whole life, also while it has no ledger:
    /// what it gave up must not come back.
    #[must_use]
    pub const fn new(life: InstanceLife, slot: SlotId, retry: ClockSpan) -> Self {
        Self {
            life,
            slot,
            retry,
            ledgers: Vec::new(),
            takeover: None,
            named: SlotEpoch::new(0),
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
            WitnessEvent::Record(record) => self.take_record(&record, effects),
            WitnessEvent::Handover(handover) => self.take_handover(handover, effects),
            WitnessEvent::TakeOver(row) => self.take_over(&row, now, effects),
            WitnessEvent::SlotRead(row) => self.take_row(&row, effects),
            WitnessEvent::Tick => self.tick(now, effects),
        }
    }

    /// Whether it keeps a ledger.
    #[must_use]
    pub const fn has_ledger(&self) -> bool {
        !self.ledgers.is_empty()
    }

    /// Whether it has stopped in order to take the slot over.
    #[must_use]
    pub const fn is_taking_over(&self) -> bool {
        self.takeover.is_some()
    }

    fn take_record(&mut self, record: &WitnessRecord, effects: &mut Vec<WitnessEffect>) {
        let stamp = record.stamp.clone();
        let found = self
            .ledgers
            .iter()
            .position(|entrusted| entrusted.stamp == stamp);
        let Some(place) = found.filter(|_| stamp.witness == self.life) else {
            return refuse(stamp, RefusalReason::UnknownStamp, effects);
        };
        let entrusted = &mut self.ledgers[place];
        if entrusted.is_stopped {
            return refuse(stamp, RefusalReason::Stopped, effects);
        }
        if record.sequence > entrusted.sequence + 1 {
            return refuse(stamp, RefusalReason::Gap, effects);
        }
        if record.sequence == entrusted.sequence + 1 {
            entrusted.sequence = record.sequence;
            for entry in &record.entries {
                entrusted.ledger.apply(entry);
            }
        }
        let ack = WitnessAck {
            sequence: entrusted.sequence,
            stamp: stamp.clone(),
        };
        self.forget_before(&stamp);
        effects.push(WitnessEffect::Send(stamp.holder, WitnessMessage::Ack(ack)));
    }

    /// A record under an epoch proves that the table named it: ledgers of
    /// former epochs are of no use any more.
    fn forget_before(&mut self, stamp: &RecordStamp) {
        self.named = self.named.max(stamp.epoch);
        self.ledgers
            .retain(|entrusted| entrusted.stamp.epoch >= stamp.epoch);
    }

    fn take_handover(&mut self, handover: LedgerHandover, effects: &mut Vec<WitnessEffect>) {
        let stamp = handover.stamp;
        if stamp.witness != self.life {
            return;
        }
        let known = self
            .ledgers
            .iter()
            .position(|entrusted| entrusted.stamp == stamp);
        match known {
            Some(place) if self.ledgers[place].handover > handover.handover => return,
            Some(place) if self.ledgers[place].handover == handover.handover => {}
            _ if stamp.epoch <= self.named => return,
            _ => {
                self.ledgers.retain(|entrusted| entrusted.stamp != stamp);
                self.ledgers.push(EntrustedLedger {
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
        let named = self
            .ledgers
            .iter_mut()
            .find(|entrusted| is_named(&entrusted.stamp, row));
        let Some(entrusted) = named else {
            return;
        };
        entrusted.is_stopped = true;
        self.takeover = Some(PendingTakeover {
            expected: row.clone(),
            row: row.with_holder(self.life.clone()),
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

    fn take_row(&mut self, row: &SlotRow, effects: &mut Vec<WitnessEffect>) {
        self.named = self.named.max(row.epoch);
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
        self.ledgers.retain(|entrusted| {
            entrusted.stamp.epoch > row.epoch || is_named(&entrusted.stamp, row)
        });
    }

    fn begin(&mut self, ended: &SlotRow, row: &SlotRow, effects: &mut Vec<WitnessEffect>) {
        let found = self
            .ledgers
            .iter()
            .position(|entrusted| is_named(&entrusted.stamp, ended));
        if let Some(place) = found {
            let mut ledger = self.ledgers.remove(place).ledger;
            ledger.begin_tenure(row.tenure);
            effects.push(WitnessEffect::Begin(row.clone(), Box::new(ledger)));
        }
    }

    fn tick(&mut self, now: ClockTime, effects: &mut Vec<WitnessEffect>) {
        let Some(takeover) = &mut self.takeover else {
            return;
        };
        if now.since(takeover.sent_at) >= self.retry {
            takeover.sent_at = now;
            self.send_takeover(effects);
        }
    }
}

fn is_named(stamp: &RecordStamp, row: &SlotRow) -> bool {
    stamp.epoch == row.epoch
        && stamp.holder == row.holder
        && row.witness.as_ref() == Some(&stamp.witness)
}

fn refuse(stamp: RecordStamp, reason: RefusalReason, effects: &mut Vec<WitnessEffect>) {
    let holder = stamp.holder.clone();
    let message = WitnessMessage::Refusal(WitnessRefusal { stamp, reason });
    effects.push(WitnessEffect::Send(holder, message));
}
