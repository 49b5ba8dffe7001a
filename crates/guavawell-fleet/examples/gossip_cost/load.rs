//! All other nodes: real state machines in one thread, one socket for each.

use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use cpu_time::ThreadTime;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::InstanceId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::id::ZoneId;
use guavawell_core::instance::GossipMessage;
use guavawell_core::instance::GossipRumour;
use guavawell_core::instance::MemberEffect;
use guavawell_core::instance::MemberRecord;
use guavawell_core::instance::Membership;
use guavawell_core::instance::MembershipSettings;
use guavawell_core::instance::MessageBody;
use guavawell_core::instance::Reachability;
use guavawell_core::instance::draw_incarnation;
use guavawell_fleet::clock;
use guavawell_fleet::gossip::FleetKey;
use guavawell_fleet::gossip::FleetKeys;

use super::WorkKind;
use super::report::NodeReports;
use super::report::SEEN_EVERY;
use super::report::SUMMARY_EVERY;
use super::report::summary_note;

/// Time between two manifest versions: 6,800 a day.
const MANIFEST_INTERVAL: ClockSpan = ClockSpan::from_millis(12_700);
/// Time between two replaced instances of a busy fleet.
const BUSY_REPLACEMENT: ClockSpan = ClockSpan::from_millis(4_000);
/// The same in letter 1: 438 a day.
const LETTER_REPLACEMENT: ClockSpan = ClockSpan::from_millis(197_000);
/// The zone that is parted.
const PARTED_ZONE: usize = 2;
/// Availability zones.
pub const ZONES: usize = 7;
/// Time that a zone is parted.
pub const PARTED_SPAN: ClockSpan = ClockSpan::from_millis(20_000);
/// Time from the start until a tenth is replaced or a zone parted.
const JOINING: ClockSpan = ClockSpan::from_millis(4_000);
/// Time between two ticks of a node.
const TICK: ClockSpan = ClockSpan::from_millis(100);
/// Time between two rounds of the load's thread.
const ROUND: Duration = Duration::from_millis(5);
/// Simulated time before the measurement, so that the start's news has died down.
const SETTLING: ClockSpan = ClockSpan::from_millis(15_000);
/// Port of every node.
const PORT: u16 = 18_946;

/// How much processor time the load's thread took.
#[derive(Clone, Debug)]
pub struct LoadClock {
    thread_nanos: Arc<AtomicU64>,
}

impl LoadClock {
    /// Processor time of the load's thread so far.
    pub fn thread_time(&self) -> Duration {
        Duration::from_nanos(self.thread_nanos.load(Ordering::Relaxed))
    }

    /// Notes the calling thread's time; only the load's thread calls this.
    fn note(&self) {
        let nanos = ThreadTime::now().as_duration().as_nanos();
        let nanos = u64::try_from(nanos).unwrap_or(u64::MAX);
        self.thread_nanos.store(nanos, Ordering::Relaxed);
    }
}

/// One of the other nodes.
struct LoadNode {
    membership: Membership,
    address: SocketAddr,
    socket: UdpSocket,
    next_tick: ClockTime,
    next_report: ClockTime,
    next_note: ClockTime,
    next_summary: ClockTime,
    reports: NodeReports,
}

/// All other nodes.
pub struct FleetLoad {
    nodes: Vec<LoadNode>,
    messages: VecDeque<(SocketAddr, SocketAddr, GossipMessage)>,
    work: WorkKind,
    now: ClockTime,
    next_replacement: ClockTime,
    replaced: usize,
    /// When a zone is parted, and when it is healed.
    parted: Option<(ClockTime, ClockTime)>,
    clock: LoadClock,
    keys: FleetKeys,
}

/// A load that runs.
pub struct RunningLoad {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl FleetLoad {
    /// The other `size - 1` nodes, knowing each other.
    pub fn start(size: usize, work: WorkKind) -> Self {
        let now = clock::now();
        let began = ClockTime::from_millis(now.as_millis() - SETTLING.as_millis());
        let records: Vec<_> = (1..size).map(|place| record(place, began)).collect();
        let mut fleet = Self {
            nodes: records
                .iter()
                .enumerate()
                .map(|(index, record)| LoadNode::start(index + 1, size, record, began))
                .collect(),
            messages: VecDeque::new(),
            work,
            now: began,
            next_replacement: ClockTime::from_millis(u64::MAX),
            replaced: 0,
            parted: None,
            clock: LoadClock {
                thread_nanos: Arc::default(),
            },
            keys: keys(),
        };
        fleet.introduce(&records);
        fleet.settle(now);
        fleet
    }

    pub fn first_address(&self) -> SocketAddr {
        self.nodes[0].address
    }

    /// Nodes, with the measured one.
    pub fn size(&self) -> usize {
        self.nodes.len() + 1
    }

    pub fn work(&self) -> WorkKind {
        self.work
    }

