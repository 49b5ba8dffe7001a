//! The slots of this router, and the carrying out of what they want done.

use std::sync::Arc;

use arc_swap::ArcSwap;
use guavawell_core::budget::ChangeKey;
use guavawell_core::budget::FrozenReport;
use guavawell_core::budget::HolderEffect;
use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::HolderNote;
use guavawell_core::budget::HolderSettings;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::ReportKey;
use guavawell_core::budget::SlotHolder;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::SlotLedger;
use guavawell_core::budget::SlotRow;
use guavawell_core::budget::SlotWitness;
use guavawell_core::budget::TableFailure;
use guavawell_core::budget::TableIntent;
use guavawell_core::budget::WitnessEffect;
use guavawell_core::budget::WitnessEvent;
use guavawell_core::budget::WitnessMessage;
use guavawell_core::clock::ClockSpan;
use guavawell_core::id::BudgetId;
use guavawell_core::id::TokenCount;
use guavawell_core::id::ZoneId;
use guavawell_core::instance::MemberView;

use super::directory::SlotDirectory;
use super::link::PeerLink;
use super::loss::FailedAsks;
use super::seat::SlotSeat;
use super::table::SlotTable;
use crate::clock;
use crate::event::EventDraft;
use crate::event::EventLog;
use crate::journal::JournalDriver;
use crate::peer::PeerRequest;
use crate::task::TaskSpawner;

/// Times of the driver's own decisions.
#[derive(Clone, Debug)]
pub struct SlotTimes {
    /// Time between two looks at slots and witnesses.
    pub review_every: ClockSpan,
    /// Time between two steps of the holders' own clock work.
    pub tick_every: ClockSpan,
    /// Silence of a holder after which its witness takes over. It steers
    /// speed only: safety needs no clock.
    pub takeover_after: ClockSpan,
    /// How long holder and witness are both gone before the slot is begun
    /// anew, which freezes all that they were granted.
    pub seize_after: ClockSpan,
    /// Longest time that a router looks for a slot's holder for one ask.
    pub ask_wait: ClockSpan,
    /// Longest time that a caller's last frame waits for its charge.
    pub settle_wait: ClockSpan,
    /// Time between two reads of the zone's slot rows.
    pub refresh_every: ClockSpan,
}

impl Default for SlotTimes {
    fn default() -> Self {
        Self {
            review_every: ClockSpan::from_millis(200),
            tick_every: ClockSpan::from_millis(25),
            takeover_after: ClockSpan::from_millis(3_000),
            seize_after: ClockSpan::from_millis(10_000),
            ask_wait: ClockSpan::from_millis(2_500),
            settle_wait: ClockSpan::from_millis(5_000),
            refresh_every: ClockSpan::from_millis(2_000),
        }
    }
}

/// What a driver needs from the rest of the router.
pub struct SlotParts {
    /// This router's life.
    pub life: InstanceIncarnation,
    /// Its zone.
    pub zone: ZoneId,
    /// Zones near enough for a witness; empty means every other zone.
    pub witness_zones: Vec<ZoneId>,
    /// Whether a witness in the own zone is preferred.
    pub witness_near: bool,
    /// Number of shards, as the manifest says; zero before there is one.
    pub shards: Box<dyn Fn() -> u16 + Send + Sync>,
    /// The fleet as gossip knows it.
    pub members: Box<dyn Fn() -> Arc<MemberView> + Send + Sync>,
    /// The table.
    pub table: SlotTable,
    /// The way to other routers.
    pub link: PeerLink,
    /// The event log.
    pub events: EventLog,
    /// Where tasks run.
    pub tasks: TaskSpawner,
    /// The billing journal.
    pub journal: JournalDriver,
    /// Settings of the holders.
    pub holder: Arc<HolderSettings>,
    /// Times of the driver.
    pub times: SlotTimes,
}

