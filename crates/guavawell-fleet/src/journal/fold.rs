//! Reads the segments of one shard as they come and gives second charges back.
//!
//! The scan goes round: one listing for each step, from the last key seen on. A
//! writer's segments that were read are stepped over by their last name, so a
//! round costs a listing for each writer and page of new names, and a read for
//! each new segment.

use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::SlotId;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::ShardId;
use guavawell_core::request::billing::BillingRecord;
use guavawell_core::request::billing::ChargeWindow;
use guavawell_core::request::billing::SegmentName;
use guavawell_core::request::billing::WindowPolicy;
use guavawell_core::request::billing::read_segment;

use super::refund::refund_second_charges;
use crate::clock;
use crate::platform::Objects;
use crate::platform::PlatformError;
use crate::platform::Table;

/// What a fold may cost and remember.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FoldSettings {
    /// Time between two steps; each lists once, so that a shard costs at most
    /// `1 + reads_a_step` reads of the object store in that time.
    pub step_every: ClockSpan,
    /// Most segments that one step reads, and requests that it looks at.
    pub reads_a_step: usize,
    /// How long a second charge waits that its budget's row does not hold yet.
    pub look_again: ClockSpan,
    /// What it remembers.
    pub window: WindowPolicy,
}

impl Default for FoldSettings {
    fn default() -> Self {
        Self {
            step_every: ClockSpan::from_millis(2_000),
            reads_a_step: 4,
            look_again: ClockSpan::from_millis(60_000),
            window: WindowPolicy::default(),
        }
    }
}

/// The last segment read of one writer of one slot.
#[derive(Clone, Debug)]
struct WriterMark {
    slot: SlotId,
    router: InstanceIncarnation,
    last: SegmentName,
}

/// The fold of one shard.
#[derive(Clone, Debug)]
pub struct ShardFold {
    settings: FoldSettings,
    shard: ShardId,
    cursor: Box<str>,
    /// Sorted by slot and router.
    marks: Vec<WriterMark>,
    window: ChargeWindow,
}

impl ShardFold {
    /// A fold that has read nothing yet.
    #[must_use]
    pub fn new(shard: ShardId, settings: FoldSettings) -> Self {
        Self {
            settings,
            shard,
            cursor: "".into(),
            marks: Vec::new(),
            window: ChargeWindow::new(settings.window),
        }
    }

    /// The shard.
    #[must_use]
    pub const fn shard(&self) -> ShardId {
        self.shard
    }

    /// Lists once, reads some new segments, gives second charges back. Returns
    /// how many were given back; a failed step is done again by the next.
    ///
    /// # Errors
    ///
    /// [`PlatformError`]: the platform does not answer, or a segment or row
    /// cannot be read.
    pub async fn step(&mut self, objects: &Objects, table: &Table) -> Result<usize, PlatformError> {
        let prefix = format!("journal/{}/", self.shard);
        let page = objects.list_after(&prefix, &self.cursor).await?;
        let mut reads = 0;
        for key in &page.keys {
            if **key <= *self.cursor {
                continue;
            }
            let Ok(name) = key.parse::<SegmentName>() else {
                self.cursor = key.clone();
                continue;
            };
            if let Some(last) = self.read_to(&name) {
                // Steps over all that was read of this writer.
                self.cursor = last.to_string().max(key.to_string()).into();
                continue;
            }
            if reads == self.settings.reads_a_step {
                return self.give_back(table).await;
            }
            self.read(objects, key, name).await?;
            self.cursor = key.clone();
            reads += 1;
        }
        if page.is_last {
            self.cursor = "".into();
        }
        self.give_back(table).await
    }

    /// The writer's last segment read, if `name` is not beyond it.
    fn read_to(&self, name: &SegmentName) -> Option<&SegmentName> {
        let last = &self.marks[self.mark_place(name).ok()?].last;
        (name.sequence <= last.sequence).then_some(last)
    }

    async fn read(
        &mut self,
        objects: &Objects,
        key: &str,
        name: SegmentName,
    ) -> Result<(), PlatformError> {
        let body = objects.get(key).await?;
        let body = body.ok_or_else(|| unreadable(key, "listed, but not there"))?;
        let records = read_segment(&body).map_err(|error| unreadable(key, &error.to_string()))?;
        self.window.add(records, clock::now());
        metrics::counter!("guavawell_journal_segments_folded_total").increment(1);
        match self.mark_place(&name) {
            Ok(place) => self.marks[place].last = name,
            Err(place) => {
                let mark = WriterMark {
                    slot: name.slot.clone(),
                    router: name.router.clone(),
                    last: name,
                };
                self.marks.insert(place, mark);
            }
        }
        Ok(())
    }

    async fn give_back(&mut self, table: &Table) -> Result<usize, PlatformError> {
        let mut given = 0;
        let now = clock::now();
        let due: Vec<Vec<BillingRecord>> = self.window.conflicts(now).collect();
        for charges in due.iter().take(self.settings.reads_a_step) {
            if charges
                .iter()
                .any(|charge| self.window.is_overlapped(charge))
            {
                self.leave_to_audit(charges, now);
                continue;
            }
            let outcome = refund_second_charges(table, charges).await?;
            given += outcome.given;
            let wait = if outcome.waiting == 0 {
                self.settings.window.retention
            } else {
                self.settings.look_again
            };
            if let Some(first) = charges.first() {
                self.window.postpone(&first.identity, now + wait);
            }
        }
        let count = u64::try_from(given).unwrap_or(u64::MAX);
        metrics::counter!("guavawell_refunds_total").increment(count);
        Ok(given)
    }

    /// Gives nothing back where records tell of the same tokens twice: what the
    /// budget's row holds once would be given back all the same.
    fn leave_to_audit(&mut self, charges: &[BillingRecord], now: ClockTime) {
        let Some(first) = charges.first() else {
            return;
        };
        metrics::counter!("guavawell_refunds_withheld_total").increment(1);
        log::error!(
            "charges of `{}` of {} overlap others and are not given back; audit budget `{}`",
            first.identity.request,
            first.identity.organisation,
            first.budget
        );
        self.window
            .postpone(&first.identity, now + self.settings.window.retention);
    }

    fn mark_place(&self, name: &SegmentName) -> Result<usize, usize> {
        self.marks
            .binary_search_by(|mark| (&mark.slot, &mark.router).cmp(&(&name.slot, &name.router)))
    }
}

fn unreadable(key: &str, detail: &str) -> PlatformError {
    PlatformError::Refused(format!("segment `{key}`: {detail}").into())
}
