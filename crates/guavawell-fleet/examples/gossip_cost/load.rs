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
use guavawell_core::id::ManifestVersion;
use guavawell_core::instance::GossipMessage;
use guavawell_core::instance::GossipNote;
use guavawell_core::instance::GossipRumour;
use guavawell_core::instance::MemberEffect;
use guavawell_core::instance::MemberRecord;
use guavawell_core::instance::Membership;
use guavawell_core::instance::MembershipSettings;
use guavawell_core::instance::MessageBody;
use guavawell_core::instance::NoteScope;
use guavawell_core::instance::Reachability;
use guavawell_core::instance::draw_incarnation;
use guavawell_fleet::clock;
use guavawell_fleet::gossip::FleetKey;
use guavawell_fleet::gossip::FleetKeys;

use super::WorkKind;

/// Bytes of a load report.
const NOTE_BYTES: usize = 64;
/// Time between two load reports of a node.
const NOTE_INTERVAL: ClockSpan = ClockSpan::from_millis(4_000);
/// Backend servers that a node polls: 2,200 over 390 nodes.
const POLLED: u64 = 6;
/// Bytes of one backend server's load report as routers encode it.
const SERVER_NOTE_BYTES: usize = 12;
/// Time between two manifest versions: 6,800 a day.
const MANIFEST_INTERVAL: ClockSpan = ClockSpan::from_millis(12_700);
/// Time between two replaced instances.
const REPLACE_INTERVAL: ClockSpan = ClockSpan::from_millis(4_000);
/// Availability zones.
const ZONES: usize = 7;
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
    next_note: ClockTime,
}

/// All other nodes.
pub struct FleetLoad {
    nodes: Vec<LoadNode>,
    messages: VecDeque<(SocketAddr, SocketAddr, GossipMessage)>,
    work: WorkKind,
    now: ClockTime,
    next_replacement: ClockTime,
    replaced: usize,
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
                .map(|record| LoadNode::start(record, began))
                .collect(),
            messages: VecDeque::new(),
            work,
            now: began,
            next_replacement: began + SETTLING,
            replaced: 0,
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
        let node = &mut self.nodes[index];
        if self.work == WorkKind::Quiet || self.now < node.next_note {
            return;
        }
        node.next_note = self.now + note_interval(self.work);
        let report = load_report(node.membership.view().own(), self.now, self.work);
        node.membership.publish(&report, self.now).expect("taken");
        node.membership.set_manifest(manifest_at(self.now));
    }

    /// Announces that one node leaves, and starts the one that left before anew.
    fn replace_one(&mut self) {
        if self.work == WorkKind::Quiet || self.now < self.next_replacement {
            return;
        }
        self.next_replacement = self.now + REPLACE_INTERVAL;
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

    fn restart(&mut self, index: usize) {
        let seed = self.first_address();
        let node = &mut self.nodes[index];
        node.membership = start_membership(&record(index + 1, self.now), self.now);
        node.membership.seed(&[seed]);
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
        let payload = message.encode().expect("encodes");
        // While the measured node is not up yet, nothing is lost by a failure.
        let _sent = node.socket.send_to(&self.keys.seal(&payload), to);
    }

    fn deliver(&mut self) {
        while let Some((from, to, message)) = self.messages.pop_front() {
            let found = self.nodes.binary_search_by_key(&to, |node| node.address);
            if let Ok(index) = found {
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
                let message = GossipMessage::decode(payload).expect("decodes");
                let node = &mut self.nodes[index];
                let effects = node.membership.receive(from, &message, self.now);
                self.carry_out(index, effects);
            }
        }
    }
}

impl LoadNode {
    fn start(record: &MemberRecord, now: ClockTime) -> Self {
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
            next_note: now + spread(NOTE_INTERVAL),
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

/// Time between two notes of a node.
pub fn note_interval(work: WorkKind) -> ClockSpan {
    let servers = if work == WorkKind::Reports { POLLED } else { 1 };
    ClockSpan::from_millis(NOTE_INTERVAL.as_millis() / servers)
}

/// A node's load report for its zone, or that of one of its backend servers
/// in turn.
pub fn load_report(own: &MemberRecord, now: ClockTime, work: WorkKind) -> GossipNote {
    let turn = now.as_millis() / note_interval(work).as_millis() % POLLED;
    let (key, bytes) = match work {
        WorkKind::Reports => (format!("load/{}-{turn}", own.instance), SERVER_NOTE_BYTES),
        _ => (format!("load/{}", own.instance), NOTE_BYTES),
    };
    GossipNote {
        key: key.into(),
        scope: NoteScope::Zone(own.zone.clone()),
        version: now.as_millis(),
        bytes: vec![7; bytes].into(),
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

/// The record of node `place` in a life that starts `now`.
pub fn record(place: usize, now: ClockTime) -> MemberRecord {
    let gossip_address = address(place);
    let at = |port: u16| SocketAddr::new(gossip_address.ip(), port);
    MemberRecord {
        instance: format!("router-{place:03}").parse().expect("an id"),
        incarnation: draw_incarnation(now, 7),
        refutation: 0,
        zone: format!("region-1-zone-{}", place % ZONES)
            .parse()
            .expect("an id"),
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
