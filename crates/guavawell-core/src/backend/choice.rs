//! Which server gets a request.
//!
//! Zone first. Within a zone, two servers drawn at random and those that
//! probably hold the prompt's prefix are compared by their expected time to
//! first token. The work is bounded whatever the number of servers, except
//! while most of a group is leaving or ejected, when the group is walked once.
//! A few requests try a server that lost every comparison for long.

use std::sync::Arc;

use thiserror::Error;

use super::affinity::MAX_HINTS;
use super::index::BackendGroup;
use super::index::TargetIndex;
use super::summary::room;
use super::table::hint_of;
use crate::backend::BackendState;
use crate::backend::BackendTable;
use crate::backend::ModelVersion;
use crate::backend::PrefixHash;
use crate::backend::RouteTarget;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::id::BackendId;
use crate::id::ModelId;
use crate::id::ZoneId;

/// Servers compared by the two-choices rule.
const CHOICES: usize = 2;
/// Draws before the group is walked.
const MAX_DRAWS: usize = 8;
/// Makes the draw of a zone another one than that of servers.
const ZONE_DRAW: u64 = 0x5a6f_6e65;

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// The model or service.
    pub target: &'a RouteTarget,
    /// A version that must be served; any if absent.
    pub version: Option<&'a ModelVersion>,
    /// An adapter; servers that hold it go first.
    pub adapter: Option<&'a ModelId>,
    /// The router's zone.
    pub zone: &'a ZoneId,
    /// The prompt's prefix.
    pub prefix: Option<PrefixHash>,
    /// Servers tried already.
    pub exclude: &'a [BackendId],
    /// A random number drawn for this choice.
    pub draw: u64,
    /// The time.
    pub now: ClockTime,
}

/// Why no server can be chosen. In every case nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NoBackend {
    /// No server serves the target.
    #[error("no backend server serves this target")]
    Unserved,
    /// Those that serve it are leaving or were tried already.
    #[error("every backend server of this target is leaving or was tried")]
    Unavailable,
    /// All are at this router's concurrency limit.
    #[error("every backend server of this target is at its limit; retry after {retry_after}")]
    Saturated {
        /// When one is expected to have room.
        retry_after: ClockSpan,
    },
    /// The chosen server announced its leaving before the request began;
    /// choose again.
    #[error("the chosen backend server is leaving")]
    Leaving,
}

/// A chosen server; nothing is counted until
/// [`begin`](BackendPick::begin).
#[derive(Clone, Debug)]
pub struct BackendPick {
    pub(super) table: Arc<BackendTable>,
    /// Place of the target in the table.
    pub(super) place: usize,
    /// The server.
    pub backend: Arc<BackendState>,
    /// Expected time to first token.
    pub estimate: ClockSpan,
    /// Whether the server probably holds the prefix.
    pub cached: bool,
    /// Whether the server lies in another zone.
    pub spilled: bool,
    pub(super) prefix: Option<PrefixHash>,
}

/// A server under comparison.
struct Candidate<'a> {
    group: &'a Arc<BackendGroup>,
    state: &'a Arc<BackendState>,
    cost: u64,
    cached: bool,
}

impl BackendTable {
    /// Chooses a server for a request.
    ///
    /// # Errors
    ///
    /// [`NoBackend`] says why there is none; nothing was sent.
    pub fn choose(self: &Arc<Self>, ask: &ChoiceRequest<'_>) -> Result<BackendPick, NoBackend> {
        let adapter = ask.adapter.map(|id| RouteTarget::Model(id.clone()));
        let preferred = adapter.and_then(|target| self.target(&target, None));
        if let Some(index) = preferred
            && let Some(candidate) = self.best(index, ask, false)
        {
            return Ok(self.pick(index, &candidate, ask));
        }
        let index = self.target(ask.target, ask.version);
        let index = index.ok_or(NoBackend::Unserved)?;
        let candidate = self.best(index, ask, false);
        let candidate = candidate.or_else(|| self.best(index, ask, true));
        match candidate {
            Some(candidate) => Ok(self.pick(index, &candidate, ask)),
            None => Err(refusal(index, ask)),
        }
    }

    fn pick(
        self: &Arc<Self>,
        index: &TargetIndex,
        candidate: &Candidate<'_>,
        ask: &ChoiceRequest<'_>,
    ) -> BackendPick {
        BackendPick {
            table: Arc::clone(self),
            place: index.place(),
            backend: Arc::clone(candidate.state),
            estimate: ClockSpan::from_millis(candidate.cost),
            cached: candidate.cached,
            spilled: candidate.group.zone != *ask.zone,
            prefix: ask.prefix,
        }
    }

