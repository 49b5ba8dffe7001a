//! The row that bounds what an instance can have spent.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::id::OrganisationId;

/// Ended boots whose grants are still to be given back; older ones freeze.
const MAX_CLOSED: usize = 6;

/// The bound for one organisation: a burst at once, then a rate, then a higher
/// one.
///
/// Most boots that end are succeeded within two seconds, so the first rate is
/// what a crash costs; an instance that is cut off for longer goes on at the
/// second, which leaves room for a rise in demand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpendLine {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Tokens reserved or spent by this boot when the row was written.
    pub spent: u64,
    /// Tokens beyond that may be spent at once.
    pub burst: u64,
    /// Tokens a second that may be spent beyond both.
    pub rate: u64,
    /// Tokens a second instead of `rate` once `turn` has passed.
    pub late_rate: u64,
    /// Time until `late_rate` holds.
    pub turn: ClockSpan,
}

impl SpendLine {
    /// The most that may have been spent so long after the row was written.
    #[must_use]
    pub fn allowance(&self, passed: ClockSpan) -> u64 {
        let early = passed.min(self.turn).as_millis();
        let late = passed.as_millis() - early;
        let unlocked = self.rate.saturating_mul(early) + self.late_rate.saturating_mul(late);
        self.spent + self.burst + unlocked / 1_000
    }

    /// Time after the row was written at which `tokens` may be spent in all.
    #[must_use]
    pub fn time_of(&self, tokens: u64) -> ClockSpan {
        let at_turn = self.allowance(self.turn);
        let millis = if tokens <= at_turn {
            let missing = tokens.saturating_sub(self.spent + self.burst);
            span_of(missing, self.rate)
        } else {
            let late = span_of(tokens - at_turn, self.late_rate);
            self.turn.as_millis().saturating_add(late)
        };
        ClockSpan::from_millis(millis)
    }
}

/// Milliseconds in which `tokens` come at `rate` tokens a second, rounded up.
fn span_of(tokens: u64, rate: u64) -> u64 {
    if tokens == 0 {
        return 0;
    }
    let millis = tokens.saturating_mul(1_000).checked_div(rate);
    millis.map_or(u64::MAX / 4, |millis| millis + 1)
}

/// An ended boot of an instance and what it spent at most.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedBoot {
    /// The boot's number.
    pub boot: u64,
    /// Tokens spent at most, sorted by organisation.
    pub spent: Vec<(OrganisationId, u64)>,
}

impl ClosedBoot {
    /// The most that the boot can have spent of an organisation's tokens.
    #[must_use]
    pub fn spent_of(&self, organisation: &OrganisationId) -> u64 {
        self.place(organisation)
            .map_or(0, |place| self.spent[place].1)
    }

    /// Whether the boot had a line of an organisation's budget.
    #[must_use]
    pub fn names(&self, organisation: &OrganisationId) -> bool {
        self.place(organisation).is_some()
    }

    fn place(&self, organisation: &OrganisationId) -> Option<usize> {
        let found = self.spent.binary_search_by(|(id, _)| id.cmp(organisation));
        found.ok()
    }
}

/// The row of one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LineRow {
    /// Number of the boot that may spend by this row.
    pub boot: u64,
    /// A random number of that boot, to tell two claimants of one number apart.
    pub nonce: u64,
    /// The store's time at which the lines begin.
    pub at: ClockTime,
    /// Sorted by organisation; one that is missing may not be spent.
    pub lines: Vec<SpendLine>,
    /// Earlier boots whose grants may still stand in organisations' rows.
    pub closed: Vec<ClosedBoot>,
}

impl LineRow {
    /// The most that the boot may have spent at the store's time `now`.
    #[must_use]
    pub fn allowance(&self, organisation: &OrganisationId, now: ClockTime) -> u64 {
        let line = self.line(organisation);
        line.map_or(0, |line| line.allowance(now.since(self.at)))
    }

    /// The store's time at which the boot may have spent `tokens` in all.
    #[must_use]
    pub fn time_of(&self, organisation: &OrganisationId, tokens: u64) -> Option<ClockTime> {
        let line = self.line(organisation)?;
        Some(self.at + line.time_of(tokens))
    }

    fn line(&self, organisation: &OrganisationId) -> Option<&SpendLine> {
        let place = self
            .lines
            .binary_search_by(|line| line.organisation.cmp(organisation));
        self.lines.get(place.ok()?)
    }

    /// The first row of the next boot, at the store's time `now`. This boot had
    /// ended by `ended`.
    #[must_use]
    pub fn succeed(&self, nonce: u64, ended: ClockTime, now: ClockTime) -> Self {
        let spent = self.lines.iter().map(|line| {
            let most = self.allowance(&line.organisation, ended);
            (line.organisation.clone(), most)
        });
        let ended = ClosedBoot {
            boot: self.boot,
            spent: spent.collect(),
        };
        let mut closed = self.closed.clone();
        if self.boot > 0 {
            closed.push(ended);
        }
        let surplus = closed.len().saturating_sub(MAX_CLOSED);
        closed.drain(..surplus);
        Self {
            boot: self.boot + 1,
            nonce,
            at: now,
            lines: Vec::new(),
            closed,
        }
    }
}
