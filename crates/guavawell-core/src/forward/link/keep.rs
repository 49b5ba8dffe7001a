//! Decides whether an instance keeps the load of its callers although its link is full.
//!
//! Load pattern: the callers of one organisation fill the link of one small instance
//! after the other, and the store stops answering. The instances that they come to next
//! can get no tokens and refuse nearly all, while the grants of those before them idle.
//!
//! A full link delays calls to the store as well, and then the load has to move. So the
//! store counts as away only if the link is not full, or connections to servers are
//! accepted too quickly for a link that would delay these calls.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::id::OrganisationId;
use crate::id::TokenCount;
use crate::number::fraction;

/// Milliseconds of a second.
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Thresholds of a [`LoadKeeper`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeeperSettings {
    /// For how long calls to the store must have failed; a single failed call does not
    /// last as long.
    pub min_outage: ClockSpan,
    /// The load is kept if the tokens at hand last for this span.
    pub min_supply: ClockSpan,
    /// A load that is kept is given up once the tokens last for less than this.
    pub min_supply_while_kept: ClockSpan,
    /// A connection that is accepted within this time shows that the link does not delay
    /// calls to the store until they time out: half of their time limit.
    pub quick_connect: ClockSpan,
    /// For how long a quick connection shows that.
    pub quick_valid_for: ClockSpan,
    /// Span over which the demand for tokens is averaged.
    pub demand_span: ClockSpan,
    /// Largest lead, in requests, of the organisation that seems to send most (the vote
    /// of Boyer and Moore).
    pub max_lead: u32,
}

impl Default for KeeperSettings {
    fn default() -> Self {
        Self {
            min_outage: ClockSpan::from_millis(500),
            min_supply: ClockSpan::from_millis(1_000),
            min_supply_while_kept: ClockSpan::from_millis(100),
            quick_connect: ClockSpan::from_millis(400),
            quick_valid_for: ClockSpan::from_millis(1_000),
            demand_span: ClockSpan::from_millis(1_000),
            max_lead: 64,
        }
    }
}

/// The organisation whose callers filled the link, and what they need.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerLoad {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Tokens that they need in a second.
    pub tokens_per_second: f64,
}

/// What an instance sees of the store, its tokens and its link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeeperView {
    /// Time since the first call to the store that failed; `None` while it answers.
    pub store_outage: Option<ClockSpan>,
    /// Tokens that the instance still has for the load's organisation.
    pub tokens: u64,
    /// Whether the demand is high for the link.
    pub is_demand_high: bool,
    /// Whether the instance is not ready because of its link.
    pub is_away: bool,
}

/// Whether the instance keeps the callers that fill its link.
#[derive(Clone, Debug)]
pub struct LoadKeeper {
    settings: KeeperSettings,
    /// The organisation that sends most, by majority vote, and its votes.
    largest: Option<(OrganisationId, u32)>,
    /// Tokens that its requests need in a millisecond, on average.
    tokens_per_ms: f64,
    updated_at: ClockTime,
    /// When a connection to a server was accepted quickly last. While the link is nearly
    /// full none is noted, so a link that has long been full counts as delaying calls.
    quick_connect_at: Option<ClockTime>,
    /// The load with which the link was full last.
    load: Option<CallerLoad>,
    is_kept: bool,
    /// Whether the tokens were too few since the store stopped answering.
    was_short: bool,
}

impl LoadKeeper {
    /// An instance whose link was not full yet.
    #[must_use]
    pub const fn new(settings: KeeperSettings) -> Self {
        Self {
            settings,
            largest: None,
            tokens_per_ms: 0.0,
            updated_at: ClockTime::from_millis(0),
            quick_connect_at: None,
            load: None,
            is_kept: false,
            was_short: false,
        }
    }

    /// Records a request of an organisation and the tokens that it needs at most.
    pub fn note_request(
        &mut self,
        organisation: &OrganisationId,
        tokens: TokenCount,
        now: ClockTime,
    ) {
        self.advance(now);
        match &mut self.largest {
            Some((largest, votes)) if largest == organisation => {
                *votes = (*votes + 1).min(self.settings.max_lead);
                let span = fraction(self.settings.demand_span.as_millis());
                self.tokens_per_ms += fraction(tokens.get()) / span;
            }
            Some((_, votes)) if *votes > 0 => *votes -= 1,
            _ => {
                self.largest = Some((organisation.clone(), 1));
                self.tokens_per_ms = 0.0;
            }
        }
    }

    /// Records how long a connection to a server took to be accepted or refused.
    pub fn note_connect(&mut self, took: ClockSpan, now: ClockTime) {
        if took <= self.settings.quick_connect {
            self.quick_connect_at = Some(now);
        }
    }

    /// Records that the demand is high for the link, so the callers are those that fill it.
    pub fn note_full(&mut self, now: ClockTime) {
        self.advance(now);
        let Some((organisation, _)) = &self.largest else {
            return;
        };
        self.load = Some(CallerLoad {
            organisation: organisation.clone(),
            tokens_per_second: self.tokens_per_ms * MILLIS_PER_SECOND,
        });
    }

    /// The load with which the link was full last.
    #[must_use]
    pub const fn load(&self) -> Option<&CallerLoad> {
        self.load.as_ref()
    }

    /// Decides whether the load is kept, or taken back. An instance whose tokens were too
    /// few does not take it until the store has answered: a grant that is being returned
    /// is at hand by turns only, and the load would move each time.
    pub fn decide(&mut self, view: &KeeperView, now: ClockTime) -> bool {
        let settings = &self.settings;
        let (least_outage, least_span) = if self.is_kept {
            (ClockSpan::default(), settings.min_supply_while_kept)
        } else {
            (settings.min_outage, settings.min_supply)
        };
        let span = fraction(least_span.as_millis()) / MILLIS_PER_SECOND;
        let is_short = self.load.as_ref().is_some_and(|load| {
            view.tokens == 0 || fraction(view.tokens) < load.tokens_per_second * span
        });
        let has_load = self
            .load
            .as_ref()
            .is_some_and(|load| load.tokens_per_second > 0.0);
        self.was_short = view.store_outage.is_some() && (self.was_short || is_short);
        let is_away = view.store_outage.is_some_and(|span| span >= least_outage);
        let fills_link = view.is_away || view.is_demand_high;
        let is_undelayed = !view.is_demand_high || self.connects_quickly(now);
        self.is_kept = is_away
            && has_load
            && !self.was_short
            && (self.is_kept || (fills_link && is_undelayed));
        self.is_kept
    }

    /// Whether the load is kept.
    #[must_use]
    pub const fn is_kept(&self) -> bool {
        self.is_kept
    }

    /// Whether the link does not delay calls to the store until they time out.
    fn connects_quickly(&self, now: ClockTime) -> bool {
        let valid_for = self.settings.quick_valid_for;
        self.quick_connect_at
            .is_some_and(|at| now.since(at) < valid_for)
    }

    fn advance(&mut self, now: ClockTime) {
        let passed = fraction(now.since(self.updated_at).as_millis());
        self.updated_at = now;
        let span = fraction(self.settings.demand_span.as_millis());
        self.tokens_per_ms *= (-passed / span).exp();
    }
}
