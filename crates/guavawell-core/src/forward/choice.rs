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
use crate::forward::ServerEntry;
use crate::forward::ServerHealth;
use crate::forward::ServerIncarnation;
use crate::forward::ServerPhase;
use crate::forward::ServerTable;
use crate::forward::TokenUsage;
use crate::id::BackendId;
use crate::id::ServiceId;
use crate::id::ZoneId;
use crate::number::fraction;
use crate::poison::RequestFingerprint;

/// Cost of a server that is the last choice; exceeds the sum of all other
/// costs.
const AVOIDED_COST_MS: f64 = 1e6;
/// Cost of a server that runs another request suspected of crashing servers.
/// Less than [`AVOIDED_COST_MS`], because an avoided server probably does not
/// respond at all.
const SUSPECT_COST_MS: f64 = 1e5;

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
    /// The service that the request goes to.
    pub service: &'a ServiceId,
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
}

/// Why no server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceError {
    /// No server of the service takes requests, apart from those that the
    /// request was already sent to.
    Unknown,
    /// All servers are full.
    Full,
    /// All servers asked for a pause.
    Paused,
}

/// The chosen server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerPick {
    /// Id and start of the server.
    pub server: ServerIncarnation,
    /// Prompt tokens that the server probably has to prefill.
    pub prefill_tokens: u64,
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
    let is_candidate = |entry: &&ServerEntry| {
        entry.service == *request.service
            && entry.takes_requests(now)
            && !request.tried.contains(&entry.incarnation)
    };
    let mut candidates: Vec<&ServerEntry> = table.servers().iter().filter(is_candidate).collect();
    if candidates.is_empty() {
        return Err(ChoiceError::Unknown);
    }
    candidates.retain(|entry| !entry.is_paused(now));
    if candidates.is_empty() {
        return Err(ChoiceError::Paused);
    }
    let preferred = preferred_server(&candidates, request, now, settings);
    let available = candidates
        .iter()
        .filter(|entry| has_room(entry, request, now, settings));
    // Computes each cost once; a comparison closure would compute it twice for
    // every pair.
    let costs = available.map(|entry| {
        let penalty = penalty_ms(entry, request, now, settings);
        let cost = cost_ms(
            entry,
            preferred == Some(&entry.incarnation),
            request,
            now,
            settings,
        );
        (penalty + cost, entry)
    });
    let best = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
    let (_, best) = best.ok_or(ChoiceError::Full)?;
    let cached = if preferred == Some(&best.incarnation) {
        request.shared_tokens
    } else {
        0
    };
    Ok(ServerPick {
        server: best.incarnation.clone(),
        prefill_tokens: request.usage.input.get().saturating_sub(cached),
    })
}

/// Cost that keeps a request from a server while there are others.
fn penalty_ms(
    entry: &ServerEntry,
    request: &ChoiceRequest<'_>,
    now: ClockTime,
    settings: &ChoiceSettings,
) -> f64 {
    let avoided_cost = if is_avoided(entry, now, settings) {
        AVOIDED_COST_MS
    } else {
        0.0
    };
    let is_other =
        |fingerprint: RequestFingerprint| entry.suspects.iter().any(|held| *held != fingerprint);
    let suspect_cost = if request.suspect.is_some_and(is_other) {
        SUSPECT_COST_MS
    } else {
        0.0
    };
    avoided_cost + suspect_cost
}

/// The server that all instances prefer for the same shared part or the same
/// suspect.
fn preferred_server<'a>(
    candidates: &[&'a ServerEntry],
    request: &ChoiceRequest<'_>,
    now: ClockTime,
    settings: &ChoiceSettings,
) -> Option<&'a ServerIncarnation> {
    let key = match request.suspect {
        Some(fingerprint) => fingerprint.short(),
        None => request.affinity?.id,
    };
    let healthy = candidates
        .iter()
        .filter(|entry| !is_avoided(entry, now, settings));
    let best = healthy.max_by_key(|entry| rank(key, &entry.incarnation.id))?;
    Some(&best.incarnation)
}

/// Whether a server is the last choice: unreachable, silent, failing, or
/// without an entry at the platform.
fn is_avoided(entry: &ServerEntry, now: ClockTime, settings: &ChoiceSettings) -> bool {
    let ServerHealth { avoided_until, .. } = entry.health;
    now < avoided_until
        || matches!(entry.phase, ServerPhase::Lapsed(_))
        || entry.silent(now)
        || entry.failure_rate(now) > settings.max_failure_rate
}

fn has_room(
    entry: &ServerEntry,
    request: &ChoiceRequest<'_>,
    now: ClockTime,
    settings: &ChoiceSettings,
) -> bool {
    let max_requests = f64::from(entry.slots) * settings.max_requests_per_slot;
    if f64::from(entry.load.estimate(now)) >= max_requests.max(1.0) {
        return false;
    }
    request.engine.is_none_or(|engine| {
        let cache_tokens = entry.load.cache_tokens + request.usage.worst_case().get();
        entry.load.in_flight == 0 || cache_tokens <= engine.memory.get()
    })
}

fn cost_ms(
    entry: &ServerEntry,
    preferred: bool,
    request: &ChoiceRequest<'_>,
    now: ClockTime,
    settings: &ChoiceSettings,
) -> f64 {
    let estimate = f64::from(entry.load.estimate(now));
    let slots = f64::from(entry.slots.max(1));
    let failure = settings.failure_rate_ms * entry.failure_rate(now);
    let same_zone = entry.zone == *request.zone;
    let Some(_) = request.engine else {
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
    let uncached = if preferred { 0 } else { request.shared_tokens };
    let uncached = fraction(uncached) * settings.repeated_prefill_factor;
    let prefill = (fraction(entry.load.prefill_tokens) + uncached) / settings.prefill_tokens_per_ms;
    let batch = settings.full_batch_ms * (estimate / slots).min(1.0);
    let waiting = settings.waiting_request_ms * (estimate - slots).max(0.0);
    prefill + batch + waiting + failure + zone
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
