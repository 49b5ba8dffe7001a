//! One slot in memory: the real holder, the real witness and the real rows,
//! with every message answered at once.

use std::collections::VecDeque;
use std::sync::Arc;

use guavawell_core::budget::AskId;
use guavawell_core::budget::BudgetRow;
use guavawell_core::budget::ChangeKey;
use guavawell_core::budget::GrantView;
use guavawell_core::budget::HolderAnswer;
use guavawell_core::budget::HolderEffect;
use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::HolderSettings;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::ReleaseRequest;
use guavawell_core::budget::ReportKey;
use guavawell_core::budget::ReserveAnswer;
use guavawell_core::budget::ReserveGrant;
use guavawell_core::budget::ReserveRequest;
use guavawell_core::budget::RowChange;
use guavawell_core::budget::SettleRequest;
use guavawell_core::budget::SlotHolder;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::SlotLedger;
use guavawell_core::budget::SlotRow;
use guavawell_core::budget::SlotWitness;
use guavawell_core::budget::TableIntent;
use guavawell_core::budget::WitnessEffect;
use guavawell_core::budget::WitnessEvent;
use guavawell_core::budget::WitnessMessage;
use guavawell_core::budget::WitnessRecord;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::AttemptId;
use guavawell_core::id::BudgetId;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::id::ShardId;
use guavawell_core::id::TokenCount;
use guavawell_core::request::RequestDigest;
use guavawell_core::request::RequestIdentity;

/// Budgets of one organisation at letter 1's size (700,000 over 24,000).
const BUDGETS_EACH: usize = 29;
/// Odd, so that numbers scatter without repeats.
const SCATTER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Reserved by each request: a prompt and an output limit.
pub const WORST: TokenCount = TokenCount::new(1_200);
/// Charged to each request: 980,000 tokens a second over 3,100 requests.
pub const ACTUAL: TokenCount = TokenCount::new(316);
/// Paid for each budget.
const PAID: TokenCount = TokenCount::new(1_000_000_000_000);

/// What the rig was asked for.
#[derive(Clone, Copy, Debug, Default)]
pub struct RigCounts {
    /// Changes of budget rows written.
    pub changes: usize,
    /// Reads of the slot row.
    pub slot_reads: usize,
    /// Batches sent to the witness.
    pub batches: usize,
}

/// One slot.
pub struct SlotRig {
    /// The holder.
    pub holder: SlotHolder,
    /// Its witness.
    pub witness: SlotWitness,
    /// The present time.
    pub now: ClockTime,
    /// What was asked for so far.
    pub counts: RigCounts,
    /// Batches sent, where they are kept.
    pub kept: Option<Vec<WitnessRecord>>,
    /// Whether the table answers; otherwise changes stay under way.
    pub is_table_up: bool,
    /// Answers to reservations since the last request.
    pub answers: usize,
    rows: Vec<BudgetRow>,
    grant: Option<ReserveGrant>,
    asks: u64,
}

/// The life of the rig's holder (0) or witness (1).
pub fn life(number: usize) -> InstanceIncarnation {
    InstanceIncarnation {
        instance: format!("bern-halle-{number}").parse().expect("a good id"),
        incarnation: IncarnationId::new(1),
    }
}

/// The rig's slot.
pub fn slot() -> SlotId {
    SlotId {
        zone: "bern-halle".parse().expect("a good id"),
        shard: ShardId::new(0),
    }
}

/// The id of a budget.
pub fn budget(number: usize) -> BudgetId {
    format!("budget-{number:07}").parse().expect("a good id")
}

/// The identity of a request on a budget; ids come in scattered order.
pub fn identity(request: u64, budget: usize) -> RequestIdentity {
    let organisation = format!("organisation-{:05}", budget / BUDGETS_EACH);
    RequestIdentity {
        organisation: organisation.parse().expect("a good id"),
        request: format!("{:016x}", request.wrapping_mul(SCATTER))
            .parse()
            .expect("a good id"),
        minted: false,
    }
}