/// The slots that this router holds or witnesses.
pub struct SlotDriver {
    pub(super) parts: SlotParts,
    pub(super) directory: SlotDirectory,
    pub(super) failures: FailedAsks,
    /// Seats sorted by slot.
    seats: ArcSwap<Vec<Arc<SlotSeat>>>,
}

impl SlotDriver {
    /// A driver that holds nothing yet.
    #[must_use]
    pub fn new(parts: SlotParts) -> Arc<Self> {
        Arc::new(Self {
            parts,
            directory: SlotDirectory::default(),
            failures: FailedAsks::default(),
            seats: ArcSwap::default(),
        })
    }

    /// The seat of a slot, if this router has one.
    pub(super) fn seat(&self, slot: &SlotId) -> Option<Arc<SlotSeat>> {
        let seats = self.seats.load();
        let place = seats.binary_search_by(|seat| seat.slot.cmp(slot)).ok()?;
        Some(Arc::clone(&seats[place]))
    }

    /// The seat of a slot, made if need be.
    pub(super) fn seat_or_new(&self, slot: &SlotId) -> Arc<SlotSeat> {
        if let Some(seat) = self.seat(slot) {
            return seat;
        }
        let retry = self.parts.holder.table_retry;
        let witness = SlotWitness::new(self.parts.life.clone(), slot.clone(), retry);
        let seat = Arc::new(SlotSeat::new(slot.clone(), witness));
        self.seats.rcu(|seats| {
            let mut seats = Vec::clone(seats);
            if let Err(place) = seats.binary_search_by(|other| other.slot.cmp(slot)) {
                seats.insert(place, Arc::clone(&seat));
            }
            seats
        });
        self.seat(slot).unwrap_or(seat)
    }

    /// Every seat, sorted by slot.
    pub(super) fn seats(&self) -> Arc<Vec<Arc<SlotSeat>>> {
        self.seats.load_full()
    }

    /// Slots held now.
    #[must_use]
    pub fn held(&self) -> Vec<SlotId> {
        let seats = self.seats();
        let held = seats.iter().filter(|seat| seat.is_held());
        held.map(|seat| seat.slot.clone()).collect()
    }

    /// How many slots are held now with a witness.
    #[must_use]
    pub fn witnessed(&self) -> usize {
        let seats = self.seats();
        let is_witnessed = |seat: &&Arc<SlotSeat>| {
            let state = seat.lock();
            let row = state.present().map(SlotHolder::row);
            row.is_some_and(|row| row.witness.is_some())
        };
        seats.iter().filter(is_witnessed).count()
    }

    /// Tells the holder of a seat an event and carries out what it wants.
    pub(super) fn tell(self: &Arc<Self>, seat: &Arc<SlotSeat>, event: HolderEvent) {
        let effects = seat.lock().tell(event, clock::now());
        self.carry_out(seat, effects.unwrap_or_default());
    }

    /// Tells the witness of a seat an event and carries out what it wants;
    /// the first message back to the holder, if any, is returned.
    pub(super) fn tell_witness(
        self: &Arc<Self>,
        seat: &Arc<SlotSeat>,
        event: WitnessEvent,
    ) -> Option<WitnessMessage> {
        let effects = seat.lock().witness(event, clock::now());
        let mut reply = None;
        for effect in effects {
            match effect {
                WitnessEffect::Send(_, message) => reply = Some(message),
                WitnessEffect::Table(intent) => self.spawn_witness_intent(seat, intent),
                WitnessEffect::Begin(row, ledger) => self.begin(seat, row, *ledger),
            }
        }
        reply
    }

