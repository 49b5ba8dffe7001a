//! Talk between the instances of a fleet: who they are, by which key they know each
//! other, and what they ask. Rows that say so lie in the store; `budget` reads and
//! writes them.

mod channels;
mod key;
mod question;

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::grant::FleetMember;
use guavawell_core::id::InstanceId;
use guavawell_core::id::ZoneId;
use thiserror::Error;

use self::channels::PeerChannels;
use self::channels::PeerResponse;
use self::question::read_config;
use self::question::write_config;
use crate::clock::SteadyClock;
use crate::config::ConfigTracker;
use crate::config::PeerConfig;
use crate::http::ChannelError;
use crate::http::HeadWriter;

pub use self::key::FleetKey;
pub(crate) use self::question::CONFIG_VERSION_FIELD;
pub(crate) use self::question::PeerRequest;
pub(crate) use self::question::ReceivedRequest;
pub(crate) use self::question::read_loan_answer;
pub(crate) use self::question::write_loan_answer;

/// How long an instance that did not answer is not asked again: a question to
/// one that is cut off costs its whole time limit. Doubled with each further
/// one that it does not answer.
const UNREACHABLE_BACKOFF: ClockSpan = ClockSpan::from_millis(1_000);
/// Doublings of [`UNREACHABLE_BACKOFF`] at most: one that is back is found within seconds.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Field by which an operator shows the fleet's key.
pub const KEY_FIELD: &str = "Key";

/// Why another instance gave no answer that counts.
#[derive(Debug, Error)]
pub enum PeerError {
    /// Nothing came of it.
    #[error(transparent)]
    Channel(#[from] ChannelError),
    /// This process does not know the fleet's key, so nobody was asked.
    #[error("the fleet's key is not known yet")]
    NoKey,
    /// Whoever answered did not prove to know the fleet's key.
    #[error("an answer with status {0} that bears no proof of the fleet's key")]
    Unauthenticated(u16),
    /// The instance knows no configuration.
    #[error("no configuration is known there")]
    NoConfig,
}

/// An instance and where it answers others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerEndpoint {
    /// The instance.
    pub member: FleetMember,
    /// Where it answers.
    pub address: SocketAddr,
}

/// Another instance.
#[derive(Clone, Debug)]
struct PeerEntry {
    endpoint: PeerEndpoint,
    /// It is not asked before this time.
    backoff_until: ClockTime,
    /// Questions in a row that it did not answer.
    failures: u32,
}

impl PeerEntry {
    const fn instance(&self) -> &InstanceId {
        &self.endpoint.member.instance
    }
}

/// The other instances, as this process knows them.
#[derive(Debug)]
pub struct PeerRegistry {
    clock: SteadyClock,
    /// The own availability zone.
    own_zone: ZoneId,
    /// Where this instance answers others; `None` if it does not.
    own_address: Option<SocketAddr>,
    /// Sorted by instance.
    peers: RefCell<Vec<PeerEntry>>,
    channels: PeerChannels,
    /// What proves to other instances that this one is of the fleet.
    key: Cell<Option<FleetKey>>,
    /// The configuration, whose version goes with every message.
    configs: Rc<ConfigTracker>,
}

impl PeerRegistry {
    /// A desk that knows no other instance yet.
    #[must_use]
    pub fn new(
        clock: SteadyClock,
        own_zone: ZoneId,
        own_address: Option<SocketAddr>,
        configs: Rc<ConfigTracker>,
    ) -> Self {
        Self {
            own_zone,
            configs,
            clock,
            own_address,
            peers: RefCell::default(),
            channels: PeerChannels::default(),
            key: Cell::new(None),
        }
    }

    /// Where this instance answers others; `None` if it does not.
    #[must_use]
    pub const fn own_address(&self) -> Option<SocketAddr> {
        self.own_address
    }

    /// The fleet's key was read.
    pub fn set_key(&self, key: FleetKey) {
        self.key.set(Some(key));
    }

    /// The fleet's key, once it is known.
    #[must_use]
    pub const fn key(&self) -> Option<FleetKey> {
        self.key.get()
    }

    /// Whether an operator shows the fleet's key.
    #[must_use]
    pub fn matches_key(&self, text: Option<&str>) -> bool {
        let key = self.key.get();
        key.is_some_and(|key| text == Some(key.text().as_str()))
    }

    /// The other instances were read; what is known of how they answer stays.
    pub(crate) fn set_endpoints(&self, endpoints: Vec<PeerEndpoint>) {
        let mut known = self.peers.borrow_mut();
        let entry = |endpoint: PeerEndpoint| {
            let previous = known.iter().find(|peer| peer.endpoint == endpoint);
            PeerEntry {
                backoff_until: previous.map_or(ClockTime::default(), |peer| peer.backoff_until),
                failures: previous.map_or(0, |peer| peer.failures),
                endpoint,
            }
        };
        let mut peers: Vec<PeerEntry> = endpoints.into_iter().map(entry).collect();
        peers.sort_by(|one, other| one.instance().cmp(other.instance()));
        *known = peers;
    }

