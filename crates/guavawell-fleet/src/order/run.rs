//! Carries one order out, step by step.
//!
//! Each step is one exchange with the table or the engine. The row is read
//! again before each send; a run that was paused between the two reads it once
//! more, since an engine may ignore the fencing number.

use std::net::SocketAddr;
use std::sync::Arc;

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::BackendId;
use guavawell_core::id::FenceNumber;
use guavawell_core::order::IssueEffect;
use guavawell_core::order::IssueEvent;
use guavawell_core::order::IssueOutcome;
use guavawell_core::order::IssuerId;
use guavawell_core::order::OrderIssuer;
use guavawell_core::order::OrderKind;
use guavawell_core::order::OrderRow;
use guavawell_core::order::OrderSettings;
use guavawell_core::order::SendResult;
use smol::Timer;

use super::table::OrderTable;
use crate::clock;
use crate::engine::EngineClient;
use crate::engine::EngineError;
use crate::engine::EngineOrder;
use crate::event::EventDraft;
use crate::event::EventLog;

/// Age at which a reading of the row no longer allows a send: well under the
/// silence after which gossip calls an issuer gone and another may take over.
const FRESH: ClockSpan = ClockSpan::from_millis(2_000);

/// Failed readings after which a run is put off.
const MAX_FAILURES: u32 = 10;

/// Status by which an engine refuses an old fencing number.
const STALE_STATUS: u16 = 409;

/// What every run uses.
pub struct OrderPorts {
    /// The table.
    pub table: OrderTable,
    /// The engines.
    pub engines: EngineClient,
    /// The event log.
    pub events: EventLog,
    /// The clock.
    pub now: Box<dyn Fn() -> ClockTime + Send + Sync>,
    /// How orders are issued.
    pub settings: OrderSettings,
}

/// The engine that an order goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderTarget {
    /// Its backend server.
    pub backend: BackendId,
    /// Its address.
    pub address: SocketAddr,
}

/// Exchanges of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrderCounts {
    /// Readings of the order's row.
    pub row_reads: u32,
    /// Writes of the order's row.
    pub row_writes: u32,
    /// Readings of the engine.
    pub engine_reads: u32,
    /// Sends to the engine.
    pub sends: u32,
}

/// What a step led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStep {
    /// There is more to do now.
    Going,
    /// There is more to do then.
    Waiting(ClockTime),
    /// Put off until then: no permit, or nobody to ask. The row stays open.
    PutOff(ClockTime),
    /// The order has ended.
    Ended(IssueOutcome),
}

/// One order on its way.
pub struct OrderRun {
    ports: Arc<OrderPorts>,
    target: OrderTarget,
    kind: OrderKind,
    issuer: OrderIssuer,
    next: IssueEffect,
    /// When the last reading of the row was begun.
    confirmed: ClockTime,
    failures: u32,
    counts: OrderCounts,
}

impl OrderRun {
    /// A new order; `take_over` allows to end another issuer's open order.
    #[must_use]
    pub fn new(
        ports: Arc<OrderPorts>,
        target: OrderTarget,
        issuer: IssuerId,
        kind: OrderKind,
        take_over: bool,
    ) -> Self {
        let settings = ports.settings.clone();
        Self {
            issuer: OrderIssuer::new(settings, issuer, kind.clone(), take_over),
            ports,
            target,
            kind,
            next: IssueEffect::ReadRow,
            confirmed: ClockTime::default(),
            failures: 0,
            counts: OrderCounts::default(),
        }
    }

    /// Exchanges so far.
    #[must_use]
    pub const fn counts(&self) -> OrderCounts {
        self.counts
    }

    /// What the next step does.
    #[must_use]
    pub const fn next(&self) -> &IssueEffect {
        &self.next
    }

    /// Carries the order out to its end, or until it is put off.
    pub async fn run(&mut self) -> RunStep {
        loop {
            match self.step().await {
                RunStep::Going => {}
                RunStep::Waiting(until) => {
                    let pause = until.since((self.ports.now)());
                    Timer::after(clock::duration(pause)).await;
                }
                end => return end,
            }
        }
    }