    /// The best server of the own zone, or of another one where that is
    /// clearly better. With `ejected`, ejected servers count as well.
    fn best<'a>(
        &self,
        index: &'a TargetIndex,
        ask: &ChoiceRequest<'_>,
        ejected: bool,
    ) -> Option<Candidate<'a>> {
        let stale = self.settings().summary_stale;
        let home = index.zone(ask.zone);
        if let Some(candidate) = home.and_then(|group| self.trial_of(group, ask)) {
            return Some(candidate);
        }
        let mut best = home.and_then(|group| self.best_of(group, ask, ejected));
        let crowded = |candidate: &Candidate<'_>| candidate.state.is_crowded(ask.now);
        if best.as_ref().is_some_and(|candidate| !crowded(candidate)) {
            return best;
        }
        if let Some(group) = zone_with_room(index, stale, ask) {
            best = cheaper(best, self.best_there(group, ask, ejected));
        }
        if best.is_some() && is_told(index, stale, ask) {
            return best;
        }
        for group in index.zones.iter().filter(|group| group.zone != *ask.zone) {
            best = cheaper(best, self.best_there(group, ask, ejected));
        }
        best
    }

    /// The best server of another zone.
    fn best_there<'a>(
        &self,
        group: &'a Arc<BackendGroup>,
        ask: &ChoiceRequest<'_>,
        ejected: bool,
    ) -> Option<Candidate<'a>> {
        let mut candidate = self.best_of(group, ask, ejected)?;
        candidate.cost += self.settings().zone_penalty.as_millis();
        Some(candidate)
    }

    fn best_of<'a>(
        &self,
        group: &'a Arc<BackendGroup>,
        ask: &ChoiceRequest<'_>,
        ejected: bool,
    ) -> Option<Candidate<'a>> {
        let usable = |state: &BackendState| is_usable(state, ask, ejected) && state.has_room();
        let mut drawn = draw_two(&group.near, ask.draw, &usable);
        if drawn[0].is_none() {
            drawn = draw_two(&group.members, ask.draw, &usable);
        }
        let hinted = self.hinted(group, ask);
        let told = group.told.percent(self.settings().summary_stale, ask.now);
        let told = told.filter(|_| group.zone != *ask.zone);
        let mut best = None;
        for state in drawn.into_iter().flatten() {
            let cached = hinted
                .iter()
                .flatten()
                .any(|other| Arc::ptr_eq(other, state));
            best = cheaper(best, Some(candidate(group, state, cached, told, ask)));
        }
        for state in hinted.into_iter().flatten().filter(|state| usable(state)) {
            best = cheaper(best, Some(candidate(group, state, true, told, ask)));
        }
        best
    }

    /// For a few requests, a drawn server that got none for long: one that was
    /// slow once, or was never measured beside fast ones, loses every
    /// comparison and would never be measured again. A trial costs no prefill:
    /// where servers hold the prefix, it goes to one of them.
    fn trial_of<'a>(
        &self,
        group: &'a Arc<BackendGroup>,
        ask: &ChoiceRequest<'_>,
    ) -> Option<Candidate<'a>> {
        let share = u64::from(self.settings().trial_share);
        if !mix(ask.draw).is_multiple_of(share) {
            return None;
        }
        let usable = |state: &BackendState| is_usable(state, ask, false) && state.has_room();
        let hinted = self.hinted(group, ask);
        let holders = || hinted.iter().flatten();
        let is_held = holders().any(|state| usable(state));
        let drawn = draw_two(&group.near, ask.draw, &usable);
        drawn.into_iter().flatten().find_map(|state| {
            let cached = holders().any(|other| Arc::ptr_eq(other, state));
            let is_due = state.is_trial_due(ask.now) && cached == is_held;
            is_due.then(|| candidate(group, state, cached, None, ask))
        })
    }

    /// Members of the group that probably hold the prefix.
    fn hinted<'a>(
        &self,
        group: &'a BackendGroup,
        ask: &ChoiceRequest<'_>,
    ) -> [Option<&'a Arc<BackendState>>; MAX_HINTS] {
        let Some(prefix) = ask.prefix else {
            return [None; MAX_HINTS];
        };
        self.affinity.find(prefix, ask.draw).map(|hint| {
            let hint = hint?;
            let place = group
                .near
                .binary_search_by(|state| state.mark.cmp(&hint.mark));
            let state = &group.near[place.ok()?];
            (hint_of(state) == hint).then_some(state)
        })
    }
}

