//! The driver: one UDP socket, one state machine, one published view.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::ManifestVersion;
use guavawell_core::instance::GossipCounts;
use guavawell_core::instance::GossipMessage;
use guavawell_core::instance::GossipNote;
use guavawell_core::instance::ListedInstance;
use guavawell_core::instance::MemberEffect;
use guavawell_core::instance::MemberRecord;
use guavawell_core::instance::MemberView;
use guavawell_core::instance::Membership;
use guavawell_core::instance::MembershipSettings;
use guavawell_core::instance::NoteError;
use smol::Timer;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::net::UdpSocket;

use super::count::DatagramMeter;
use super::count::show_counts;
use super::count::show_members;
use super::key::FleetKeys;
use super::key::SealError;
use super::report::read_report;
use super::report::report_payload;
use crate::clock;
use crate::drill::LinkGate;

/// Largest datagram read; larger ones are cut and fail to verify.
const RECEIVE_BYTES: usize = 2_048;

/// Received load reports that wait to be taken; further ones are dropped.
const WAITING_REPORTS: usize = 256;

/// What a driver is started with.
#[derive(Clone, Debug)]
pub struct DriverSettings {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// The fleet's keys.
    pub keys: FleetKeys,
    /// Gossip addresses that are tried while nobody is known there.
    pub seeds: Vec<SocketAddr>,
    /// Rules of the membership.
    pub membership: MembershipSettings,
    /// Time between two ticks of the membership.
    pub tick: ClockSpan,
    /// Seed of the membership's random choices.
    pub random_seed: u64,
    /// The clock.
    pub now: fn() -> ClockTime,
    /// Cuts addresses off in failure drills.
    pub gate: LinkGate,
}

impl DriverSettings {
    /// Settings with defaults for everything but the address and the keys.
    #[must_use]
    pub fn new(listen: SocketAddr, keys: FleetKeys) -> Self {
        Self {
            listen,
            keys,
            seeds: Vec::new(),
            membership: MembershipSettings::default(),
            tick: ClockSpan::from_millis(100),
            random_seed: fastrand::u64(..),
            now: clock::now,
            gate: LinkGate::default(),
        }
    }
}

/// Receives changes of members and the end of this life; called without a lock held.
type ChangeListener = Box<dyn Fn(&MemberEffect) + Send + Sync>;

/// A handle to this instance's gossip; clones share it.
#[derive(Clone)]
pub struct GossipDriver {
    shared: Arc<DriverState>,
}

struct DriverState {
    socket: UdpSocket,
    address: SocketAddr,
    membership: Mutex<Membership>,
    view: ArcSwap<MemberView>,
    published: AtomicU64,
    keys: ArcSwap<FleetKeys>,
    meter: DatagramMeter,
    waiting_reports: Sender<Box<[u8]>>,
    reports: Receiver<Box<[u8]>>,
    tick: ClockSpan,
    now: fn() -> ClockTime,
    gate: LinkGate,
    listener: ChangeListener,
}

impl GossipDriver {
    /// Opens the socket and starts a membership that knows only `own`.
    ///
    /// `own`'s gossip address is replaced by the socket's. `listener` hears of
    /// [`MemberEffect::Changed`] and [`MemberEffect::Superseded`].
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn bind(
        settings: DriverSettings,
        own: MemberRecord,
        listener: impl Fn(&MemberEffect) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(settings.listen).await?;
        let address = socket.local_addr()?;
        let own = MemberRecord {
            gossip_address: address,
            ..own
        };
        let started_at = (settings.now)();
        let mut membership =
            Membership::start(settings.membership, own, settings.random_seed, started_at);
        membership.set_seeds(&settings.seeds);
        let view = ArcSwap::from_pointee(membership.view());
        let (waiting_reports, reports) = channel::bounded(WAITING_REPORTS);
        let shared = DriverState {
            socket,
            address,
            published: AtomicU64::new(membership.revision()),
            membership: Mutex::new(membership),
            view,
            keys: ArcSwap::from_pointee(settings.keys),
            meter: DatagramMeter::default(),
            waiting_reports,
            reports,
            tick: settings.tick,
            now: settings.now,
            gate: settings.gate,
            listener: Box::new(listener),
        };
        Ok(Self {
            shared: Arc::new(shared),
        })
    }

    /// Receives and ticks until the socket fails; drop the future to stop.
    ///
    /// # Errors
    ///
    /// Returns the socket's error.
    pub async fn run(&self) -> io::Result<()> {
        // Receiving is polled first, so that answers which came in while this
        // process was busy count before probes are given up.
        smol::future::or(self.receive_all(), self.tick_all()).await
    }

    /// Where this instance receives gossip.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// The fleet as it is known now; takes no lock.
    #[must_use]
    pub fn view(&self) -> Arc<MemberView> {
        self.shared.view.load_full()
    }

    /// Takes the platform's list.
    pub fn list(&self, listed: &[ListedInstance]) {
        self.membership().set_listed(listed);
    }

    /// Announces that this instance leaves.
    pub async fn leave(&self) {
        let effects = self.membership().leave(self.now());
        self.carry_out(effects).await;
    }

