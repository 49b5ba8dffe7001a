//! One slot at this router: its holder or its witness, and who waits.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use guavawell_core::budget::AskId;
use guavawell_core::budget::HolderAnswer;
use guavawell_core::budget::HolderEffect;
use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::RequestState;
use guavawell_core::budget::SlotHolder;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::SlotRow;
use guavawell_core::budget::SlotWitness;
use guavawell_core::budget::WitnessEffect;
use guavawell_core::budget::WitnessEvent;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::AttemptId;
use guavawell_core::id::SlotEpoch;
use guavawell_core::request::RequestIdentity;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;

/// A slot that this router holds or witnesses.
#[derive(Debug)]
pub(super) struct SlotSeat {
    pub(super) slot: SlotId,
    state: Mutex<SeatState>,
}

/// What a seat's lock guards; it is held for one step of a state machine.
#[derive(Debug)]
pub(super) struct SeatState {
    /// The present holder, if this router is it.
    pub(super) holder: Option<SlotHolder>,
    /// Former holders of this life that have floats to report.
    pub(super) former: Vec<SlotHolder>,
    pub(super) witness: SlotWitness,
    /// The holder whose records came last.
    pub(super) witnessed: Option<InstanceIncarnation>,
    /// Since when that holder seems to be gone.
    gone_since: Option<ClockTime>,
    /// The last change of witness that was asked for, and when.
    change: Option<WitnessChoice>,
    /// The highest tenure claimed here; none is begun twice.
    begun: SlotEpoch,
    /// Who waits for an answer, sorted by ask.
    waiting: Vec<AskWaiter>,
    next_ask: u64,
}

/// A holder of a seat, as the event log tells of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct SeatHolder {
    pub(super) tenure: SlotEpoch,
    pub(super) is_retired: bool,
}

impl SeatHolder {
    fn of(holder: &SlotHolder) -> Self {
        Self {
            tenure: holder.ledger().tenure,
            is_retired: holder.is_retired(),
        }
    }
}

/// A witness that was named, and when.
#[derive(Debug)]
struct WitnessChoice {
    witness: Option<InstanceIncarnation>,
    at: ClockTime,
}

/// How long a change of witness may take before another one is named.
const CHANGE_PATIENCE: ClockSpan = ClockSpan::from_millis(1_500);

#[derive(Debug)]
struct AskWaiter {
    ask: AskId,
    answer: Sender<HolderAnswer>,
}