    /// Carries out one effect. Before the step after [`RunStep::Waiting`] the
    /// caller waits.
    pub async fn step(&mut self) -> RunStep {
        let event = match self.next.clone() {
            IssueEffect::ReadRow => self.read_row().await,
            IssueEffect::WriteRow(revision, row) => self.write_row(revision, &row).await,
            IssueEffect::ReadEngine => self.read_engine().await,
            IssueEffect::AcquirePermit => match self.take_permit().await {
                IssueEvent::Permit(Err(until)) => return RunStep::PutOff(until),
                event => event,
            },
            IssueEffect::Send(fence, kind) => self.send(fence, kind).await,
            IssueEffect::Wait(_) => IssueEvent::Woken,
            IssueEffect::Finish(outcome) => return RunStep::Ended(outcome),
        };
        let now = (self.ports.now)();
        if event == IssueEvent::Unreadable {
            self.failures += 1;
        }
        self.next = self.issuer.handle(event, now);
        match &self.next {
            IssueEffect::Wait(until) if self.failures > MAX_FAILURES => RunStep::PutOff(*until),
            IssueEffect::Wait(until) => RunStep::Waiting(*until),
            IssueEffect::Finish(outcome) => {
                let outcome = *outcome;
                self.finish(outcome).await;
                RunStep::Ended(outcome)
            }
            _ => RunStep::Going,
        }
    }

    async fn read_row(&mut self) -> IssueEvent {
        self.counts.row_reads += 1;
        self.confirmed = (self.ports.now)();
        match self.ports.table.read(&self.target.backend).await {
            Ok((row, revision)) => IssueEvent::Row(row, revision),
            Err(_) => IssueEvent::Unreadable,
        }
    }

    async fn write_row(&mut self, revision: u64, row: &OrderRow) -> IssueEvent {
        self.counts.row_writes += 1;
        metrics::counter!("guavawell_order_row_writes_total").increment(1);
        let table = &self.ports.table;
        match table.write(&self.target.backend, revision, row).await {
            Ok(result) => IssueEvent::Written(result),
            // It had no effect: a pause, then the row is read again.
            Err(_) => IssueEvent::Unreadable,
        }
    }

    async fn read_engine(&mut self) -> IssueEvent {
        self.counts.engine_reads += 1;
        match self.ports.engines.orders(self.target.address).await {
            Ok(reading) => IssueEvent::Engine(reading),
            Err(_) => IssueEvent::Unreadable,
        }
    }

    async fn take_permit(&self) -> IssueEvent {
        let now = (self.ports.now)();
        match self
            .ports
            .table
            .take_permit(&self.target.backend, now)
            .await
        {
            Ok(permit) => IssueEvent::Permit(permit),
            Err(_) => IssueEvent::Unreadable,
        }
    }

    async fn send(&mut self, fence: FenceNumber, kind: OrderKind) -> IssueEvent {
        if (self.ports.now)().since(self.confirmed) > FRESH {
            metrics::counter!("guavawell_order_sends_withheld_total").increment(1);
            return IssueEvent::Unreadable;
        }
        self.counts.sends += 1;
        metrics::counter!("guavawell_order_sends_total").increment(1);
        if self.counts.sends == 1 {
            self.emit("order.issued", Some(fence));
        }
        let order = EngineOrder {
            backend: self.target.backend.clone(),
            fence,
            kind,
        };
        let sent = self.ports.engines.send_order(self.target.address, &order);
        IssueEvent::Sent(match sent.await {
            Ok(()) => SendResult::Accepted,
            Err(EngineError::Rejected { status, .. }) if status == STALE_STATUS => {
                SendResult::Stale
            }
            Err(_) => SendResult::Unknown,
        })
    }

    async fn finish(&self, outcome: IssueOutcome) {
        metrics::counter!("guavawell_orders_total", "outcome" => label(outcome)).increment(1);
        match outcome {
            IssueOutcome::Applied => self.emit("order.applied", None),
            IssueOutcome::Superseded => self.emit("order.stale", None),
            IssueOutcome::Failed => self.emit("order.failed", None),
            IssueOutcome::HeldByOther => {}
        }
        // Whoever took the order over holds the same permit. One that an
        // earlier run of this order took is given back as well.
        let ended = matches!(outcome, IssueOutcome::Applied | IssueOutcome::Failed);
        if ended && matches!(self.kind, OrderKind::Load(_)) {
            let given = self.ports.table.give_back_permit(&self.target.backend);
            if given.await.is_err() {
                metrics::counter!("guavawell_order_permits_left_total").increment(1);
            }
        }
    }

    fn emit(&self, kind: &str, fence: Option<FenceNumber>) {
        let draft = EventDraft::new(kind)
            .field("backend", &self.target.backend)
            .field("order", &self.kind);
        self.ports.events.emit(match fence {
            Some(fence) => draft.field("fence", fence),
            None => draft,
        });
    }
}

const fn label(outcome: IssueOutcome) -> &'static str {
    match outcome {
        IssueOutcome::Applied => "applied",
        IssueOutcome::HeldByOther => "held_by_other",
        IssueOutcome::Superseded => "superseded",
        IssueOutcome::Failed => "failed",
    }
}
