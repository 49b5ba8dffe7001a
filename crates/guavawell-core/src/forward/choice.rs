//! Chooses the backend server for a request.
//!
//! All instances rank the servers of a service alike for one shared prompt
//! (rendezvous hashing), so that its tokens are prefilled at one server without
//! coordination between instances. A request goes to another server if it can
//! expect its first token sooner there, even though the shared part has to be
//! prefilled again.

use crate::clock::ClockTime;
use crate::forward::EngineLimits;
use crate::forward::PromptPart;
use crate::forward::RequestRate;
use crate::forward::ServerConstraints;
use crate::forward::ServerEntry;
use crate::forward::ServerHealth;
use crate::forward::ServerIncarnation;
use crate::forward::ServerObstacle;
use crate::forward::ServerPhase;
use crate::forward::ServerTable;
use crate::forward::TokenUsage;
use crate::forward::fleet_part;
use crate::id::BackendId;
use crate::id::ZoneId;
use crate::number::fraction;
use crate::number::whole;
use crate::poison::RequestFingerprint;

/// Cost of a server that is the last choice; exceeds the sum of all other
/// costs.
const AVOIDED_COST_MS: f64 = 1e6;
/// Cost of a cold server: a request goes there only if no warm server can take
/// it. Less than [`AVOIDED_COST_MS`], because a cold server does respond.
const COLD_COST_MS: f64 = 5e5;
/// Cost of a server that runs another request suspected of crashing servers.
/// Less than [`AVOIDED_COST_MS`] and [`COLD_COST_MS`], because the server can
/// serve both.
const SUSPECT_COST_MS: f64 = 1e5;

/// Cost of a server whose rate limit is to be checked: it comes before all others
/// that can serve, though not before [`SUSPECT_COST_MS`].
const DUE_COST_MS: f64 = -5e4;

/// Weights of the cost of a server. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChoiceSettings {
    /// Prompt tokens that an engine prefills per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Weight of a shared token that has to be prefilled again, relative to a
    /// token that has to be prefilled anyway. It takes capacity from all
    /// requests, not only time from this one.
    pub repeated_prefill_factor: f64,
    /// Cost of a full batch; with fewer requests running, the cost is in
    /// proportion.
    pub full_batch_ms: f64,
    /// Cost of each request that waits for a slot.
    pub waiting_request_ms: f64,
    /// Cost of a model engine in another availability zone.
    pub engine_zone_ms: f64,
    /// Cost of a server without an engine in another availability zone.
    pub plain_zone_ms: f64,
    /// Cost of a server without an engine that has one request per slot; with
    /// more or fewer requests, the cost is in proportion.
    pub plain_load_ms: f64,
    /// Cost of a server whose recent requests all failed; with fewer failures,
    /// the cost is in proportion.
    pub failure_rate_ms: f64,
    /// Failure rate above which a server is avoided while others can serve.
    pub max_failure_rate: f64,
    /// Requests per slot at which a server counts as full.
    pub max_requests_per_slot: f64,
}

impl Default for ChoiceSettings {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 80.0,
            repeated_prefill_factor: 4.0,
            full_batch_ms: 120.0,
            waiting_request_ms: 40.0,
            engine_zone_ms: 4.0,
            plain_zone_ms: 15.0,
            plain_load_ms: 60.0,
            failure_rate_ms: 600.0,
            max_failure_rate: 0.35,
            max_requests_per_slot: 2.0,
        }
    }
}

/// The request for which a server is chosen.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// What the request requires of its server.
    pub constraints: ServerConstraints<'a>,
    /// Limits of the service's model engines; `None` for a service without
    /// engines.
    pub engine: Option<EngineLimits>,
    /// The availability zone of this instance.
    pub zone: &'a ZoneId,
    /// The prompt part that determines the preferred server.
    pub affinity: Option<PromptPart>,
    /// Tokens of all shared parts of the prompt.
    pub shared_tokens: u64,
    /// Token counts of the request.
    pub usage: TokenUsage,
    /// Servers that the request was already sent to; they are not chosen again.
    pub tried: &'a [ServerIncarnation],
    /// Fingerprint of the request, if servers have crashed while running it. It
    /// goes to a server without other suspects, so that the next crash shows
    /// which request causes them.
    pub suspect: Option<RequestFingerprint>,
    /// Since when the server that runs the request has sent nothing, if another one is
    /// chosen for that; servers that may be as silent, or are the last choice, are left
    /// out then.
    pub quiet_since: Option<ClockTime>,
}

/// Why no server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceError {
    /// No server of the service takes requests, apart from those that the
    /// request was already sent to.
    Unknown,
    /// No server has the version of the software that began the stream.
    OtherVersion,
    /// The operator evacuates the zones of all servers.
    Evacuated,
    /// All servers are full.
    Full,
    /// All servers asked for a pause.
    Paused,
    /// All servers are cold and take no more requests of this instance.
    Cold,
    /// All servers state rate limits of which this instance has no share left.
    Limited,
}

