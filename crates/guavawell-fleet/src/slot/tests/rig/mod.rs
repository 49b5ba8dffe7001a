//! Two routers' seats of one slot and the rows of the table, driven by hand.
//!
//! Messages and table answers arrive at once, unless a test holds the outcome
//! of grant changes back. Effects are carried out as the driver does it: the
//! outcome of a table operation is told to the seat that asked for it.

mod table;

use std::sync::Arc;

use guavawell_core::budget::AskId;
use guavawell_core::budget::BudgetRow;
use guavawell_core::budget::HandBackAnswer;
use guavawell_core::budget::HandBackRequest;
use guavawell_core::budget::HolderAnswer;
use guavawell_core::budget::HolderEffect;
use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::HolderSettings;
use guavawell_core::budget::ReleaseAnswer;
use guavawell_core::budget::ReleaseRequest;
use guavawell_core::budget::ReserveAnswer;
use guavawell_core::budget::ReserveGrant;
use guavawell_core::budget::ReserveRequest;
use guavawell_core::budget::SealRequest;
use guavawell_core::budget::SettleAnswer;
use guavawell_core::budget::SettleRequest;
use guavawell_core::budget::SlotHolder;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::SlotLedger;
use guavawell_core::budget::SlotRow;
use guavawell_core::budget::SlotWitness;
use guavawell_core::budget::TableIntent;
use guavawell_core::budget::TokenPool;
use guavawell_core::budget::WitnessEffect;
use guavawell_core::budget::WitnessEvent;
use guavawell_core::budget::WitnessMessage;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::AttemptId;
use guavawell_core::id::BudgetId;
use guavawell_core::id::InstanceId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::id::TokenCount;
use guavawell_core::request::RequestDigest;
use guavawell_core::request::RequestIdentity;

use super::life;
use crate::slot::seat::SlotSeat;
use table::HeldChange;

pub use table::LateAnswer;

/// The routers, by their place.
pub const NAMES: [&str; 2] = ["first", "second"];

/// What is reserved for each request.
const AMOUNT: u64 = 100;

/// A request that is sealed and never run.
const SEALED: u32 = 99;

/// Settled use is reported after this span.
const REPORT_AFTER: ClockSpan = ClockSpan::from_millis(300);

/// Ticks in which a holder empties its floats and hands its slot over.
const MAX_LEAVE_TICKS: usize = 8;

/// Tries of a charge before it counts as never recorded: twelve seconds.
const MAX_SETTLES: usize = 40;

/// Routers asked in one try of a charge.
const MAX_HOPS: usize = 8;

/// Two routers' seats of one slot, and the table.
pub struct SeatPair {
    seats: [SlotSeat; 2],
    settings: Arc<HolderSettings>,
    pub slot_row: SlotRow,
    pub budget: BudgetRow,
    now: ClockTime,
    /// Whether changes of grants wait at the table.
    pub is_holding: bool,
    pub held: Vec<HeldChange>,
    /// Whether messages between the routers are lost.
    pub is_parted: bool,
    /// Whether holders hear of charges by their grants that stand elsewhere.
    pub is_giving_back: bool,
}

impl SeatPair {
    /// The first router holds the slot, the second one witnesses it.
    pub fn start(settings: &HolderSettings) -> Self {
        let slot: SlotId = "tln-a/0".parse().unwrap();
        let seats = NAMES.map(|name| {
            let retry = ClockSpan::from_millis(500);
            let witness = SlotWitness::new(life(name), slot.clone(), retry);
            SlotSeat::new(slot.clone(), witness)
        });
        let slot_row = SlotRow::first(life(NAMES[0]));
        let settings = HolderSettings {
            report_after: REPORT_AFTER,
            ..settings.clone()
        };
        let base = TokenCount::new(100_000);
        let mut pair = Self {
            seats,
            settings: Arc::new(settings),
            budget: BudgetRow::new("org-0".parse().unwrap(), base, ManifestVersion::new(1)),
            slot_row: slot_row.clone(),
            now: ClockTime::from_millis(1_000),
            is_holding: false,
            held: Vec::new(),
            is_parted: false,
            is_giving_back: true,
        };
        let ledger = SlotLedger::new(slot_row.tenure);
        assert!(pair.seats[0].lock().claim_found(&slot_row));
        pair.begin(0, slot_row, ledger);
        pair.tell(0, HolderEvent::ChangeWitness(Some(life(NAMES[1]))));
        assert_eq!(pair.slot_row.witness, Some(life(NAMES[1])));
        pair
    }