    /// How many other instances there are.
    pub(crate) fn count(&self) -> usize {
        self.peers.borrow().len()
    }

    /// Asks one question, once; `limit` is for the answer's head.
    pub(crate) async fn send_request(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        limit: Duration,
    ) -> Result<PeerResponse, PeerError> {
        let key = self.key.get().ok_or(PeerError::NoKey)?;
        let version = self.configs.version();
        let response = self
            .channels
            .send_request(address, request, key, version, limit);
        let response = response.await?;
        self.receive_version(response.head.fields.get(CONFIG_VERSION_FIELD));
        Ok(response)
    }

    /// Asks an instance for the configuration, if it has one newer than `known`.
    pub(crate) async fn fetch_config(
        &self,
        address: SocketAddr,
        known: u64,
        limit: Duration,
    ) -> Result<PeerConfig, PeerError> {
        let request = PeerRequest::Config(known);
        let response = self.send_request(address, &request, limit).await?;
        read_config(&response.head, response.body).ok_or(PeerError::NoConfig)
    }

    /// Answers a question for the configuration; returns the answer's body.
    pub(crate) fn answer_config(&self, known: u64, writer: &mut HeadWriter) -> Vec<u8> {
        let Some(answer) = self.configs.answer_peer(known) else {
            return Vec::new();
        };
        write_config(writer, &answer);
        answer.bytes
    }

    /// A message named the version in force at another instance.
    pub(crate) fn receive_version(&self, text: Option<&str>) {
        if let Some(version) = text.and_then(|text| text.parse().ok()) {
            self.configs.observe_version(version);
        }
    }

    /// Names the version in force here.
    pub(crate) fn write_version(&self, writer: &mut HeadWriter) {
        writer.field_of(CONFIG_VERSION_FIELD, self.configs.version());
    }

    /// The zone of another instance.
    pub(crate) fn zone_of(&self, instance: &InstanceId) -> Option<ZoneId> {
        let peers = self.peers.borrow();
        let index = peers.binary_search_by(|peer| peer.instance().cmp(instance));
        Some(peers[index.ok()?].endpoint.member.zone.clone())
    }

    /// Where an instance answers, unless it lately did not.
    pub(crate) fn address_of(&self, instance: &InstanceId) -> Option<SocketAddr> {
        let peers = self.peers.borrow();
        let index = peers.binary_search_by(|peer| peer.instance().cmp(instance));
        let peer = &peers[index.ok()?];
        (self.clock.now() >= peer.backoff_until).then_some(peer.endpoint.address)
    }

    /// All instances that answer, but for those that lately did not.
    pub(crate) fn addresses(&self) -> Vec<(InstanceId, SocketAddr)> {
        let now = self.clock.now();
        let peers = self.peers.borrow();
        let reachable = peers.iter().filter(|peer| now >= peer.backoff_until);
        reachable
            .map(|peer| (peer.instance().clone(), peer.endpoint.address))
            .collect()
    }

    /// All instances in random order, those that lately did not answer last. One of
    /// the own availability zone comes first: it is the nearest, unless the zone is
    /// cut off.
    pub(crate) fn shuffled_addresses(&self) -> Vec<(InstanceId, SocketAddr)> {
        let now = self.clock.now();
        let mut peers: Vec<PeerEntry> = self.peers.borrow().clone();
        fastrand::shuffle(&mut peers);
        peers.sort_by_key(|peer| now < peer.backoff_until);
        let local = peers
            .iter()
            .position(|peer| peer.endpoint.member.zone == self.own_zone);
        if let Some(local) = local {
            peers[..=local].rotate_right(1);
        }
        let endpoints = peers.into_iter().map(|peer| peer.endpoint);
        endpoints
            .map(|endpoint| (endpoint.member.instance, endpoint.address))
            .collect()
    }

    /// An instance did not answer.
    pub(crate) fn mark_unreachable(&self, instance: &InstanceId) {
        let now = self.clock.now();
        self.update(instance, |peer| {
            let span = UNREACHABLE_BACKOFF.as_millis() << peer.failures.min(MAX_BACKOFF_DOUBLINGS);
            peer.backoff_until = now + ClockSpan::from_millis(span);
            peer.failures += 1;
        });
    }

    /// An instance answered.
    pub(crate) fn mark_reachable(&self, instance: &InstanceId) {
        self.update(instance, |peer| peer.failures = 0);
    }

    fn update(&self, instance: &InstanceId, update: impl FnOnce(&mut PeerEntry)) {
        let mut peers = self.peers.borrow_mut();
        if let Ok(index) = peers.binary_search_by(|peer| peer.instance().cmp(instance)) {
            update(&mut peers[index]);
        }
    }
}