impl ChoiceError {
    /// The error if all servers have obstacles, of which this is the weakest.
    const fn of_obstacle(obstacle: Option<ServerObstacle>) -> Self {
        match obstacle {
            None | Some(ServerObstacle::Unavailable | ServerObstacle::OtherRegion) => Self::Unknown,
            Some(ServerObstacle::OtherVersion) => Self::OtherVersion,
            Some(ServerObstacle::Evacuated) => Self::Evacuated,
            Some(ServerObstacle::Paused) => Self::Paused,
            Some(ServerObstacle::Cold) => Self::Cold,
            Some(ServerObstacle::Limited) => Self::Limited,
        }
    }
}

/// The chosen server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerPick {
    /// Id and start of the server.
    pub server: ServerIncarnation,
    /// Prompt tokens that the server probably has to prefill.
    pub prefill_tokens: u64,
    /// Whether the server, which is fragile, might reject the request.
    pub risky: bool,
    /// Whether the server would count as full, had it not worked off what it reported.
    pub worked_off: bool,
}

/// Chooses the server with the lowest cost.
///
/// # Errors
///
/// Why no server can take the request.
pub fn choose_server(
    table: &ServerTable,
    request: &ChoiceRequest<'_>,
    now: ClockTime,
    settings: &ChoiceSettings,
) -> Result<ServerPick, ChoiceError> {
    let choice = ServerChoice {
        table,
        request,
        fragility: table.fragility(request.constraints.service, now),
        now,
        settings,
    };
    choice.choose(&choice.candidates()?)
}

/// The choice for one request at one time.
#[derive(Clone, Copy)]
struct ServerChoice<'a> {
    table: &'a ServerTable,
    request: &'a ChoiceRequest<'a>,
    /// Rejections per second that the servers survive; `None` if they are not fragile.
    fragility: Option<RequestRate>,
    now: ClockTime,
    settings: &'a ChoiceSettings,
}