/// Whether other zones tell of their use, so that none is tried blindly.
fn is_told(index: &TargetIndex, stale: ClockSpan, ask: &ChoiceRequest<'_>) -> bool {
    let others = index.zones.iter().filter(|group| group.zone != *ask.zone);
    let mut told = others.filter_map(|group| group.told.percent(stale, ask.now));
    told.next().is_some()
}

/// One of the other zones that tell of free slots, drawn by their number, so
/// that routers do not all run to the same zone.
fn zone_with_room<'a>(
    index: &'a TargetIndex,
    stale: ClockSpan,
    ask: &ChoiceRequest<'_>,
) -> Option<&'a Arc<BackendGroup>> {
    let room_of = |group: &BackendGroup| match group.told.percent(stale, ask.now) {
        Some(percent) if group.zone != *ask.zone => room(percent, group.members.len()),
        _ => 0,
    };
    let total: u64 = index.zones.iter().map(|group| room_of(group)).sum();
    let mut drawn = mix(ask.draw ^ ZONE_DRAW).checked_rem(total)?;
    index.zones.iter().find(|group| {
        let room = room_of(group);
        let found = drawn < room;
        drawn = drawn.saturating_sub(room);
        found
    })
}

fn candidate<'a>(
    group: &'a Arc<BackendGroup>,
    state: &'a Arc<BackendState>,
    cached: bool,
    told: Option<u64>,
    ask: &ChoiceRequest<'_>,
) -> Candidate<'a> {
    Candidate {
        group,
        state,
        cost: state.cost(cached, told, ask.now),
        cached,
    }
}

fn cheaper<'a>(a: Option<Candidate<'a>>, b: Option<Candidate<'a>>) -> Option<Candidate<'a>> {
    match (a, b) {
        (Some(a), Some(b)) if b.cost < a.cost => Some(b),
        (None, b) => b,
        (a, _) => a,
    }
}

fn is_usable(state: &BackendState, ask: &ChoiceRequest<'_>, ejected: bool) -> bool {
    let healthy = if ejected {
        !state.is_leaving()
    } else {
        state.is_eligible(ask.now)
    };
    healthy && !ask.exclude.contains(&state.id)
}

/// Two different usable members at random.
fn draw_two<'a>(
    members: &'a [Arc<BackendState>],
    draw: u64,
    usable: &dyn Fn(&BackendState) -> bool,
) -> [Option<&'a Arc<BackendState>>; CHOICES] {
    let mut drawn: [Option<&Arc<BackendState>>; CHOICES] = [None; CHOICES];
    if members.is_empty() {
        return drawn;
    }
    let mut number = draw;
    let mut count = 0;
    for _ in 0..MAX_DRAWS {
        number = mix(number);
        let state = &members[place(number, members.len())];
        let again = drawn[0].is_some_and(|first| Arc::ptr_eq(first, state));
        if !again && usable(state) {
            drawn[count] = Some(state);
            count += 1;
        }
        if count == CHOICES || count == members.len() {
            return drawn;
        }
    }
    if count == 0 {
        drawn[0] = walk(members, number, usable);
    }
    drawn
}

/// The first usable member from a random place on.
fn walk<'a>(
    members: &'a [Arc<BackendState>],
    number: u64,
    usable: &dyn Fn(&BackendState) -> bool,
) -> Option<&'a Arc<BackendState>> {
    let start = place(number, members.len());
    let (before, after) = members.split_at(start);
    after.iter().chain(before).find(|state| usable(state))
}

/// A place below `len`, evenly.
fn place(number: u64, len: usize) -> usize {
    let wide = u128::from(number) * len as u128;
    usize::try_from(wide >> 64).unwrap_or(0)
}

/// The `SplitMix64` step: several numbers from one draw.
fn mix(number: u64) -> u64 {
    let sum = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let first = (sum ^ (sum >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let second = (first ^ (first >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    second ^ (second >> 31)
}

fn refusal(index: &TargetIndex, ask: &ChoiceRequest<'_>) -> NoBackend {
    let members = index.zones.iter().flat_map(|group| &group.members);
    let usable = members.filter(|state| is_usable(state, ask, true));
    let wait = usable
        .map(|state| state.expected_wait(ask.now).max(state.next_end(ask.now)))
        .min();
    match wait {
        Some(wait) => NoBackend::Saturated {
            retry_after: ClockSpan::from_millis(wait),
        },
        None => NoBackend::Unavailable,
    }
}
