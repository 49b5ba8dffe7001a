//! State machine that issues one order to one engine.
//!
//! The order is recorded in the table under a new fencing number before it is
//! sent. Before each send, the engine's state and then the row are read. The
//! order is sent again only if the engine is not in the ordered state and the
//! row still names this issuer. A lost response alone therefore causes no second
//! send, and an issuer that was replaced stops even if the engine
//! ignores fencing numbers. If a delayed duplicate still reaches the engine, its
//! effect shows in the next load report, and [`plan`](super::plan) reverts it.

use super::row::EngineReading;
use super::row::IssuerId;
use super::row::OrderKind;
use super::row::OrderRow;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::id::FenceNumber;

/// Limits for issuing an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderSettings {
    /// Time between two reads of the engine's state.
    pub poll_interval: ClockSpan,
    /// Maximum number of sends before the order fails.
    pub max_sends: u32,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            poll_interval: ClockSpan::from_millis(1_000),
            max_sends: 3,
        }
    }
}

/// Result of a compare-and-swap on the row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The row was written.
    Done,
    /// The row's revision had changed, so nothing was written.
    Conflict,
    /// The response was lost, so the row may have been written or not.
    Unknown,
}

/// Result of a send to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// The engine accepted the order.
    Accepted,
    /// The engine has received a higher fencing number.
    Stale,
    /// The response was lost, so the engine may have the order or not.
    Unknown,
}

/// Input of [`OrderIssuer::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IssueEvent {
    /// The row was read, with its revision (0 if there is no row).
    Row(Option<OrderRow>, u64),
    /// A write of the row ended.
    Written(WriteResult),
    /// The engine's state was read.
    Engine(EngineReading),
    /// A weight-store permit was acquired, or the next attempt is due at the
    /// given time.
    Permit(Result<(), ClockTime>),
    /// A send of the order ended.
    Sent(SendResult),
    /// A requested wait is over.
    Woken,
    /// Reading the table or the engine failed.
    Unreadable,
}

/// Action that the caller performs next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IssueEffect {
    /// Read the row.
    ReadRow,
    /// Write the row if its revision is still the given one.
    WriteRow(u64, OrderRow),
    /// Read the engine's state.
    ReadEngine,
    /// Acquire a weight-store permit.
    AcquirePermit,
    /// Send the order with this fencing number.
    Send(FenceNumber, OrderKind),
    /// Wait until the given time.
    Wait(ClockTime),
    /// The order has ended; release the permit if one was acquired.
    Finish(IssueOutcome),
}

/// Final result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IssueOutcome {
    /// The engine is in the ordered state, and the row is marked as done.
    Applied,
    /// Another issuer has an open order.
    HeldByOther,
    /// Another issuer has replaced this one or sent a higher fencing number.
    Superseded,
    /// The engine is not in the ordered state after the maximum number of sends.
    /// The row stays open, so that a later attempt can continue.
    Failed,
}

/// Where the issuer stands, which decides how the next event is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IssueStep {
    Record,
    Engine,
    Permit,
    Confirm,
    Send,
    Close,
}

/// Issues one order.
#[derive(Clone, Debug)]
pub struct OrderIssuer {
    settings: OrderSettings,
    issuer: IssuerId,
    kind: OrderKind,
    /// Whether an open order of another issuer may be replaced: membership says
    /// that the issuer has ended, or an operator asked for it.
    take_over: bool,
    step: IssueStep,
    fence: FenceNumber,
    has_permit: bool,
    sends: u32,
}

impl OrderIssuer {
    /// Creates an issuer; the caller starts with [`IssueEffect::ReadRow`].
    #[must_use]
    pub fn new(
        settings: OrderSettings,
        issuer: IssuerId,
        kind: OrderKind,
        take_over: bool,
    ) -> Self {
        Self {
            settings,
            issuer,
            kind,
            take_over,
            step: IssueStep::Record,
            fence: FenceNumber::default(),
            has_permit: false,
            sends: 0,
        }
    }

