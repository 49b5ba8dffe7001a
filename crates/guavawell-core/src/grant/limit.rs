//! The limit row: an upper bound on what an instance can have spent.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::id::OrganisationId;

/// Ended boots kept in the row until their grants are returned. The grants of
/// older ones stay charged in full.
const MAX_CLOSED_BOOTS: usize = 6;

/// How much a boot may spend of one budget: a burst at once, then a rate, and
/// later a higher rate.
///
/// Most boots that end are replaced within two seconds, so the first rate
/// determines what a crash freezes. An instance that is cut off from the store
/// for longer continues at the second rate, which leaves room for a rise in
/// demand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpendLimit {
    /// The organisation whose budget is limited.
    pub organisation: OrganisationId,
    /// Tokens that the boot had reserved, had spent or was waiting for when the
    /// row was written.
    pub spent: u64,
    /// Tokens that may be spent at once beyond `spent`.
    pub burst: u64,
    /// Tokens per second that are released on top of `spent` and `burst`.
    pub rate: u64,
    /// Tokens per second that replace `rate` after `late_rate_after`.
    pub late_rate: u64,
    /// Time after the write from which `late_rate` applies.
    #[serde(rename = "turn")]
    pub late_rate_after: ClockSpan,
}

impl SpendLimit {
    /// The most that may have been spent once `passed` has elapsed since the
    /// write.
    #[must_use]
    pub fn allowance(&self, passed: ClockSpan) -> u64 {
        let early = passed.min(self.late_rate_after).as_millis();
        let late = passed.as_millis() - early;
        let unlocked = self.rate.saturating_mul(early) + self.late_rate.saturating_mul(late);
        self.spent + self.burst + unlocked / 1_000
    }

    /// Time after the write at which `tokens` may be spent in total.
    #[must_use]
    pub fn unlocked_after(&self, tokens: u64) -> ClockSpan {
        let before_late_rate = self.allowance(self.late_rate_after);
        let millis = if tokens <= before_late_rate {
            let missing = tokens.saturating_sub(self.spent + self.burst);
            millis_to_unlock(missing, self.rate)
        } else {
            let late = millis_to_unlock(tokens - before_late_rate, self.late_rate);
            self.late_rate_after.as_millis().saturating_add(late)
        };
        ClockSpan::from_millis(millis)
    }
}

/// Milliseconds in which `rate` tokens per second add up to `tokens`, rounded
/// up.
fn millis_to_unlock(tokens: u64, rate: u64) -> u64 {
    if tokens == 0 {
        return 0;
    }
    let millis = tokens.saturating_mul(1_000).checked_div(rate);
    millis.map_or(u64::MAX / 4, |millis| millis + 1)
}

/// An ended boot of an instance and the most it can have spent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedBoot {
    /// The number of the boot.
    pub boot: u64,
    /// The most tokens spent, sorted by organisation.
    pub spent: Vec<(OrganisationId, u64)>,
}

impl ClosedBoot {
    /// The most that the boot can have spent of an organisation's budget.
    #[must_use]
    pub fn max_spent(&self, organisation: &OrganisationId) -> u64 {
        self.position(organisation)
            .map_or(0, |index| self.spent[index].1)
    }

    /// Whether the boot had a spend limit for an organisation's budget.
    #[must_use]
    pub fn has_limit(&self, organisation: &OrganisationId) -> bool {
        self.position(organisation).is_some()
    }

    fn position(&self, organisation: &OrganisationId) -> Option<usize> {
        let found = self.spent.binary_search_by(|(id, _)| id.cmp(organisation));
        found.ok()
    }
}

/// The limit row of one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitRow {
    /// The number of the boot that may spend by this row.
    pub boot: u64,
    /// A random number that tells apart two processes that claim the same boot
    /// number.
    pub nonce: u64,
    /// The store's time from which the limits count.
    pub at: ClockTime,
    /// Sorted by organisation. A budget without a limit may not be spent.
    #[serde(rename = "lines")]
    pub limits: Vec<SpendLimit>,
    /// Ended boots whose grants may still be listed in budget rows.
    pub closed: Vec<ClosedBoot>,
}

impl LimitRow {
    /// The most that the boot may have spent at the store's time `now`.
    #[must_use]
    pub fn allowance(&self, organisation: &OrganisationId, now: ClockTime) -> u64 {
        let limit = self.limit(organisation);
        limit.map_or(0, |limit| limit.allowance(now.since(self.at)))
    }

    /// The store's time at which the boot may spend `tokens` in total.
    #[must_use]
    pub fn unlocked_at(&self, organisation: &OrganisationId, tokens: u64) -> Option<ClockTime> {
        let limit = self.limit(organisation)?;
        Some(self.at + limit.unlocked_after(tokens))
    }

    fn limit(&self, organisation: &OrganisationId) -> Option<&SpendLimit> {
        let index = self
            .limits
            .binary_search_by(|limit| limit.organisation.cmp(organisation));
        self.limits.get(index.ok()?)
    }

    /// The first row of the next boot, written at the store's time `now`. This
    /// boot ended no later than `ended`.
    #[must_use]
    pub fn successor(&self, nonce: u64, ended: ClockTime, now: ClockTime) -> Self {
        let spent = self.limits.iter().map(|limit| {
            let most = self.allowance(&limit.organisation, ended);
            (limit.organisation.clone(), most)
        });
        let ended = ClosedBoot {
            boot: self.boot,
            spent: spent.collect(),
        };
        let mut closed = self.closed.clone();
        if self.boot > 0 {
            closed.push(ended);
        }
        let surplus = closed.len().saturating_sub(MAX_CLOSED_BOOTS);
        closed.drain(..surplus);
        Self {
            boot: self.boot + 1,
            nonce,
            at: now,
            limits: Vec::new(),
            closed,
        }
    }
}