    /// Notes the manifest version that this instance has in force.
    pub fn set_manifest(&self, manifest: ManifestVersion) {
        self.membership().set_manifest(manifest);
        self.publish_view();
    }

    /// Publishes a note.
    ///
    /// # Errors
    ///
    /// Returns an error if the note is too large, of another zone, or one too many.
    pub fn publish(&self, note: &GossipNote) -> Result<(), NoteError> {
        self.membership().publish(note, self.now())?;
        self.publish_view();
        Ok(())
    }

    /// Sends load reports to one member, beside gossip; false if the allowance
    /// is needed for membership.
    pub async fn send_report(&self, to: SocketAddr, bundle: &[u8]) -> bool {
        let payload = report_payload(bundle);
        let allowed = self.membership().charge_report(payload.len(), self.now());
        if allowed && !self.shared.gate.cuts_gossip(to) {
            self.send_payload(to, &payload).await;
        }
        allowed
    }

    /// The next load reports that another member sent.
    ///
    /// # Errors
    ///
    /// Never returns an error while a handle to this gossip exists.
    pub async fn next_report(&self) -> Result<Box<[u8]>, channel::RecvError> {
        self.shared.reports.recv().await
    }

    /// Replaces the fleet's keys.
    pub fn replace_keys(&self, keys: FleetKeys) {
        self.shared.keys.store(Arc::new(keys));
    }

    /// Datagrams and bytes so far.
    #[must_use]
    pub fn datagram_counts(&self) -> super::DatagramCounts {
        self.shared.meter.counts()
    }

    /// The membership's own counters.
    #[must_use]
    pub fn gossip_counts(&self) -> GossipCounts {
        self.membership().counts()
    }

    async fn receive_all(&self) -> io::Result<()> {
        let mut buffer = [0; RECEIVE_BYTES];
        loop {
            let (length, from) = match self.shared.socket.recv_from(&mut buffer).await {
                Ok(datagram) => datagram,
                Err(error) if is_passing(&error) => continue,
                Err(error) => return Err(error),
            };
            if self.shared.gate.cuts_gossip(from) {
                continue;
            }
            self.shared.meter.count_received(length);
            let Some(payload) = self.open(&buffer[..length]) else {
                continue;
            };
            if let Some(bundle) = read_report(payload) {
                self.keep_report(bundle);
            } else if let Some(message) = self.decode(payload) {
                let effects = self.membership().receive(from, &message, self.now());
                self.carry_out(effects).await;
            }
        }
    }

    async fn tick_all(&self) -> io::Result<()> {
        let mut timer = Timer::interval(clock::duration(self.shared.tick));
        loop {
            smol::stream::StreamExt::next(&mut timer).await;
            let (effects, counts) = {
                let mut membership = self.membership();
                let effects = membership.tick(self.now());
                (effects, membership.counts())
            };
            show_counts(&counts);
            self.carry_out(effects).await;
        }
    }

    fn open<'a>(&self, datagram: &'a [u8]) -> Option<&'a [u8]> {
        let keys = self.shared.keys.load();
        match keys.open(datagram) {
            Ok(payload) => return Some(payload),
            Err(SealError::Unverified) => self.shared.meter.count_unverified(),
            Err(SealError::Layout) => self.shared.meter.count_malformed(),
        }
        None
    }

    fn keep_report(&self, bundle: &[u8]) {
        if self.shared.waiting_reports.try_send(bundle.into()).is_err() {
            self.shared.meter.count_report_dropped();
        }
    }

    fn decode(&self, payload: &[u8]) -> Option<GossipMessage> {
        let message = GossipMessage::decode(payload);
        if message.is_err() {
            self.shared.meter.count_malformed();
        }
        message.ok()
    }

    async fn carry_out(&self, effects: Vec<MemberEffect>) {
        self.publish_view();
        for effect in effects {
            match effect {
                MemberEffect::Send { to, message } => self.send(to, &message).await,
                change => (self.shared.listener)(&change),
            }
        }
    }

    async fn send(&self, to: SocketAddr, message: &GossipMessage) {
        if self.shared.gate.cuts_gossip(to) {
            return;
        }
        let Ok(payload) = message.encode() else {
            self.shared.meter.count_send_failure();
            return;
        };
        self.send_payload(to, &payload).await;
    }

    async fn send_payload(&self, to: SocketAddr, payload: &[u8]) {
        let datagram = self.shared.keys.load().seal(payload);
        match self.shared.socket.send_to(&datagram, to).await {
            Ok(_) => self.shared.meter.count_sent(datagram.len()),
            Err(_) => self.shared.meter.count_send_failure(),
        }
    }

    /// Publishes the view if the membership has changed since.
    fn publish_view(&self) {
        let membership = self.membership();
        let revision = membership.revision();
        if self.shared.published.swap(revision, Ordering::Relaxed) == revision {
            return;
        }
        let view = membership.view();
        show_members(&view);
        // Stored under the lock, so that no older view replaces a newer one.
        self.shared.view.store(Arc::new(view));
    }

    fn membership(&self) -> MutexGuard<'_, Membership> {
        let lock = self.shared.membership.lock();
        lock.unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> ClockTime {
        (self.shared.now)()
    }
}

/// Errors that a UDP socket reports about an earlier datagram.
fn is_passing(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::Interrupted
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
    )
}