/// A reservation as a router asks for it.
pub fn reserve_ask(request: u64, number: usize) -> ReserveRequest {
    ReserveRequest {
        identity: identity(request, number),
        attempt: AttemptId::new(u128::from(request)),
        budget: budget(number),
        amount: WORST,
        router: life(0),
        idempotent: true,
        digest: RequestDigest::default(),
    }
}

impl SlotRig {
    /// A slot with `budgets` budgets in the table, without a witness.
    pub fn new(budgets: usize, settings: HolderSettings) -> Self {
        let first = SlotRow::first(life(0));
        let now = ClockTime::from_millis(1_000_000);
        let ledger = SlotLedger::new(first.tenure);
        let row = |number: usize| {
            let organisation = identity(0, number).organisation;
            BudgetRow::new(organisation, PAID, ManifestVersion::new(1))
        };
        Self {
            holder: SlotHolder::new(Arc::new(settings), slot(), first, ledger, now),
            witness: SlotWitness::new(life(1), slot(), ClockSpan::from_millis(500)),
            now,
            counts: RigCounts::default(),
            kept: None,
            is_table_up: true,
            answers: 0,
            rows: (0..budgets).map(row).collect(),
            grant: None,
            asks: 0,
        }
    }

    /// Names the witness.
    pub fn add_witness(&mut self) {
        self.tell(HolderEvent::ChangeWitness(Some(life(1))));
        assert!(self.holder.row().witness.is_some());
    }

    /// Names a witness for the holder that took over, whose ledger it takes.
    pub fn add_witness_again(&mut self) {
        let former = life(0);
        self.witness = SlotWitness::new(former.clone(), slot(), ClockSpan::from_millis(500));
        self.tell(HolderEvent::ChangeWitness(Some(former)));
        assert!(self.holder.row().witness.is_some());
    }

    /// Opens every budget: a reservation that is given back.
    pub fn open_all(&mut self) {
        for number in 0..self.rows.len() {
            let ask = reserve_ask(number as u64, number);
            let release = ReleaseRequest {
                identity: ask.identity.clone(),
                attempt: ask.attempt,
                before: None,
            };
            let id = self.next_ask();
            self.tell(HolderEvent::Reserve(id, ask));
            let id = self.next_ask();
            self.tell(HolderEvent::Release(id, release));
        }
    }

    /// One request: reserve, then settle.
    pub fn request(&mut self, request: u64, number: usize) {
        let ask = reserve_ask(request, number);
        let (identity, attempt) = (ask.identity.clone(), ask.attempt);
        let id = self.next_ask();
        self.grant = None;
        self.tell(HolderEvent::Reserve(id, ask));
        let grant = self.grant.take().expect("the budget covers the request");
        let id = self.next_ask();
        let settle = SettleRequest {
            identity,
            attempt,
            grant,
            actual: ACTUAL,
            backend: Some("engine-0-1".parse().expect("a good id")),
        };
        self.tell(HolderEvent::Settle(id, settle));
    }

    /// Lets time pass.
    pub fn tick(&mut self, span: ClockSpan) {
        self.now = self.now + span;
        self.tell(HolderEvent::Tick);
    }

    /// Lets the witness take the slot over and goes on with its new holder.
    pub fn take_over(&mut self, settings: HolderSettings) {
        let mut effects = Vec::new();
        let row = self.holder.row().clone();
        let next = row.with_holder(life(1));
        for event in [WitnessEvent::TakeOver(row), WitnessEvent::SlotRead(next)] {
            self.witness.handle(event, self.now, &mut effects);
        }
        let begin = effects.into_iter().find_map(|effect| match effect {
            WitnessEffect::Begin(row, ledger) => Some((row, ledger)),
            _ => None,
        });
        let (row, ledger) = begin.expect("the witness holds the ledger");
        self.holder = SlotHolder::new(Arc::new(settings), slot(), row, *ledger, self.now);
    }