    pub fn clock(&self) -> LoadClock {
        self.clock.clone()
    }

    /// Runs the nodes on a thread.
    pub fn spawn(mut self) -> RunningLoad {
        self.next_replacement = clock::now() + first_replacement(self.work);
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                self.now = self.now.max(clock::now());
                self.read_sockets();
                self.round();
                self.clock.note();
                thread::sleep(ROUND);
            }
        });
        RunningLoad { stop, thread }
    }

    /// Hands every node all records, as a comparison would.
    fn introduce(&mut self, records: &[MemberRecord]) {
        let message = GossipMessage {
            sender: records[0].clone(),
            body: MessageBody::Page,
            rumours: records.iter().cloned().map(GossipRumour::Member).collect(),
        };
        for node in &mut self.nodes {
            let _answers = node
                .membership
                .receive(records[0].gossip_address, &message, self.now);
        }
    }

    /// Lets the start's news die down in simulated time.
    fn settle(&mut self, until: ClockTime) {
        while self.now < until {
            self.now = self.now + TICK;
            self.round();
        }
    }

    fn round(&mut self) {
        for index in 0..self.nodes.len() {
            self.renew_work(index);
            let node = &mut self.nodes[index];
            if self.now >= node.next_tick {
                node.next_tick = self.now + TICK;
                let effects = node.membership.tick(self.now);
                self.carry_out(index, effects);
                self.clock.note();
            }
        }
        self.replace_one();
        self.deliver();
    }

    fn renew_work(&mut self, index: usize) {
        if self.work == WorkKind::Quiet {
            return;
        }
        let now = self.now;
        let node = &mut self.nodes[index];
        if now >= node.next_note {
            node.next_note = now + SEEN_EVERY;
            let seen = node.reports.seen_note(node.membership.view().own(), now);
            node.membership.publish(&seen, now).expect("taken");
        }
        // One node of each zone speaks for it.
        if now >= node.next_summary && index < ZONES {
            node.next_summary = now + SUMMARY_EVERY;
            let summary = summary_note(node.membership.view().own(), now);
            node.membership.publish(&summary, now).expect("taken");
        }
        node.membership.set_manifest(manifest_at(now));
        if now >= node.next_report {
            node.next_report = now + node.reports.pause();
            self.send_reports(index);
        }
    }

    /// Sends the measured node what it hears; the rest is charged only.
    fn send_reports(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        for (receiver, bundle) in node.reports.bundles(self.now) {
            let payload = [&[0], &bundle[..]].concat();
            let allowed = node.membership.charge_report(payload.len(), self.now);
            if allowed && receiver == 0 {
                let _sent = node.socket.send_to(&self.keys.seal(&payload), address(0));
            }
        }
    }

    /// Announces that one node leaves, and starts the one that left before anew.
    fn replace_one(&mut self) {
        if self.now < self.next_replacement {
            return;
        }
        match self.work {
            WorkKind::Quiet => return,
            WorkKind::Tenth => return self.replace_tenth(),
            WorkKind::Parted => return self.part(),
            WorkKind::Letter => self.next_replacement = self.now + LETTER_REPLACEMENT,
            WorkKind::Busy => self.next_replacement = self.now + BUSY_REPLACEMENT,
        }
        let count = self.nodes.len();
        // The first node stays, as the measured one begins with it.
        let leaving = 1 + self.replaced % (count - 1);
        if self.replaced > 0 {
            let ended = 1 + (self.replaced - 1) % (count - 1);
            self.restart(ended);
        }
        self.replaced += 1;
        let effects = self.nodes[leaving].membership.leave(self.now);
        self.carry_out(leaving, effects);
    }

    /// Ends every tenth node at once and starts it anew.
    fn replace_tenth(&mut self) {
        self.next_replacement = ClockTime::from_millis(u64::MAX);
        for index in (1..self.nodes.len()).step_by(10) {
            self.restart(index);
        }
    }

    /// Parts one zone from all others for a while.
    fn part(&mut self) {
        self.next_replacement = ClockTime::from_millis(u64::MAX);
        self.parted = Some((self.now, self.now + PARTED_SPAN));
    }

    /// Whether a message passes between two places.
    fn passes(&self, from: usize, to: usize) -> bool {
        let parted = self
            .parted
            .is_some_and(|(start, end)| (start..end).contains(&self.now));
        !parted || (from % ZONES == PARTED_ZONE) == (to % ZONES == PARTED_ZONE)
    }

    fn restart(&mut self, index: usize) {
        let seed = self.first_address();
        let node = &mut self.nodes[index];
        node.membership = start_membership(&record(index + 1, self.now), self.now);
        node.membership.set_seeds(&[seed]);
    }

    fn carry_out(&mut self, index: usize, effects: Vec<MemberEffect>) {
        for effect in effects {
            if let MemberEffect::Send { to, message } = effect {
                self.send(index, to, *message);
            }
        }
    }

    fn send(&mut self, index: usize, to: SocketAddr, message: GossipMessage) {
        let node = &self.nodes[index];
        if to != address(0) {
            self.messages.push_back((node.address, to, message));
            return;
        }
        if !self.passes(index + 1, 0) {
            return;
        }
        let payload = message.encode().expect("encodes");
        // While the measured node is not up yet, nothing is lost by a failure.
        let _sent = node.socket.send_to(&self.keys.seal(&payload), to);
    }

    fn deliver(&mut self) {
        while let Some((from, to, message)) = self.messages.pop_front() {
            let found = self.nodes.binary_search_by_key(&to, |node| node.address);
            let sender = self.nodes.binary_search_by_key(&from, |node| node.address);
            if let (Ok(index), Ok(sender)) = (found, sender) {
                if !self.passes(sender + 1, index + 1) {
                    continue;
                }
                self.clock.note();
                let node = &mut self.nodes[index];
                let effects = node.membership.receive(from, &message, self.now);
                self.carry_out(index, effects);
            }
        }
    }

    /// Takes in what the measured node sent.
    fn read_sockets(&mut self) {
        let mut buffer = [0; 2_048];
        for index in 0..self.nodes.len() {
            while let Ok((length, from)) = self.nodes[index].socket.recv_from(&mut buffer) {
                let payload = self.keys.open(&buffer[..length]).expect("verifies");
                if payload[0] == 0 || !self.passes(0, index + 1) {
                    continue;
                }
                let message = GossipMessage::decode(payload).expect("decodes");
                let node = &mut self.nodes[index];
                let effects = node.membership.receive(from, &message, self.now);
                self.carry_out(index, effects);
            }
        }
    }
}

