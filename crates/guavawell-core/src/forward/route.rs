//! Routes, services and organisations of one accepted configuration.

use std::sync::Arc;

use crate::clock::ClockSpan;
use crate::forward::RetrySafety;
use crate::forward::SlowStart;
use crate::id::OrganisationId;
use crate::id::RegionId;
use crate::id::ServiceId;
use crate::id::TokenCount;

/// Limits on what a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardLimits {
    /// Maximum size of a request head.
    pub head_bytes: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum time from the first byte of a head to its last.
    pub head_time: ClockSpan,
    /// Maximum idle time of a connection between requests.
    pub idle_time: ClockSpan,
}

impl Default for ForwardLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_time: ClockSpan::from_millis(3_000),
            idle_time: ClockSpan::from_millis(15_000),
        }
    }
}

/// One service's share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteShare {
    /// The service.
    pub service: ServiceId,
    /// Weight relative to the route's other shares.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteEntry {
    /// Name of the route, set by the operator.
    pub name: Box<str>,
    /// Host that the route belongs to, in lower case.
    pub host: Box<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Services that the requests go to; never empty.
    pub shares: Box<[RouteShare]>,
    /// Whether a request may be sent again.
    pub retry_safety: RetrySafety,
    /// Whether the response is a stream of events.
    pub streaming: bool,
    /// Time limit of a request.
    pub time_limit: ClockSpan,
    /// Response time that callers expect; a later response is worth less to
    /// them.
    pub target: ClockSpan,
    /// Longest pause between events of a stream that callers accept; `None` if it is
    /// not stated.
    pub pause_target: Option<ClockSpan>,
    /// Maximum number of backend servers that one request is sent to.
    pub attempts: u32,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Whether callers need no key.
    pub public: bool,
    /// Regions in which the requests may run; empty if in all.
    pub homes: Box<[RegionId]>,
}

/// One service of a configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceEntry {
    /// Id of the service.
    pub id: ServiceId,
    /// Limits of its model engines; `None` for a service without engines.
    pub engine: Option<EngineLimits>,
    /// Slow start of its servers; `None` if a cold server takes any load.
    pub slow_start: Option<SlowStart>,
    /// Path at which a server says how it is; `None` if there is none.
    pub health_path: Option<Box<str>>,
}

/// Limits of each model engine of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLimits {
    /// Requests that run at once.
    pub slots: u32,
    /// Capacity of the KV cache, which running requests and cached prompts
    /// share.
    pub memory: TokenCount,
    /// Maximum number of tokens in one event of a stream.
    pub event_tokens: u64,
}

/// One organisation of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrganisationEntry {
    /// Id of the organisation.
    pub id: OrganisationId,
    /// Priority of its requests; `None` if the route's applies.
    pub priority: Option<u8>,
    /// Prepaid tokens; `None` if the organisation does not prepay.
    pub paid: Option<TokenCount>,
    /// Regions in which its requests may run; empty if in all.
    pub homes: Box<[RegionId]>,
}

/// One accepted configuration.
#[derive(Clone, Debug, Default)]
pub struct ForwardConfig {
    /// Version number, set by the operator.
    pub version: u64,
    /// Routes by host and path.
    pub routes: RouteTable,
    /// Services, sorted by id.
    pub services: Box<[ServiceEntry]>,
    /// Organisations, sorted by id; empty if callers need no key.
    pub organisations: Box<[OrganisationEntry]>,
    /// Keys, each with its index in `organisations`, sorted by key.
    pub keys: Box<[(Box<str>, usize)]>,
    /// Limits on callers.
    pub limits: ForwardLimits,
}

impl ForwardConfig {
    /// The organisation that a key belongs to.
    #[must_use]
    pub fn organisation(&self, key: &str) -> Option<&OrganisationEntry> {
        let found = self.keys.binary_search_by(|(held, _)| (**held).cmp(key));
        let (_, index) = self.keys.get(found.ok()?)?;
        self.organisations.get(*index)
    }

    /// An organisation by its id.
    #[must_use]
    pub fn organisation_by_id(&self, id: &OrganisationId) -> Option<&OrganisationEntry> {
        let index = self
            .organisations
            .binary_search_by(|entry| entry.id.cmp(id));
        self.organisations.get(index.ok()?)
    }

    /// A service by its id.
    #[must_use]
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceEntry> {
        let index = self.services.binary_search_by(|entry| entry.id.cmp(id));
        self.services.get(index.ok()?)
    }

    /// Whether callers need a key on routes that are not public.
    #[must_use]
    pub fn needs_keys(&self) -> bool {
        !self.organisations.is_empty()
    }
}

/// Routes, looked up by host and longest path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Sorted by host, then by prefix.
    routes: Box<[Arc<RouteEntry>]>,
}

impl RouteTable {
    /// Creates a table of these routes.
    #[must_use]
    pub fn new(mut routes: Vec<RouteEntry>) -> Self {
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        Self {
            routes: routes.into_iter().map(Arc::new).collect(),
        }
    }

    /// The route with the longest prefix of `path`.
    ///
    /// Takes at most one binary search per slash in the path, whatever the
    /// number of routes.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteEntry>> {
        let host = host.to_ascii_lowercase();
        let slashes = path.rmatch_indices('/');
        slashes
            .map(|(slash, _)| &path[..=slash])
            .find_map(|prefix| self.find_exact(&host, prefix))
    }

    fn find_exact(&self, host: &str, prefix: &str) -> Option<&Arc<RouteEntry>> {
        let index = self
            .routes
            .binary_search_by(|route| (&*route.host, &*route.prefix).cmp(&(host, prefix)));
        self.routes.get(index.ok()?)
    }
}

impl RouteEntry {
    /// Whether requests of the route may go to a service.
    #[must_use]
    pub fn sends_to(&self, service: &ServiceId) -> bool {
        let mut shares = self.shares.iter();
        shares
            .any(|share| share.service == *service && (share.weight > 0 || self.shares.len() == 1))
    }

    /// The service for one request, chosen by weight; `draw` is uniform over
    /// all `u64`.
    #[must_use]
    pub fn service(&self, draw: u64) -> &ServiceId {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut offset = if total == 0 { 0 } else { draw % total };
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if offset < weight {
                return &share.service;
            }
            offset -= weight;
        }
        &self.shares[0].service
    }
}
