//! Requests between the instances of a fleet: their addresses, the key that
//! authenticates them, and the messages. The `budget` module reads and writes the
//! store's rows that hold the addresses and the key.

mod batch;
mod carriers;
mod channels;
mod key;
mod message;
mod received;
mod server;

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use event_listener::EventListener;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::grant::FleetMember;
use guavawell_core::id::InstanceId;
use guavawell_core::id::ZoneId;
use thiserror::Error;

use self::channels::PeerChannels;
use self::channels::PeerResponse;
use self::message::read_config;
use self::message::write_config;
use crate::clock::SteadyClock;
use crate::config::ConfigTracker;
use crate::config::PeerConfig;
use crate::http::ChannelError;
use crate::http::HeadWriter;
use crate::link::ByteMeter;
use crate::tunnel::RefusalNameError;

pub(crate) use self::batch::AddressBatches;
pub(crate) use self::carriers::Carrier;
pub use self::key::FleetKey;
pub(crate) use self::message::CONFIG_VERSION_FIELD;
pub(crate) use self::message::LimitReport;
pub(crate) use self::message::PeerRequest;
pub(crate) use self::message::ServerAnswer;
pub(crate) use self::message::WarmthReport;
pub(crate) use self::message::read_good_counts;
pub(crate) use self::message::read_loan_answer;
pub(crate) use self::message::read_origin;
pub(crate) use self::message::write_loan_answer;
pub(crate) use self::received::ReceivedRequest;
pub use self::server::serve_peers;

/// Time for which an instance that did not answer is avoided, since each request to it
/// would wait for its whole timeout. Doubled with each consecutive failure.
const UNREACHABLE_BACKOFF: ClockSpan = ClockSpan::from_millis(1_000);
/// Largest number of doublings of [`UNREACHABLE_BACKOFF`], so that an instance is
/// used again within seconds after it recovers.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Age from which the list of instances is old: two reads were missed.
const MAX_FLEET_AGE: ClockSpan = ClockSpan::from_millis(12_000);
/// Time after which what the previous process of this instance did no longer
/// counts, and instances that started together have read each other's rows.
const MIN_RUN_TIME: ClockSpan = ClockSpan::from_millis(3_000);

/// Timeout of a message that tells an instance something.
const TELL_TIMEOUT: Duration = Duration::from_secs(1);

/// Header field in which an operator sends the fleet's key.
pub const KEY_FIELD: &str = "Key";

/// Why a request to another instance failed.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The connection failed, or the response is malformed.
    #[error(transparent)]
    Channel(#[from] ChannelError),
    /// This process does not know the fleet's key yet, so nothing was sent.
    #[error("the fleet's key is not known yet")]
    NoKey,
    /// The response does not prove that its sender knows the fleet's key.
    #[error("response with status {0} has no valid proof of the fleet's key")]
    Unauthenticated(u16),
    /// The response to a request for a connection is malformed.
    #[error(transparent)]
    Tunnel(#[from] RefusalNameError),
    /// The instance has no configuration that it may pass on.
    #[error("the instance has no configuration from the store")]
    NoConfig,
}

impl PeerError {
    /// Whether no answer came within the time limit.
    pub(crate) const fn is_timeout(&self) -> bool {
        matches!(self, Self::Channel(ChannelError::TimedOut))
    }
}

/// An instance and its address for requests of other instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerEndpoint {
    /// The instance.
    pub member: FleetMember,
    /// The address.
    pub address: SocketAddr,
}

/// Another instance, and whether it was reachable.
#[derive(Clone, Debug)]
struct PeerEntry {
    endpoint: PeerEndpoint,
    /// Until this time the instance is avoided: only queries for the configuration
    /// may still be sent to it.
    backoff_until: ClockTime,
    /// Consecutive requests without an answer.
    failures: u32,
    /// Until this time the instance is not asked for connections to servers.
    carrier_paused_until: ClockTime,
    /// The instance's id, of which each connection that it carries holds a copy.
    carrier: Rc<InstanceId>,
}

impl PeerEntry {
    const fn instance(&self) -> &InstanceId {
        &self.endpoint.member.instance
    }
}

/// The other instances known to this process.
#[derive(Debug)]
pub struct PeerRegistry {
    clock: SteadyClock,
    /// This instance.
    own_instance: InstanceId,
    /// Availability zone of this instance.
    own_zone: ZoneId,
    /// Address for requests of other instances; `None` if this one takes none.
    own_address: Option<SocketAddr>,
    /// Sorted by instance.
    peers: RefCell<Vec<PeerEntry>>,
    /// All instances including this one, sorted, and when they were last read
    /// from the store.
    fleet: RefCell<(Rc<[InstanceId]>, ClockTime)>,
    /// Notified when the list of instances was read.
    fleet_read: Event,
    channels: PeerChannels,
    /// The fleet's key, once it was read from the store.
    key: Cell<Option<FleetKey>>,
    /// The configuration; every message names its version.
    configs: Rc<ConfigTracker>,
}