impl SlotSeat {
    pub(super) fn new(slot: SlotId, witness: SlotWitness) -> Self {
        Self {
            slot,
            state: Mutex::new(SeatState {
                holder: None,
                former: Vec::new(),
                witness,
                witnessed: None,
                gone_since: None,
                change: None,
                begun: SlotEpoch::new(0),
                waiting: Vec::new(),
                next_ask: 0,
            }),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, SeatState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this router holds the slot now.
    pub(super) fn is_held(&self) -> bool {
        self.lock().present().is_some()
    }

    /// Whether a holder that retired here has yet to report its budgets.
    ///
    /// A process that ends before leaves tokens frozen that its successor
    /// cannot count: so ended 4 of 48 graceful shutdowns under load.
    pub(super) fn owes_reports(&self) -> bool {
        let state = self.lock();
        let mut retired = state.former.iter().chain(&state.holder);
        retired.any(|holder| holder.is_retired() && !holder.is_finished())
    }
}

impl SeatState {
    /// The holder, unless it has retired.
    pub(super) fn present(&self) -> Option<&SlotHolder> {
        self.holder.as_ref().filter(|holder| !holder.is_retired())
    }

    /// Claims a tenure that the table gives to this life; true at most once.
    ///
    /// The claim is made under the lock that found the tenure new, before its
    /// holder is put in: two holders of one tenure would spend one grant twice.
    /// While the witness's own takeover is on its way the tenure is its to claim.
    pub(super) fn claim_found(&mut self, row: &SlotRow) -> bool {
        !self.witness.is_taking_over() && self.claim(row.tenure)
    }

    fn claim(&mut self, tenure: SlotEpoch) -> bool {
        let is_new = tenure > self.begun;
        self.begun = self.begun.max(tenure);
        is_new
    }

    /// Whether a witness may be named now: the same one not again at once.
    pub(super) fn may_change(
        &mut self,
        witness: Option<&InstanceIncarnation>,
        now: ClockTime,
    ) -> bool {
        let is_recent = self
            .change
            .as_ref()
            .is_some_and(|change| now.since(change.at) < CHANGE_PATIENCE);
        let is_same = self
            .change
            .as_ref()
            .is_some_and(|change| change.witness.as_ref() == witness);
        if is_recent && is_same {
            return false;
        }
        self.change = Some(WitnessChoice {
            witness: witness.cloned(),
            at: now,
        });
        true
    }

    /// Whether the change of witness under way has taken too long.
    pub(super) fn change_is_stale(&self, now: ClockTime) -> bool {
        self.change
            .as_ref()
            .is_none_or(|change| now.since(change.at) >= CHANGE_PATIENCE)
    }

    /// How long the witnessed holder has been gone, told whether it is now.
    pub(super) fn holder_gone(&mut self, is_gone: bool, now: ClockTime) -> Option<ClockSpan> {
        if !is_gone {
            self.gone_since = None;
            return None;
        }
        let since = *self.gone_since.get_or_insert(now);
        Some(now.since(since))
    }

    /// Puts a new holder in; a former one stays until its floats are reported.
    /// Returns what is known of the former one that stays.
    pub(super) fn begin(&mut self, holder: SlotHolder) -> Option<SeatHolder> {
        self.change = None;
        let former = self.holder.replace(holder)?;
        if former.is_finished() {
            return None;
        }
        let seen = SeatHolder::of(&former);
        self.former.push(former);
        Some(seen)
    }

    /// The holder that a charge under a grant of `tenure` goes to.
    pub(super) fn charged_holder(&self, tenure: SlotEpoch) -> Option<SeatHolder> {
        let is_former = |holder: &&SlotHolder| holder.ledger().tenure == tenure;
        let former = self.former.iter().find(is_former);
        former.or(self.holder.as_ref()).map(SeatHolder::of)
    }

    /// Tells the holder an event; `None` if this router holds no such slot.
    pub(super) fn tell(&mut self, event: HolderEvent, now: ClockTime) -> Option<Vec<HolderEffect>> {
        let mut effects = Vec::new();
        let holder = self.concerned(&event)?;
        holder.handle(event, now, &mut effects);
        Some(self.deliver(effects))
    }

    /// The holder that an event is for: a former one for what was granted or
    /// froze in its tenure, otherwise the present one.
    fn concerned(&mut self, event: &HolderEvent) -> Option<&mut SlotHolder> {
        let is_former = |holder: &SlotHolder| match event {
            // A former holder's row is its successor's; its ledger is its own.
            HolderEvent::Settle(_, settle) => holder.ledger().tenure == settle.grant.tenure,
            HolderEvent::Release(_, release) => is_held(holder, &release.identity, release.attempt),
            HolderEvent::FrozenReported(..) => true,
            _ => false,
        };
        let former = self.former.iter().position(is_former);
        match former {
            Some(place) => Some(&mut self.former[place]),
            None => self.holder.as_mut(),
        }
    }

    /// The holder that is told of an answer to a late report.
    pub(super) fn reported_holder(&self) -> Option<SeatHolder> {
        let told = self.former.first().or(self.holder.as_ref());
        told.map(SeatHolder::of)
    }

    /// Tells the holder an ask; the receiver gets its answer.
    pub(super) fn ask(
        &mut self,
        event: impl FnOnce(AskId) -> Option<HolderEvent>,
        now: ClockTime,
    ) -> Option<(Vec<HolderEffect>, Receiver<HolderAnswer>)> {
        self.holder.as_ref()?;
        self.next_ask += 1;
        let ask = AskId::new(self.next_ask);
        let event = event(ask)?;
        let (sender, receiver) = channel::bounded(1);
        self.waiting.push(AskWaiter {
            ask,
            answer: sender,
        });
        let effects = self.tell(event, now)?;
        Some((effects, receiver))
    }

    /// Lets time pass for every holder of this seat.
    pub(super) fn tick(&mut self, now: ClockTime) -> Vec<HolderEffect> {
        let mut effects = Vec::new();
        if let Some(holder) = &mut self.holder {
            holder.handle(HolderEvent::Tick, now, &mut effects);
        }
        for former in &mut self.former {
            former.handle(HolderEvent::Tick, now, &mut effects);
        }
        self.former.retain(|former| !former.is_finished());
        self.deliver(effects)
    }

    /// Tells the witness an event; a tenure that it begins is claimed at once.
    pub(super) fn witness(&mut self, event: WitnessEvent, now: ClockTime) -> Vec<WitnessEffect> {
        let mut effects = Vec::new();
        self.witness.handle(event, now, &mut effects);
        effects.retain(|effect| match effect {
            WitnessEffect::Begin(row, _) => self.claim(row.tenure),
            _ => true,
        });
        effects
    }

    /// Answers whoever waits and leaves the other effects.
    fn deliver(&mut self, effects: Vec<HolderEffect>) -> Vec<HolderEffect> {
        let mut rest = Vec::with_capacity(effects.len());
        for effect in effects {
            match effect {
                HolderEffect::Answer(ask, answer) => self.answer(ask, answer),
                other => rest.push(other),
            }
        }
        rest
    }

    fn answer(&mut self, ask: AskId, answer: HolderAnswer) {
        if let Ok(place) = self.waiting.binary_search_by_key(&ask, |waiter| waiter.ask) {
            let waiter = self.waiting.remove(place);
            // The asker may have given up; the holder's state stands all the same.
            let _ = waiter.answer.try_send(answer);
        }
    }
}

/// Whether the attempt may be running, as far as this holder knows.
fn is_held(holder: &SlotHolder, identity: &RequestIdentity, attempt: AttemptId) -> bool {
    let state = holder.ledger().request(identity);
    matches!(state, Some(RequestState::Reserved(held)) if held.attempt == attempt)
}