    fn begin(&mut self, router: usize, row: SlotRow, ledger: SlotLedger) {
        let settings = Arc::clone(&self.settings);
        let slot = self.seats[router].slot.clone();
        let holder = SlotHolder::new(settings, slot, row, ledger, self.now);
        let effects = self.seats[router].lock().begin(holder, self.now);
        self.carry_out(router, effects);
    }

    /// Lets time pass at a router.
    pub fn tick(&mut self, router: usize) {
        let effects = self.seats[router].lock().tick(self.now);
        self.carry_out(router, effects);
    }

    /// Lets the time for a report pass, and the router's clock work follow.
    pub fn pass_report(&mut self, router: usize) {
        self.now = self.now + REPORT_AFTER;
        self.tick(router);
    }

    /// The witness takes over a slot whose holder seems to be gone.
    pub fn take_over(&mut self, router: usize) {
        self.tell_witness(router, WitnessEvent::TakeOver(self.slot_row.clone()));
        assert_eq!(self.slot_row.holder, life(NAMES[router]));
    }

    /// A router begins the slot anew, as if holder and witness were lost.
    pub fn seize(&mut self, router: usize) {
        let row = self.slot_row.with_holder(life(NAMES[router]));
        self.slot_row = row.clone();
        assert!(self.seats[router].lock().claim_found(&row));
        let ledger = SlotLedger::after_loss(row.tenure);
        self.begin(router, row, ledger);
    }

    /// A holder names the other router its witness, which the heir has to be
    /// before the slot is handed over.
    pub fn entrust(&mut self, router: usize) {
        self.name_witness(router);
        assert_eq!(self.slot_row.witness, Some(life(NAMES[1 - router])));
    }

    /// A holder begins to bring the other router in as its witness.
    pub fn name_witness(&mut self, router: usize) {
        let other = life(NAMES[1 - router]);
        self.tell(router, HolderEvent::ChangeWitness(Some(other)));
    }

    /// A holder hands the slot to its witness in good order.
    pub fn hand_over(&mut self, router: usize) {
        self.tell(router, HolderEvent::Leave);
        for _ in 0..MAX_LEAVE_TICKS {
            self.tick(router);
        }
        assert_eq!(self.slot_row.holder, life(NAMES[1 - router]));
    }

    /// Reserves a request at a router.
    pub fn reserve(&mut self, router: usize, request: u32) -> ReserveGrant {
        match self.try_reserve(router, request) {
            Some(ReserveAnswer::Granted(grant)) => grant,
            other => panic!("expected a grant, found {other:?}"),
        }
    }

    /// Asks a router to reserve a request; `None` if it has not answered.
    pub fn try_reserve(&mut self, router: usize, request: u32) -> Option<ReserveAnswer> {
        let ask = ReserveRequest {
            identity: identity(request),
            attempt: AttemptId::new(u128::from(request)),
            budget: budget_id(),
            amount: TokenCount::new(AMOUNT),
            router: life("caller"),
            idempotent: true,
            digest: RequestDigest::default(),
        };
        match self.ask(router, |id| HolderEvent::Reserve(id, ask)) {
            Some(HolderAnswer::Reserve(answer)) => Some(answer),
            None => None,
            other => panic!("expected the answer to a reservation, found {other:?}"),
        }
    }

    /// Gives a request back at a router; `None` if it has not answered.
    pub fn release(&mut self, router: usize, request: u32) -> Option<ReleaseAnswer> {
        let ask = ReleaseRequest {
            identity: identity(request),
            attempt: AttemptId::new(u128::from(request)),
            before: None,
        };
        match self.ask(router, |id| HolderEvent::Release(id, ask)) {
            Some(HolderAnswer::Release(answer)) => Some(answer),
            None => None,
            other => panic!("expected the answer to a release, found {other:?}"),
        }
    }

