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

use self::channels::PeerAnswer;
use self::channels::PeerChannels;
use self::question::read_config;
use self::question::write_config;
use crate::clock::SteadyClock;
use crate::config::ConfigTracker;
use crate::config::PeerConfig;
use crate::http::ChannelError;
use crate::http::HeadWriter;

pub use self::key::FleetKey;
pub(crate) use self::question::PeerQuestion;
pub(crate) use self::question::ReceivedQuestion;
pub(crate) use self::question::VERSION_FIELD;
pub(crate) use self::question::read_answer;
pub(crate) use self::question::write_answer;

/// How long an instance that did not answer is not asked again: a question to
/// one that is cut off costs its whole time limit. Doubled with each further
/// one that it does not answer.
const AVOID: ClockSpan = ClockSpan::from_millis(1_000);
/// Doublings of [`AVOID`] at most: one that is back is found within seconds.
const MAX_DOUBLINGS: u32 = 3;

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
    Unproved(u16),
    /// The instance knows no configuration.
    #[error("no configuration is known there")]
    NoConfig,
}

/// An instance and where it answers others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSeat {
    /// The instance.
    pub member: FleetMember,
    /// Where it answers.
    pub address: SocketAddr,
}

/// Another instance.
#[derive(Clone, Debug)]
struct PeerEntry {
    seat: PeerSeat,
    /// It is not asked before this time.
    avoided_until: ClockTime,
    /// Questions in a row that it did not answer.
    misses: u32,
}

impl PeerEntry {
    const fn instance(&self) -> &InstanceId {
        &self.seat.member.instance
    }
}

/// The other instances, as this process knows them.
#[derive(Debug)]
pub struct PeerDesk {
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

impl PeerDesk {
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
    pub fn knows_key(&self, text: Option<&str>) -> bool {
        let key = self.key.get();
        key.is_some_and(|key| text == Some(key.text().as_str()))
    }

    /// The other instances were read; what is known of how they answer stays.
    pub(crate) fn set_seats(&self, seats: Vec<PeerSeat>) {
        let mut known = self.peers.borrow_mut();
        let entry = |seat: PeerSeat| {
            let before = known.iter().find(|peer| peer.seat == seat);
            PeerEntry {
                avoided_until: before.map_or(ClockTime::default(), |peer| peer.avoided_until),
                misses: before.map_or(0, |peer| peer.misses),
                seat,
            }
        };
        let mut peers: Vec<PeerEntry> = seats.into_iter().map(entry).collect();
        peers.sort_by(|one, other| one.instance().cmp(other.instance()));
        *known = peers;
    }

    /// How many other instances there are.
    pub(crate) fn count(&self) -> usize {
        self.peers.borrow().len()
    }

    /// Asks one question, once; `limit` is for the answer's head.
    pub(crate) async fn ask(
        &self,
        address: SocketAddr,
        question: &PeerQuestion,
        limit: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        let key = self.key.get().ok_or(PeerError::NoKey)?;
        let version = self.configs.version();
        let asked = self.channels.ask(address, question, key, version, limit);
        let answer = asked.await?;
        self.hear_version(answer.head.fields.get(VERSION_FIELD));
        Ok(answer)
    }

    /// Asks an instance for the configuration, if it has one newer than `known`.
    pub(crate) async fn ask_config(
        &self,
        address: SocketAddr,
        known: u64,
        limit: Duration,
    ) -> Result<PeerConfig, PeerError> {
        let question = PeerQuestion::Config(known);
        let answer = self.ask(address, &question, limit).await?;
        read_config(&answer.head, answer.body).ok_or(PeerError::NoConfig)
    }

    /// Answers a question for the configuration; returns the answer's body.
    pub(crate) fn tell_config(&self, known: u64, writer: &mut HeadWriter) -> Vec<u8> {
        let Some(answer) = self.configs.answer_peer(known) else {
            return Vec::new();
        };
        write_config(writer, &answer);
        answer.bytes
    }

    /// A message named the version in force at another instance.
    pub(crate) fn hear_version(&self, text: Option<&str>) {
        if let Some(version) = text.and_then(|text| text.parse().ok()) {
            self.configs.observe_version(version);
        }
    }

    /// Names the version in force here.
    pub(crate) fn write_version(&self, writer: &mut HeadWriter) {
        writer.field_of(VERSION_FIELD, self.configs.version());
    }

    /// The zone of another instance.
    pub(crate) fn zone_of(&self, instance: &InstanceId) -> Option<ZoneId> {
        let peers = self.peers.borrow();
        let place = peers.binary_search_by(|peer| peer.instance().cmp(instance));
        Some(peers[place.ok()?].seat.member.zone.clone())
    }

    /// Where an instance answers, unless it lately did not.
    pub(crate) fn address_of(&self, instance: &InstanceId) -> Option<SocketAddr> {
        let peers = self.peers.borrow();
        let place = peers.binary_search_by(|peer| peer.instance().cmp(instance));
        let peer = &peers[place.ok()?];
        (self.clock.now() >= peer.avoided_until).then_some(peer.seat.address)
    }

    /// All instances that answer, but for those that lately did not.
    pub(crate) fn addresses(&self) -> Vec<(InstanceId, SocketAddr)> {
        let now = self.clock.now();
        let peers = self.peers.borrow();
        let able = peers.iter().filter(|peer| now >= peer.avoided_until);
        able.map(|peer| (peer.instance().clone(), peer.seat.address))
            .collect()
    }

    /// All instances in random order, those that lately did not answer last. One of
    /// the own availability zone comes first: it is the nearest, unless the zone is
    /// cut off.
    pub(crate) fn shuffled_addresses(&self) -> Vec<(InstanceId, SocketAddr)> {
        let now = self.clock.now();
        let mut peers: Vec<PeerEntry> = self.peers.borrow().clone();
        fastrand::shuffle(&mut peers);
        peers.sort_by_key(|peer| now < peer.avoided_until);
        let near = peers
            .iter()
            .position(|peer| peer.seat.member.zone == self.own_zone);
        if let Some(near) = near {
            peers[..=near].rotate_right(1);
        }
        let seats = peers.into_iter().map(|peer| peer.seat);
        seats
            .map(|seat| (seat.member.instance, seat.address))
            .collect()
    }

    /// An instance did not answer.
    pub(crate) fn avoid(&self, instance: &InstanceId) {
        let now = self.clock.now();
        self.change(instance, |peer| {
            let span = AVOID.as_millis() << peer.misses.min(MAX_DOUBLINGS);
            peer.avoided_until = now + ClockSpan::from_millis(span);
            peer.misses += 1;
        });
    }

    /// An instance answered.
    pub(crate) fn reached(&self, instance: &InstanceId) {
        self.change(instance, |peer| peer.misses = 0);
    }

    fn change(&self, instance: &InstanceId, change: impl FnOnce(&mut PeerEntry)) {
        let mut peers = self.peers.borrow_mut();
        if let Ok(place) = peers.binary_search_by(|peer| peer.instance().cmp(instance)) {
            change(&mut peers[place]);
        }
    }
}