impl<'a> ServerChoice<'a> {
    /// The servers that may get the request.
    fn candidates(&self) -> Result<Vec<&'a ServerEntry>, ChoiceError> {
        let mut candidates = Vec::new();
        let mut weakest = None;
        for entry in self.table.servers() {
            if self.request.tried.contains(&entry.incarnation) || self.is_no_better(entry) {
                continue;
            }
            match self
                .table
                .obstacle(entry, &self.request.constraints, self.now)
            {
                None => candidates.push(entry),
                obstacle => weakest = weakest.max(obstacle),
            }
        }
        if candidates.is_empty() {
            Err(ChoiceError::of_obstacle(weakest))
        } else {
            Ok(candidates)
        }
    }

    fn choose(&self, candidates: &[&ServerEntry]) -> Result<ServerPick, ChoiceError> {
        let preferred = self.preferred(candidates);
        let available = candidates.iter().filter(|entry| self.has_room(entry));
        // Computes each cost once; a comparison closure would compute it twice for
        // every pair.
        let costs = available.map(|entry| {
            let is_preferred = preferred == Some(&entry.incarnation);
            let cost = self.penalty_ms(entry) + self.cost_ms(entry, is_preferred);
            (cost, entry)
        });
        let best = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
        let (_, best) = best.ok_or(ChoiceError::Full)?;
        let cached = if preferred == Some(&best.incarnation) {
            self.request.shared_tokens
        } else {
            0
        };
        Ok(ServerPick {
            server: best.incarnation.clone(),
            prefill_tokens: self.request.usage.input.get().saturating_sub(cached),
            risky: self.fragility.is_some() && !self.is_within_part(best),
            worked_off: best.load.estimate(self.now) >= self.max_requests(best),
        })
    }

    /// Cost that keeps the request from a server while there are others, or brings it
    /// there.
    fn penalty_ms(&self, entry: &ServerEntry) -> f64 {
        let is_other = |fingerprint: RequestFingerprint| {
            entry.suspects.iter().any(|held| *held != fingerprint)
        };
        let penalties = [
            (self.is_avoided(entry), AVOIDED_COST_MS),
            (self.is_cold(entry), COLD_COST_MS),
            (self.request.suspect.is_some_and(is_other), SUSPECT_COST_MS),
            (entry.limit.is_due(self.now), DUE_COST_MS),
        ];
        let applying = penalties.iter().filter(|(applies, _)| *applies);
        applying.map(|(_, cost)| cost).sum()
    }

    /// The server that all instances prefer for the same shared part or the same
    /// suspect.
    fn preferred<'t>(&self, candidates: &[&'t ServerEntry]) -> Option<&'t ServerIncarnation> {
        let key = match self.request.suspect {
            Some(fingerprint) => fingerprint.short(),
            None => self.request.affinity?.id,
        };
        let healthy = candidates
            .iter()
            .filter(|entry| !self.is_avoided(entry) && !self.is_cold(entry));
        let best = healthy.max_by_key(|entry| rank(key, &entry.incarnation.id))?;
        Some(&best.incarnation)
    }

    fn is_cold(&self, entry: &ServerEntry) -> bool {
        let slow_start = self.request.constraints.slow_start;
        slow_start.is_some_and(|limit| self.table.is_cold(entry, limit.span, self.now))
    }

    /// Whether a server is the last choice: unreachable, silent, failing, or
    /// without an entry at the platform.
    fn is_avoided(&self, entry: &ServerEntry) -> bool {
        let ServerHealth { avoided_until, .. } = entry.health;
        self.now < avoided_until
            || matches!(entry.phase, ServerPhase::Lapsed(_))
            || entry.silent(self.now)
            || entry.failure_rate(self.now) > self.settings.max_failure_rate
    }

    /// Whether nothing speaks for the server rather than for the one that is late. An
    /// engine takes over one late request at a time, so that the prompts of all that many
    /// silent engines run do not delay what the few others run.
    fn is_no_better(&self, entry: &ServerEntry) -> bool {
        let is_taking_over = self.request.engine.is_some() && entry.load.taken_over > 0;
        let quiet_since = self.request.quiet_since;
        quiet_since.is_some_and(|since| {
            is_taking_over || self.is_avoided(entry) || !entry.may_respond(since)
        })
    }

    fn has_room(&self, entry: &ServerEntry) -> bool {
        if entry.occupancy(self.now) >= self.max_requests(entry) {
            return false;
        }
        if let Some(rejections) = self.fragility
            && !self.is_within_part(entry)
            && !self.may_risk(entry, rejections)
        {
            return false;
        }
        self.request.engine.is_none_or(|engine| {
            let cache_tokens = entry.load.cache_tokens + self.request.usage.worst_case().get();
            entry.load.in_flight == 0 || cache_tokens <= engine.memory.get()
        })
    }

    /// Number of requests at which a server counts as full.
    fn max_requests(&self, entry: &ServerEntry) -> u32 {
        let max_requests = f64::from(entry.slots) * self.settings.max_requests_per_slot;
        u32::try_from(whole(max_requests.ceil().max(1.0))).unwrap_or(u32::MAX)
    }

    /// Whether a fragile server has room for the request in this instance's part of its
    /// slots and memory.
    fn is_within_part(&self, entry: &ServerEntry) -> bool {
        let part = |total: u64| {
            let fleet = self.request.constraints.fleet;
            fleet_part(total, &entry.incarnation.id, fleet)
        };
        if u64::from(entry.load.in_flight) >= part(entry.slots.into()) {
            return false;
        }
        self.request.engine.is_none_or(|engine| {
            let cache_tokens = entry.load.cache_tokens + self.request.usage.worst_case().get();
            entry.load.in_flight == 0 || cache_tokens <= part(engine.memory.get())
        })
    }

    /// Whether a request may be sent that a fragile server might reject.
    fn may_risk(&self, entry: &ServerEntry, rejections: RequestRate) -> bool {
        let fleet = self.request.constraints.fleet;
        let id = &entry.incarnation.id;
        let seems_free = entry.load.estimate(self.now) < entry.slots;
        seems_free && entry.fragility.may_risk(rejections, id, fleet, self.now)
    }

    fn cost_ms(&self, entry: &ServerEntry, preferred: bool) -> f64 {
        let settings = self.settings;
        let estimate = f64::from(entry.load.estimate(self.now));
        let slots = f64::from(entry.slots.max(1));
        let failure = settings.failure_rate_ms * entry.failure_rate(self.now);
        let same_zone = entry.zone == *self.request.zone;
        let Some(_) = self.request.engine else {
            let zone = if same_zone {
                0.0
            } else {
                settings.plain_zone_ms
            };
            return settings.plain_load_ms * estimate / slots + failure + zone;
        };
        let zone = if same_zone {
            0.0
        } else {
            settings.engine_zone_ms
        };
        let uncached = if preferred {
            0
        } else {
            self.request.shared_tokens
        };
        let uncached = fraction(uncached) * settings.repeated_prefill_factor;
        let prefill =
            (fraction(entry.load.prefill_tokens) + uncached) / settings.prefill_tokens_per_ms;
        let batch = settings.full_batch_ms * (estimate / slots).min(1.0);
        let waiting = settings.waiting_request_ms * (estimate - slots).max(0.0);
        prefill + batch + waiting + failure + zone
    }
}

/// Rank of a server for a prompt part or a suspect: the same at every instance.
fn rank(key: u64, server: &BackendId) -> u64 {
    let mut hash = key ^ 0x9e37_79b9_7f4a_7c15;
    for byte in server.as_str().bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    mix(hash)
}

/// Spreads a hash over all bits (the finalizer of `SplitMix64`).
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