impl PeerRegistry {
    /// Creates a registry without instances.
    #[must_use]
    pub fn new(
        clock: SteadyClock,
        own: FleetMember,
        own_address: Option<SocketAddr>,
        configs: Rc<ConfigTracker>,
    ) -> Self {
        Self {
            own_instance: own.instance,
            own_zone: own.zone,
            configs,
            clock,
            own_address,
            peers: RefCell::default(),
            fleet: RefCell::new((Rc::default(), ClockTime::default())),
            fleet_read: Event::new(),
            channels: PeerChannels::default(),
            key: Cell::new(None),
        }
    }

    /// Address for requests of other instances; `None` if this one takes none.
    #[must_use]
    pub const fn own_address(&self) -> Option<SocketAddr> {
        self.own_address
    }

    /// Counts the bytes of connections to other instances.
    pub(crate) const fn meter(&self) -> &Rc<ByteMeter> {
        &self.channels.meter
    }

    /// Sets the fleet's key.
    pub fn set_key(&self, key: FleetKey) {
        self.key.set(Some(key));
    }

    /// The fleet's key; `None` until it is known.
    #[must_use]
    pub const fn key(&self) -> Option<FleetKey> {
        self.key.get()
    }

    /// Whether the text sent by an operator is the fleet's key.
    #[must_use]
    pub fn matches_key(&self, text: Option<&str>) -> bool {
        let key = self.key.get();
        key.is_some_and(|key| text == Some(key.to_hex().as_str()))
    }

    /// Replaces the instances by those read from the store. An instance that was
    /// known with the same address keeps its failures and backoff.
    pub(crate) fn set_endpoints(&self, endpoints: Vec<PeerEndpoint>) {
        let mut known = self.peers.borrow_mut();
        let entry = |endpoint: PeerEndpoint| {
            let previous = known.iter().find(|peer| peer.endpoint == endpoint);
            PeerEntry {
                backoff_until: previous.map_or(ClockTime::default(), |peer| peer.backoff_until),
                failures: previous.map_or(0, |peer| peer.failures),
                carrier_paused_until: previous
                    .map_or(ClockTime::default(), |peer| peer.carrier_paused_until),
                carrier: previous.map_or_else(
                    || Rc::new(endpoint.member.instance.clone()),
                    |peer| Rc::clone(&peer.carrier),
                ),
                endpoint,
            }
        };
        let mut peers: Vec<PeerEntry> = endpoints.into_iter().map(entry).collect();
        peers.sort_by(|one, other| one.instance().cmp(other.instance()));
        let others = peers.iter().map(PeerEntry::instance);
        let mut fleet: Vec<InstanceId> = others.chain([&self.own_instance]).cloned().collect();
        fleet.sort();
        *known = peers;
        self.fleet.replace((fleet.into(), self.clock.now()));
        self.fleet_read.notify(usize::MAX);
    }

    /// Completes when the list of instances is read next.
    pub(crate) fn listen_for_fleet(&self) -> EventListener {
        self.fleet_read.listen()
    }

    /// All instances including this one, as the store listed them last; empty if the
    /// list was not read yet.
    #[must_use]
    pub fn fleet(&self) -> Rc<[InstanceId]> {
        let (members, _) = &*self.fleet.borrow();
        Rc::clone(members)
    }

    /// All instances including this one, with their availability zones.
    pub(crate) fn members(&self) -> Vec<FleetMember> {
        let own = FleetMember {
            instance: self.own_instance.clone(),
            zone: self.own_zone.clone(),
        };
        let peers = self.peers.borrow();
        let others = peers.iter().map(|peer| peer.endpoint.member.clone());
        others.chain([own]).collect()
    }

    /// Whether the list of instances is recent, and this process did not just start.
    #[must_use]
    pub fn is_fleet_recent(&self) -> bool {
        let now = self.clock.now();
        let (_, read_at) = *self.fleet.borrow();
        let has_run = now.since(SteadyClock::ORIGIN) >= MIN_RUN_TIME;
        has_run && now.since(read_at) <= MAX_FLEET_AGE
    }