    /// Tells the holder and carries out what it wants, to the end.
    pub fn tell(&mut self, event: HolderEvent) {
        let mut effects = Vec::new();
        self.holder.handle(event, self.now, &mut effects);
        let mut queue = VecDeque::from(effects);
        while let Some(effect) = queue.pop_front() {
            if let Some(event) = self.carry_out(effect) {
                let mut effects = Vec::new();
                self.holder.handle(event, self.now, &mut effects);
                queue.extend(effects);
            }
        }
    }

    /// Rows that hold a charge.
    pub fn settled_rows(&self) -> usize {
        let is_charged = |row: &&BudgetRow| row.settled > TokenCount::ZERO;
        self.rows.iter().filter(is_charged).count()
    }

    /// Rows whose grant is still of a tenure before the present holder's.
    pub fn open_former(&self) -> usize {
        let tenure = self.holder.row().tenure;
        let is_former = |row: &&BudgetRow| row.grants.iter().any(|grant| grant.tenure < tenure);
        self.rows.iter().filter(is_former).count()
    }

    /// More tokens than the slot was granted of a budget.
    pub fn more_than_open(&self, number: usize) -> TokenCount {
        let open = self.rows[number].grants.iter().map(|grant| grant.open);
        open.sum::<TokenCount>().saturating_add(TokenCount::new(1))
    }

    /// A fresh number for an ask.
    pub const fn next_ask(&mut self) -> AskId {
        self.asks += 1;
        AskId::new(self.asks)
    }

    fn carry_out(&mut self, effect: HolderEffect) -> Option<HolderEvent> {
        match effect {
            HolderEffect::Answer(_, HolderAnswer::Reserve(answer)) => {
                self.answers += 1;
                if let ReserveAnswer::Granted(grant) = answer {
                    self.grant = Some(grant);
                }
                None
            }
            HolderEffect::Send(_, message) => self.send(message),
            HolderEffect::Table(intent) => self.write(intent),
            HolderEffect::AskHandBack { key, .. } => Some(HolderEvent::HandBackDone(key)),
            _ => None,
        }
    }

    fn send(&mut self, message: WitnessMessage) -> Option<HolderEvent> {
        let event = match message {
            WitnessMessage::Record(record) => {
                self.counts.batches += 1;
                if let Some(kept) = &mut self.kept {
                    kept.push(record.clone());
                }
                WitnessEvent::Record(record)
            }
            WitnessMessage::Handover(handover) => WitnessEvent::Handover(handover),
            _ => return None,
        };
        let mut effects = Vec::new();
        self.witness.handle(event, self.now, &mut effects);
        effects.into_iter().find_map(|effect| match effect {
            WitnessEffect::Send(_, WitnessMessage::Ack(ack)) => Some(HolderEvent::Ack(ack)),
            WitnessEffect::Send(_, WitnessMessage::HandoverAck(ack)) => {
                Some(HolderEvent::HandoverAck(ack))
            }
            _ => None,
        })
    }

    fn write(&mut self, intent: TableIntent) -> Option<HolderEvent> {
        match intent {
            TableIntent::WriteSlot { row, .. } => Some(HolderEvent::SlotRead(Ok(row))),
            TableIntent::ReadSlot { .. } => {
                self.counts.slot_reads += 1;
                Some(HolderEvent::SlotRead(Ok(self.holder.row().clone())))
            }
            TableIntent::ChangeGrant { budget, change } => {
                self.counts.changes += 1;
                if !self.is_table_up {
                    return None;
                }
                let number = budget.as_str()["budget-".len()..].parse::<usize>();
                let row = &mut self.rows[number.expect("a budget of the rig")];
                if let RowChange::Write(changed) = row.change_grant(&change).expect("it fits") {
                    *row = changed;
                }
                let view: GrantView = row.view(&change.slot);
                let key = ChangeKey::new(budget, &change);
                Some(HolderEvent::GrantChanged(key, Ok(view)))
            }
            TableIntent::ReportFrozen { budget, report } => {
                let key = ReportKey::new(budget, &report);
                Some(HolderEvent::FrozenReported(key, Ok(())))
            }
        }
    }
}