    /// Charges a request at a router; `None` if it has not answered.
    pub fn settle(
        &mut self,
        router: usize,
        request: u32,
        grant: &ReserveGrant,
        actual: u64,
    ) -> Option<SettleAnswer> {
        let ask = SettleRequest {
            identity: identity(request),
            attempt: AttemptId::new(u128::from(request)),
            grant: grant.clone(),
            actual: TokenCount::new(actual),
            backend: None,
        };
        match self.ask(router, |id| HolderEvent::Settle(id, ask)) {
            Some(HolderAnswer::Settle(answer)) => Some(answer),
            None => None,
            other => panic!("expected the answer to a charge, found {other:?}"),
        }
    }

    /// Charges a request until it is charged for good, as the driver does: the
    /// granting router first if its float pays, then whoever holds the slot,
    /// following hints; the last answer. A charge that the float paid stands
    /// where the slot's holder does not know it.
    pub fn settle_through(
        &mut self,
        request: u32,
        grant: &ReserveGrant,
        actual: u64,
    ) -> Option<SettleAnswer> {
        let granter = place(&grant.holder.instance);
        let mut answer = None;
        for _ in 0..MAX_SETTLES {
            let holder = place(&self.slot_row.holder.instance);
            let mut paid = None;
            if grant.pool == TokenPool::Float && holder != granter {
                paid = self.settle(granter, request, grant, actual);
            }
            answer = self.settle_hops(holder, request, grant, actual);
            if answer == Some(SettleAnswer::Unknown)
                && let Some(SettleAnswer::Settled { .. }) = paid
            {
                answer = paid;
            }
            if matches!(answer, Some(SettleAnswer::Settled { .. })) {
                return answer;
            }
            self.pass_report(0);
            self.pass_report(1);
        }
        answer
    }

    fn settle_hops(
        &mut self,
        first: usize,
        request: u32,
        grant: &ReserveGrant,
        actual: u64,
    ) -> Option<SettleAnswer> {
        let mut next = first;
        let mut answer = None;
        for _ in 0..MAX_HOPS {
            answer = self.settle(next, request, grant, actual);
            match &answer {
                Some(SettleAnswer::NotHolder {
                    holder: Some(holder),
                }) => {
                    next = place(&holder.instance);
                }
                _ => return answer,
            }
        }
        answer
    }

    /// Runs a request at a router: reserved, and charged for good.
    pub fn run(&mut self, router: usize, request: u32, actual: u64) {
        let grant = self.reserve(router, request);
        let answer = self.settle(router, request, &grant, actual);
        assert_eq!(answer, Some(charged(actual)));
    }

    /// Hands tokens back to the budget for another zone; the tokens given.
    pub fn hand_back(&mut self, router: usize, tokens: u64) -> TokenCount {
        let ask = HandBackRequest {
            slot: self.seats[router].slot.clone(),
            budget: budget_id(),
            wanted: TokenCount::new(tokens),
        };
        match self.ask(router, |id| HolderEvent::HandBack(id, ask)) {
            Some(HolderAnswer::HandBack(HandBackAnswer::Given { tokens })) => tokens,
            other => panic!("expected tokens, found {other:?}"),
        }
    }

    /// Tokens that a router's present holder may still spend.
    pub fn free(&self, router: usize) -> TokenCount {
        let state = self.seats[router].lock();
        let holder = state.present().expect("the router holds the slot");
        holder.free_tokens(&budget_id())
    }

    /// Whether a router's present holder has a request reserved.
    pub fn is_reserved(&self, router: usize, request: u32) -> bool {
        let state = self.seats[router].lock();
        let holder = state.present().expect("the router holds the slot");
        let mut reserved = holder.ledger().reserved_attempts();
        let identity = identity(request);
        reserved.any(|(held, _)| *held == identity)
    }

    /// Whether a router has holders that wait to report.
    pub fn owes_reports(&self, router: usize) -> bool {
        self.seats[router].owes_reports()
    }

    /// Open tokens of the slot's grant in the table.
    pub fn open(&self) -> TokenCount {
        let grant = self.budget.grant(&self.seats[0].slot);
        grant.map(|grant| grant.open).unwrap_or_default()
    }

    /// Seals a request while the routers are parted, and lets the wait for the
    /// witness pass: the holder finds it silent.
    pub fn part(&mut self, router: usize) {
        self.is_parted = true;
        let seal = SealRequest {
            identity: identity(SEALED),
        };
        let answer = self.ask(router, |id| HolderEvent::Seal(id, seal));
        assert_eq!(answer, None, "it waits for the witness");
        self.pass_report(router);
    }