    /// Handles an event and returns the next action.
    pub fn handle(&mut self, event: IssueEvent, now: ClockTime) -> IssueEffect {
        match event {
            IssueEvent::Row(row, revision) => self.handle_row(row, revision),
            IssueEvent::Written(result) => self.handle_write(result),
            IssueEvent::Engine(reading) => self.handle_reading(&reading, now),
            IssueEvent::Permit(Ok(())) => {
                self.has_permit = true;
                self.read_engine()
            }
            IssueEvent::Permit(Err(until)) => IssueEffect::Wait(until),
            IssueEvent::Sent(SendResult::Stale) => IssueEffect::Finish(IssueOutcome::Superseded),
            IssueEvent::Sent(_) => {
                self.step = IssueStep::Engine;
                self.wait_for_poll(now)
            }
            IssueEvent::Woken => self.resume(),
            IssueEvent::Unreadable => self.wait_for_poll(now),
        }
    }

    fn handle_row(&mut self, row: Option<OrderRow>, revision: u64) -> IssueEffect {
        match self.step {
            IssueStep::Record => self.record(row, revision),
            IssueStep::Close => self.close(row, revision),
            _ => self.confirm(row.as_ref()),
        }
    }

    fn record(&mut self, row: Option<OrderRow>, revision: u64) -> IssueEffect {
        let Some(row) = row else {
            return self.write_row(revision, FenceNumber::default().next(), false);
        };
        let own = row.owner == self.issuer && row.kind == self.kind && !row.done;
        if own {
            self.fence = row.fence;
            return self.read_engine();
        }
        let foreign = row.owner != self.issuer && !row.done;
        if foreign && !self.take_over {
            return IssueEffect::Finish(IssueOutcome::HeldByOther);
        }
        self.write_row(revision, row.fence.next(), false)
    }

    fn close(&mut self, row: Option<OrderRow>, revision: u64) -> IssueEffect {
        match row.filter(|row| self.is_own(row)) {
            Some(row) if row.done => IssueEffect::Finish(IssueOutcome::Applied),
            Some(_) => self.write_row(revision, self.fence, true),
            None => IssueEffect::Finish(IssueOutcome::Superseded),
        }
    }

    fn confirm(&mut self, row: Option<&OrderRow>) -> IssueEffect {
        if !row.is_some_and(|row| self.is_own(row) && !row.done) {
            return IssueEffect::Finish(IssueOutcome::Superseded);
        }
        self.step = IssueStep::Send;
        self.sends += 1;
        IssueEffect::Send(self.fence, self.kind.clone())
    }

    fn handle_write(&mut self, result: WriteResult) -> IssueEffect {
        match (self.step, result) {
            (IssueStep::Close, WriteResult::Done) => IssueEffect::Finish(IssueOutcome::Applied),
            (IssueStep::Record, WriteResult::Done) => self.read_engine(),
            _ => IssueEffect::ReadRow,
        }
    }

    fn handle_reading(&mut self, reading: &EngineReading, now: ClockTime) -> IssueEffect {
        self.step = IssueStep::Engine;
        if reading.fence > self.fence {
            return IssueEffect::Finish(IssueOutcome::Superseded);
        }
        if self.kind.is_done(reading) {
            self.step = IssueStep::Close;
            return IssueEffect::ReadRow;
        }
        if self.kind.is_in_progress(reading) {
            return self.wait_for_poll(now);
        }
        if self.sends >= self.settings.max_sends {
            return IssueEffect::Finish(IssueOutcome::Failed);
        }
        if matches!(self.kind, OrderKind::Load(_)) && !self.has_permit {
            self.step = IssueStep::Permit;
            return IssueEffect::AcquirePermit;
        }
        self.step = IssueStep::Confirm;
        IssueEffect::ReadRow
    }

    fn resume(&mut self) -> IssueEffect {
        match self.step {
            IssueStep::Permit => IssueEffect::AcquirePermit,
            IssueStep::Record | IssueStep::Close | IssueStep::Confirm => IssueEffect::ReadRow,
            IssueStep::Engine | IssueStep::Send => self.read_engine(),
        }
    }

    fn read_engine(&mut self) -> IssueEffect {
        self.step = IssueStep::Engine;
        IssueEffect::ReadEngine
    }

    fn write_row(&mut self, revision: u64, fence: FenceNumber, done: bool) -> IssueEffect {
        self.fence = fence;
        let row = OrderRow {
            owner: self.issuer.clone(),
            fence,
            kind: self.kind.clone(),
            done,
        };
        IssueEffect::WriteRow(revision, row)
    }

    fn is_own(&self, row: &OrderRow) -> bool {
        row.owner == self.issuer && row.fence == self.fence
    }

    fn wait_for_poll(&self, now: ClockTime) -> IssueEffect {
        IssueEffect::Wait(now + self.settings.poll_interval)
    }
}
