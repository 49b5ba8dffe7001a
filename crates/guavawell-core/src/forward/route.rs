//! Routes, services and organisations of one accepted configuration.

use std::sync::Arc;

use crate::clock::ClockSpan;
use crate::forward::RetrySafety;
use crate::id::OrganisationId;
use crate::id::ServiceId;
use crate::id::TokenCount;

/// Bounds on what a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time from a head's first byte to its last.
    pub head_time: ClockSpan,
    /// Longest time that a connection stays idle between requests.
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

/// One service's part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteShare {
    /// The service.
    pub service: ServiceId,
    /// Its weight against the route's other shares.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteEntry {
    /// The operator's name of the route.
    pub name: Box<str>,
    /// The host that the route belongs to, in lower case.
    pub host: Box<str>,
    /// The path prefix; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Where the requests go; never empty.
    pub shares: Box<[RouteShare]>,
    /// What may be repeated.
    pub retry_safety: RetrySafety,
    /// The answer is a series of events.
    pub streaming: bool,
    /// Longest time that a request is kept.
    pub time_limit: ClockSpan,
    /// Time within which an answer is still of full use.
    pub target: ClockSpan,
    /// Most backend servers that one request may be sent to.
    pub attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// No key is asked for.
    pub public: bool,
}

/// One service of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceEntry {
    /// The service.
    pub id: ServiceId,
    /// What its model engines can hold; `None` for a plain service.
    pub engine: Option<EngineLimits>,
}

/// What is known of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLimits {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that running requests and kept prompts share.
    pub memory: TokenCount,
    /// Most tokens in one event of a stream.
    pub event_tokens: u64,
}

/// One organisation of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrganisationEntry {
    /// The organisation.
    pub id: OrganisationId,
    /// Rank of its requests, where it has one of its own.
    pub priority: Option<u8>,
    /// Tokens paid for; `None` where it pays otherwise.
    pub paid: Option<TokenCount>,
}

/// One accepted configuration.
#[derive(Clone, Debug, Default)]
pub struct ForwardConfig {
    /// The operator's version.
    pub version: u64,
    /// Routes by host and path.
    pub routes: RouteTable,
    /// Services, sorted by id.
    pub services: Box<[ServiceEntry]>,
    /// Organisations, sorted by id; empty where callers need no key.
    pub organisations: Box<[OrganisationEntry]>,
    /// Keys with the index of their organisation, sorted by key.
    pub keys: Box<[(Box<str>, usize)]>,
    /// Bounds on callers.
    pub limits: ForwardLimits,
}

impl ForwardConfig {
    /// The organisation that holds a key.
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

/// The routes, found by host and longest prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Sorted by host, then by prefix.
    routes: Box<[Arc<RouteEntry>]>,
}

impl RouteTable {
    /// A table of these routes.
    #[must_use]
    pub fn new(mut routes: Vec<RouteEntry>) -> Self {
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        Self {
            routes: routes.into_iter().map(Arc::new).collect(),
        }
    }

    /// The route with the longest prefix that begins `path`.
    ///
    /// Costs one binary search per slash of the path, whatever the number of
    /// routes.
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

    /// The service that a request goes to; `draw` is uniform over all `u64`.
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