    /// Begins to hold a slot that the table says is ours.
    pub(super) fn begin(self: &Arc<Self>, seat: &Arc<SlotSeat>, row: SlotRow, ledger: SlotLedger) {
        self.directory.learn(&seat.slot, &row);
        let mut event = EventDraft::new(if row.tenure == row.epoch && row.epoch.get() > 1 {
            "slot.taken_over"
        } else {
            "slot.acquired"
        });
        event = event.field("slot", &seat.slot).field("epoch", row.epoch);
        log::info!("slot {}: held from epoch {}", seat.slot, row.epoch);
        metrics::counter!("guavawell_slots_begun_total").increment(1);
        self.parts.events.emit(event);
        self.keep_again(&seat.slot, &ledger);
        let now = clock::now();
        let settings = Arc::clone(&self.parts.holder);
        let holder = SlotHolder::new(settings, seat.slot.clone(), row, ledger, now);
        let effects = seat.lock().begin(holder, now);
        self.carry_out(seat, effects);
    }

    /// Carries out what a holder wants done.
    pub(super) fn carry_out(self: &Arc<Self>, seat: &Arc<SlotSeat>, effects: Vec<HolderEffect>) {
        for effect in effects {
            match effect {
                // Answers were given under the seat's lock.
                HolderEffect::Answer(..) => {}
                HolderEffect::Send(life, message) => self.send(seat, life, message),
                HolderEffect::Table(intent) => self.spawn_intent(seat, intent),
                HolderEffect::AskHandBack { key, wanted, slots } => {
                    self.spawn_hand_back(seat, key, wanted, slots);
                }
                HolderEffect::HandSlot(life, ask) => {
                    let answer = (self.parts.link.call)(life.instance, PeerRequest::Takeover(ask));
                    self.parts.tasks.spawn(answer);
                }
                HolderEffect::GiveBack(ask) => self.release_later(seat.slot.clone(), ask),
                HolderEffect::GiveBackAt(former, ask) => {
                    self.release_at_former(&seat.slot, ask, former);
                }
                HolderEffect::AskSuccessor(successor, settle) => {
                    self.ask_successor(seat, successor, settle);
                }
                HolderEffect::Charged(notice) => self.keep_record(seat, *notice),
                HolderEffect::Note(note) => self.note(seat, &note),
            }
        }
    }

    fn send(
        self: &Arc<Self>,
        seat: &Arc<SlotSeat>,
        life: InstanceIncarnation,
        message: WitnessMessage,
    ) {
        let answer = (self.parts.link.call)(life.instance, PeerRequest::Witness(message));
        let driver = Arc::clone(self);
        let seat = Arc::clone(seat);
        let task = async move {
            // A lost message is sent again by the holder's own clock work.
            if let Ok(reply) = answer.await
                && let Some(message) = reply.into_witness()
            {
                driver.hear(&seat, message);
            }
        };
        self.parts.tasks.spawn(task);
    }

    /// Takes a witness's message to the holder.
    fn hear(self: &Arc<Self>, seat: &Arc<SlotSeat>, message: WitnessMessage) {
        let event = match message {
            WitnessMessage::Ack(ack) => HolderEvent::Ack(ack),
            WitnessMessage::Refusal(refusal) => HolderEvent::Refusal(refusal),
            WitnessMessage::HandoverAck(ack) => HolderEvent::HandoverAck(ack),
            WitnessMessage::Record(_) | WitnessMessage::Handover(_) => return,
        };
        self.tell(seat, event);
    }

    fn spawn_intent(self: &Arc<Self>, seat: &Arc<SlotSeat>, intent: TableIntent) {
        let driver = Arc::clone(self);
        let seat = Arc::clone(seat);
        let task = async move {
            if let Some(event) = driver.run_intent(intent).await {
                driver.tell(&seat, event);
            }
        };
        self.parts.tasks.spawn(task);
    }