    /// Whether this instance's zone has others, as far as known.
    pub(crate) fn has_zone_neighbour(&self) -> bool {
        let peers = self.peers.borrow();
        let mut zones = peers.iter().map(|peer| &peer.endpoint.member.zone);
        zones.any(|zone| *zone == self.own_zone)
    }

    /// Number of other instances.
    pub(crate) fn count(&self) -> usize {
        self.peers.borrow().len()
    }

    /// Sends a request, without a retry; `limit` is the timeout for the response head.
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

    /// Tells an instance what this one has found out. An instance that misses it finds
    /// out by itself; `untold` counts them.
    pub(crate) async fn tell(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        untold: &'static str,
    ) {
        self.tell_within(address, request, untold, TELL_TIMEOUT)
            .await;
    }

    /// As [`tell`](Self::tell); `limit` is the timeout for the response head.
    pub(crate) async fn tell_within(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        untold: &'static str,
        limit: Duration,
    ) {
        if let Err(error) = self.send_request(address, request, limit).await {
            metrics::counter!(untold).increment(1);
            log::debug!("telling {address} {} failed: {error}", request.target());
        }
    }

    /// Requests the configuration from an instance. The response has the row only if
    /// its version is newer than `known`.
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

    /// Answers a request for the configuration: writes the header fields and returns
    /// the response body.
    pub(crate) fn answer_config(&self, known: u64, writer: &mut HeadWriter) -> Vec<u8> {
        let Some(answer) = self.configs.answer_peer(known) else {
            return Vec::new();
        };
        write_config(writer, &answer);
        answer.bytes
    }

    /// Processes the header field that names the version in force at another instance.
    pub(crate) fn receive_version(&self, text: Option<&str>) {
        if let Some(version) = text.and_then(|text| text.parse().ok()) {
            self.configs.observe_version(version);
        }
    }

    /// Writes the header field that names the version in force here.
    pub(crate) fn write_version(&self, writer: &mut HeadWriter) {
        writer.field_of(CONFIG_VERSION_FIELD, self.configs.version());
    }

    /// Availability zone of another instance.
    pub(crate) fn zone_of(&self, instance: &InstanceId) -> Option<ZoneId> {
        let peers = self.peers.borrow();
        let index = peers.binary_search_by(|peer| peer.instance().cmp(instance));
        Some(peers[index.ok()?].endpoint.member.zone.clone())
    }

    /// Address of an instance; `None` if it is unknown or in its backoff time.
    pub(crate) fn address_of(&self, instance: &InstanceId) -> Option<SocketAddr> {
        let peers = self.peers.borrow();
        let index = peers.binary_search_by(|peer| peer.instance().cmp(instance));
        let peer = &peers[index.ok()?];
        (self.clock.now() >= peer.backoff_until).then_some(peer.endpoint.address)
    }

    /// Addresses of other instances in the order given, those in their backoff time last.
    pub(crate) fn addresses_of<'a>(
        &self,
        order: impl IntoIterator<Item = &'a InstanceId>,
    ) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let peers = self.peers.borrow();
        let find = |instance: &InstanceId| {
            let index = peers.binary_search_by(|peer| peer.instance().cmp(instance));
            index.ok().map(|index| &peers[index])
        };
        let known = order.into_iter().filter_map(find);
        let (mut ordered, avoided): (Vec<_>, Vec<_>) =
            known.partition(|peer| now >= peer.backoff_until);
        ordered.extend(avoided);
        let endpoints = ordered.into_iter().map(|peer| peer.endpoint.address);
        endpoints.collect()
    }

    /// Addresses of all other instances, except those in their backoff time.
    pub(crate) fn addresses(&self) -> Vec<(InstanceId, SocketAddr)> {
        let now = self.clock.now();
        let peers = self.peers.borrow();
        let reachable = peers.iter().filter(|peer| now >= peer.backoff_until);
        reachable
            .map(|peer| (peer.instance().clone(), peer.endpoint.address))
            .collect()
    }

    /// Addresses of all other instances in random order, those in their backoff time
    /// last. One of the local availability zone comes first because it is the nearest;
    /// the rest are of any zone because the local one may be cut off.
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

    /// Starts the backoff time of an instance that did not answer.
    pub(crate) fn mark_unreachable(&self, instance: &InstanceId) {
        let now = self.clock.now();
        self.update(instance, |peer| {
            let span = UNREACHABLE_BACKOFF.as_millis() << peer.failures.min(MAX_BACKOFF_DOUBLINGS);
            peer.backoff_until = now + ClockSpan::from_millis(span);
            peer.failures += 1;
        });
    }

    /// Resets the failures of an instance that answered.
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
