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
use guavawell_core::budget::ReservedAttempt;
use guavawell_core::budget::SettleRequest;
use guavawell_core::budget::SlotHolder;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::SlotRow;
use guavawell_core::budget::SlotWitness;
use guavawell_core::budget::TokenPool;
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

    /// Puts a new holder in. The one that it replaces retires, as it may not
    /// have heard that it lost the slot, and stays until its floats are
    /// reported.
    #[must_use]
    pub(super) fn begin(&mut self, holder: SlotHolder, now: ClockTime) -> Vec<HolderEffect> {
        self.change = None;
        let row = holder.row().clone();
        let mut effects = Vec::new();
        if let Some(mut former) = self.holder.replace(holder) {
            former.handle(HolderEvent::SlotRead(Ok(row)), now, &mut effects);
            self.former.push(former);
        }
        self.former.retain(|former| !former.is_finished());
        self.deliver(effects)
    }

    /// Tells the holder that an event is for; `None` if it is not, or no
    /// longer, at this router.
    pub(super) fn tell(&mut self, event: HolderEvent, now: ClockTime) -> Option<Vec<HolderEffect>> {
        self.count_at_former(&event, now);
        let mut effects = Vec::new();
        let holder = self.concerned(&event)?;
        holder.handle(event, now, &mut effects);
        Some(self.deliver(effects))
    }

    /// Lets a former holder count a charge to the witnessed part of its
    /// tenure, which the present holder records and answers: the former one's
    /// report needs it where its whole grant is frozen. An attempt that a later
    /// tenure reserved too is charged there alone.
    fn count_at_former(&mut self, event: &HolderEvent, now: ClockTime) {
        let HolderEvent::Settle(_, settle) = event else {
            return;
        };
        if settle.grant.pool == TokenPool::Float || self.is_charged_later(settle) {
            return;
        }
        let is_granter = |former: &&mut SlotHolder| {
            former.ledger().tenure == settle.grant.tenure
                && is_held(former, &settle.identity, settle.attempt)
        };
        if let Some(former) = self.former.iter_mut().find(is_granter) {
            let mut unused = Vec::new();
            former.handle(HolderEvent::Unheld(settle.clone()), now, &mut unused);
        }
    }

    /// Whether the seat's last holder charges an attempt to a reservation of a
    /// later tenure than its grant's, or has charged it.
    fn is_charged_later(&self, settle: &SettleRequest) -> bool {
        let ledger = self.holder.as_ref().map(SlotHolder::ledger);
        match ledger.and_then(|ledger| ledger.request(&settle.identity)) {
            Some(RequestState::Reserved(held)) => {
                held.attempt == settle.attempt && held.tenure > settle.grant.tenure
            }
            Some(RequestState::Settled(charge)) => charge.attempt == settle.attempt,
            _ => false,
        }
    }

    /// Lets former holders give back what they have reserved of the witnessed
    /// part for attempts whose charge stands at the present one.
    fn give_back_charged(&mut self) {
        let Some(holder) = self.holder.as_ref().filter(|holder| !holder.is_retired()) else {
            return;
        };
        for former in &mut self.former {
            let is_charged = |(identity, held): &(&RequestIdentity, &ReservedAttempt)| {
                held.pool == TokenPool::Witnessed && holder.has_charged(identity, held.attempt)
            };
            let charged = former.ledger().reserved_attempts().filter(is_charged);
            let charged: Vec<(RequestIdentity, AttemptId)> = charged
                .map(|(identity, held)| (identity.clone(), held.attempt))
                .collect();
            for (identity, attempt) in charged {
                former.give_back_superseded(&identity, attempt);
            }
        }
    }

    /// The holder that an event is for: whoever asked for an outcome, a former
    /// one for charges to its float and for releases of what it holds,
    /// otherwise the present one.
    fn concerned(&mut self, event: &HolderEvent) -> Option<&mut SlotHolder> {
        if let Some(tenure) = event.outcome_tenure() {
            let mut holders = self.former.iter_mut().chain(&mut self.holder);
            return holders.find(|holder| holder.ledger().tenure == tenure);
        }
        let is_former = |holder: &SlotHolder| match event {
            HolderEvent::Settle(_, settle) => is_paid_by_float(holder, settle),
            HolderEvent::Release(_, release) => is_held(holder, &release.identity, release.attempt),
            _ => false,
        };
        let former = self.former.iter().position(is_former);
        match former {
            Some(place) => Some(&mut self.former[place]),
            None => self.holder.as_mut(),
        }
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
        self.give_back_charged();
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

/// Whether the float of this holder's tenure pays for the attempt, or has paid.
fn is_paid_by_float(holder: &SlotHolder, settle: &SettleRequest) -> bool {
    let ledger = holder.ledger();
    // A former holder's row is its successor's; its ledger is its own.
    if settle.grant.pool != TokenPool::Float || settle.grant.tenure != ledger.tenure {
        return false;
    }
    match ledger.request(&settle.identity) {
        Some(RequestState::Reserved(held)) => {
            held.attempt == settle.attempt && held.pool == TokenPool::Float
        }
        Some(RequestState::Settled(charge)) => charge.pool == TokenPool::Float,
        _ => false,
    }
}

/// Whether the attempt may be running, as far as this holder knows.
fn is_held(holder: &SlotHolder, identity: &RequestIdentity, attempt: AttemptId) -> bool {
    let state = holder.ledger().request(identity);
    matches!(state, Some(RequestState::Reserved(held)) if held.attempt == attempt)
}