    async fn run_intent(&self, intent: TableIntent) -> Option<HolderEvent> {
        let table = &self.parts.table;
        let event = match intent {
            TableIntent::WriteSlot {
                slot,
                expected,
                row,
            } => {
                let written = table.write_slot(&slot, expected.as_ref(), &row).await;
                if let Ok(row) = &written {
                    self.directory.learn(&slot, row);
                }
                HolderEvent::SlotRead(written)
            }
            TableIntent::ReadSlot { slot } => {
                let read = table.read_slot(&slot).await;
                match read {
                    Ok(None) => return None,
                    Ok(Some(row)) => {
                        self.directory.learn(&slot, &row);
                        HolderEvent::SlotRead(Ok(row))
                    }
                    Err(failure) => HolderEvent::SlotRead(Err(failure)),
                }
            }
            TableIntent::ChangeGrant { budget, change } => {
                let changed = table.change_grant(&budget, &change).await;
                metrics::counter!("guavawell_grant_changes_total").increment(1);
                HolderEvent::GrantChanged(ChangeKey::new(budget, &change), changed)
            }
            TableIntent::ReportFrozen { budget, report } => {
                let reported = table.report_frozen(&budget, &report).await;
                self.note_report(&budget, &report, reported);
                HolderEvent::FrozenReported(ReportKey::new(budget, &report), reported)
            }
        };
        Some(event)
    }

    /// Logs the table's answer to a former holder's late report.
    fn note_report(
        &self,
        budget: &BudgetId,
        report: &FrozenReport,
        outcome: Result<(), TableFailure>,
    ) {
        let draft = EventDraft::new("slot.late_report")
            .budget(budget)
            .field("slot", &report.slot)
            .field("tenure", report.tenure)
            .field("float_settled", report.float_settled)
            .field("answer", format!("{outcome:?}"));
        self.parts.events.emit(draft);
    }

    fn spawn_witness_intent(self: &Arc<Self>, seat: &Arc<SlotSeat>, intent: TableIntent) {
        let driver = Arc::clone(self);
        let seat = Arc::clone(seat);
        let task = async move {
            if let Some(HolderEvent::SlotRead(Ok(row))) = driver.run_intent(intent).await {
                driver.tell_witness(&seat, WitnessEvent::SlotRead(row));
            }
        };
        self.parts.tasks.spawn(task);
    }

    fn spawn_hand_back(
        self: &Arc<Self>,
        seat: &Arc<SlotSeat>,
        key: ChangeKey,
        wanted: TokenCount,
        slots: Vec<SlotId>,
    ) {
        let driver = Arc::clone(self);
        let seat = Arc::clone(seat);
        let task = async move {
            driver.ask_hand_back(&key.budget, wanted, &slots).await;
            driver.tell(&seat, HolderEvent::HandBackDone(key));
        };
        self.parts.tasks.spawn(task);
    }

    fn note(&self, seat: &SlotSeat, note: &HolderNote) {
        let kind = note.to_string();
        metrics::counter!("guavawell_slot_notes_total", "kind" => kind.clone()).increment(1);
        let mut event = EventDraft::new(&kind).field("slot", &seat.slot);
        match note {
            HolderNote::TenureClosed(budget)
            | HolderNote::Exhausted(budget)
            | HolderNote::FloatReported(budget)
            | HolderNote::AccountMismatch(budget) => event = event.budget(budget),
            HolderNote::WitnessChanged(witness) => {
                event = self.name_witness(event, witness.as_ref());
                log::info!("slot {}: {kind}", seat.slot);
            }
            _ => log::info!("slot {}: {kind}", seat.slot),
        }
        if let HolderNote::AccountMismatch(budget) = note {
            log::error!(
                "slot {}: account of {budget} contradicts the table",
                seat.slot
            );
        }
        self.parts.events.emit(event);
    }

    /// Adds the witness and its zone as gossip knows it; nothing for none.
    fn name_witness(&self, event: EventDraft, witness: Option<&InstanceIncarnation>) -> EventDraft {
        let Some(life) = witness else {
            return event;
        };
        let event = event.field("witness", &life.instance);
        match (self.parts.members)().find(&life.instance) {
            Some(member) => event.field("witness_zone", &member.zone),
            None => event,
        }
    }
}