impl LoadNode {
    fn start(place: usize, size: usize, record: &MemberRecord, now: ClockTime) -> Self {
        let address = record.gossip_address;
        let socket = UdpSocket::bind(address).expect("binds");
        socket.set_nonblocking(true).expect("is allowed");
        let spread = |span: ClockSpan| {
            let place = u64::from(address.port()) + u64::from(last_octets(address));
            ClockSpan::from_millis(place * 37 % span.as_millis())
        };
        Self {
            membership: start_membership(record, now),
            address,
            socket,
            next_tick: now + spread(TICK),
            next_report: now + spread(SUMMARY_EVERY),
            next_note: now + spread(SEEN_EVERY),
            next_summary: now + spread(SUMMARY_EVERY),
            reports: NodeReports::plan(place, size),
        }
    }
}

impl RunningLoad {
    /// Ends the thread.
    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("the load ends");
    }
}

fn start_membership(record: &MemberRecord, now: ClockTime) -> Membership {
    let seed = u64::from(last_octets(record.gossip_address));
    Membership::start(MembershipSettings::default(), record.clone(), seed, now)
}

/// When the first node is replaced, after the node measured has joined.
fn first_replacement(work: WorkKind) -> ClockSpan {
    match work {
        WorkKind::Tenth | WorkKind::Parted => JOINING,
        _ => ClockSpan::default(),
    }
}

/// The manifest version in force at a time.
pub fn manifest_at(now: ClockTime) -> ManifestVersion {
    ManifestVersion::new(now.as_millis() / MANIFEST_INTERVAL.as_millis())
}

/// The keys of the fleet under test.
pub fn keys() -> FleetKeys {
    FleetKeys::new(FleetKey::from_text("gossip cost"), Vec::new())
}

/// Where node `place` receives gossip: one loopback address each.
pub fn address(place: usize) -> SocketAddr {
    let host = u32::try_from(place).expect("a small number");
    let base = Ipv4Addr::new(127, 0, 1, 1).to_bits();
    SocketAddr::from((Ipv4Addr::from_bits(base + host), PORT))
}

/// The id of node `place`.
pub fn instance(place: usize) -> InstanceId {
    format!("router-{place:03}").parse().expect("an id")
}

/// The id of a zone.
pub fn zone(number: usize) -> ZoneId {
    format!("region-1-zone-{number}").parse().expect("an id")
}

/// The record of node `place` in a life that starts `now`.
pub fn record(place: usize, now: ClockTime) -> MemberRecord {
    let gossip_address = address(place);
    let at = |port: u16| SocketAddr::new(gossip_address.ip(), port);
    MemberRecord {
        instance: instance(place),
        incarnation: draw_incarnation(now, 7),
        refutation: 0,
        zone: zone(place % ZONES),
        caller_address: at(8_080),
        peer_address: at(8_082),
        gossip_address,
        reachability: Reachability::Reachable,
        leaving: false,
        manifest: ManifestVersion::new(1),
    }
}

fn last_octets(address: SocketAddr) -> u32 {
    match address {
        SocketAddr::V4(address) => address.ip().to_bits() & 0xffff,
        SocketAddr::V6(_) => 0,
    }
}