    fn ask(
        &mut self,
        router: usize,
        event: impl FnOnce(AskId) -> HolderEvent,
    ) -> Option<HolderAnswer> {
        let asked = self.seats[router]
            .lock()
            .ask(|id| Some(event(id)), self.now);
        let (effects, receiver) = asked.expect("the router has held the slot");
        self.carry_out(router, effects);
        receiver.try_recv().ok()
    }

    /// Tells a router's holder an event, as the driver does.
    pub fn tell(&mut self, router: usize, event: HolderEvent) {
        let effects = self.seats[router].lock().tell(event, self.now);
        self.carry_out(router, effects.unwrap_or_default());
    }

    fn carry_out(&mut self, router: usize, effects: Vec<HolderEffect>) {
        for effect in effects {
            match effect {
                HolderEffect::Send(to, message) => self.send(router, place(&to.instance), message),
                HolderEffect::Table(intent) => self.run_intent(router, intent),
                HolderEffect::HandSlot(to, _) => {
                    let row = self.slot_row.clone();
                    self.tell_witness(place(&to.instance), WitnessEvent::TakeOver(row));
                }
                HolderEffect::AskSuccessor(successor, settle) => {
                    let asked = HolderEvent::Unheld(settle.clone());
                    let answer = self.ask(place(&successor.instance), |id| {
                        HolderEvent::Settle(id, settle)
                    });
                    if answer == Some(HolderAnswer::Settle(SettleAnswer::Unknown)) {
                        self.tell(router, asked);
                    }
                }
                HolderEffect::GiveBackAt(former, release) if self.is_giving_back => {
                    self.ask(place(&former.instance), |id| {
                        HolderEvent::Release(id, release)
                    });
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: WitnessMessage) {
        let event = match message {
            WitnessMessage::Record(record) => WitnessEvent::Record(record),
            WitnessMessage::Handover(handover) => WitnessEvent::Handover(handover),
            _ => return,
        };
        if self.is_parted {
            return;
        }
        for reply in self.tell_witness(to, event) {
            let event = match reply {
                WitnessMessage::Ack(ack) => HolderEvent::Ack(ack),
                WitnessMessage::Refusal(refusal) => HolderEvent::Refusal(refusal),
                WitnessMessage::HandoverAck(ack) => HolderEvent::HandoverAck(ack),
                _ => continue,
            };
            self.tell(from, event);
        }
    }

    /// Tells a router's witness an event; its replies to the holder.
    fn tell_witness(&mut self, router: usize, event: WitnessEvent) -> Vec<WitnessMessage> {
        let effects = self.seats[router].lock().witness(event, self.now);
        let mut replies = Vec::new();
        for effect in effects {
            match effect {
                WitnessEffect::Send(_, message) => replies.push(message),
                WitnessEffect::Table(TableIntent::WriteSlot { expected, row, .. }) => {
                    let row = self.write_slot(expected.as_ref(), row);
                    self.tell_witness(router, WitnessEvent::SlotRead(row));
                }
                WitnessEffect::Table(_) => {}
                WitnessEffect::Begin(row, ledger) => self.begin(router, row, *ledger),
            }
        }
        replies
    }

    /// A holder learns that another router holds the slot.
    pub fn learn_row(&mut self, router: usize) {
        let row = self.slot_row.clone();
        self.tell(router, HolderEvent::SlotRead(Ok(row)));
    }

    /// Lets reports and retries pass until nothing more can change.
    pub fn quiesce(&mut self) {
        self.is_holding = false;
        for _ in 0..40 {
            self.pass_report(0);
            self.pass_report(1);
        }
    }

    /// Tokens of the budget that stay frozen.
    pub fn frozen(&self) -> TokenCount {
        self.budget.frozen.iter().map(|frozen| frozen.tokens).sum()
    }
}

/// The answer to a charge that stands.
pub fn charged(tokens: u64) -> SettleAnswer {
    SettleAnswer::Settled {
        charged: TokenCount::new(tokens),
    }
}

fn place(instance: &InstanceId) -> usize {
    let found = NAMES.iter().position(|name| *name == instance.as_str());
    found.expect("a router of the pair")
}

fn identity(request: u32) -> RequestIdentity {
    RequestIdentity::from_caller("org-0".parse().unwrap(), &format!("r{request}")).unwrap()
}

fn budget_id() -> BudgetId {
    "budget-0".parse().unwrap()
}
