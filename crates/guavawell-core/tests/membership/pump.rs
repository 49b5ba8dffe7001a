//! Simulated network of membership state machines: one message queue, one clock.

use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::InstanceId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::id::ZoneId;
use guavawell_core::instance::GossipMessage;
use guavawell_core::instance::ListedInstance;
use guavawell_core::instance::MAX_MESSAGE_BYTES;
use guavawell_core::instance::MemberEffect;
use guavawell_core::instance::MemberRecord;
use guavawell_core::instance::Membership;
use guavawell_core::instance::MembershipSettings;
use guavawell_core::instance::Reachability;
use guavawell_core::instance::draw_incarnation;

/// Time between two steps.
pub const STEP: ClockSpan = ClockSpan::from_millis(100);

/// One simulated instance.
pub struct PumpNode {
    pub membership: Membership,
    pub address: SocketAddr,
    pub running: bool,
    pub paused: bool,
    /// Messages are delivered only between nodes of the same partition.
    pub partition: u8,
    pub superseded: bool,
    /// Messages received while paused, handled when the node resumes.
    held_messages: Vec<(SocketAddr, GossipMessage)>,
}

/// The simulated instances and the messages between them.
pub struct MessagePump {
    pub now: ClockTime,
    pub nodes: Vec<PumpNode>,
    pub settings: MembershipSettings,
    /// Percentage of messages lost.
    pub loss_percent: u8,
    zones: usize,
    random: fastrand::Rng,
    messages: VecDeque<(SocketAddr, SocketAddr, GossipMessage)>,
}

impl MessagePump {
    /// Creates a pump without nodes; added ones are distributed over `zones` zones.
    pub fn new(zones: usize, seed: u64) -> Self {
        Self {
            now: ClockTime::from_millis(1_000_000),
            nodes: Vec::new(),
            settings: MembershipSettings::default(),
            loss_percent: 0,
            zones,
            random: fastrand::Rng::with_seed(seed),
            messages: VecDeque::new(),
        }
    }

    /// Creates a pump with `count` nodes that all know each other.
    pub fn converged(count: usize, zones: usize, seed: u64) -> Self {
        let mut pump = Self::new(zones, seed);
        for number in 0..count {
            pump.add(number);
        }
        pump.list_all();
        assert!(
            pump.run_until(600, MessagePump::is_converged),
            "never converged"
        );
        pump
    }

    /// Starts instance `number` at its own address, replacing any node there.
    pub fn add(&mut self, number: usize) -> usize {
        self.add_as(number, number)
    }

    /// Starts instance `number` at the address of instance `address_number`,
    /// replacing any node there; returns its index.
    pub fn add_as(&mut self, number: usize, address_number: usize) -> usize {
        let record = self.record(number, address_number);
        let address = record.gossip_address;
        let seed = self.random.u64(..);
        let node = PumpNode {
            membership: Membership::start(self.settings.clone(), record, seed, self.now),
            address,
            running: true,
            paused: false,
            partition: 0,
            superseded: false,
            held_messages: Vec::new(),
        };
        let former = self.nodes.iter().position(|old| old.address == address);
        if let Some(index) = former {
            self.nodes[index] = node;
            return index;
        }
        self.nodes.push(node);
        self.nodes.len() - 1
    }

    fn record(&mut self, number: usize, address_number: usize) -> MemberRecord {
        let host = 0x0a00_0000 + u32::try_from(address_number).expect("a small number");
        let address = |port: u16| SocketAddr::from((Ipv4Addr::from_bits(host), port));
        MemberRecord {
            instance: instance(number),
            incarnation: draw_incarnation(self.now, self.random.u64(..)),
            refutation: 0,
            zone: zone(address_number % self.zones),
            caller_address: address(8080),
            peer_address: address(8081),
            gossip_address: address(8082),
            reachability: Reachability::Reachable,
            leaving: false,
            manifest: ManifestVersion::new(1),
        }
    }

    /// Gives every node the list of the running nodes.
    pub fn list_all(&mut self) {
        let running = self.nodes.iter().filter(|node| node.running);
        let listed: Vec<_> = running.map(listed).collect();
        for node in &mut self.nodes {
            node.membership.set_listed(&listed);
        }
    }

    /// Advances the time, ticks every node that runs and is not paused, and
    /// delivers all messages that follow.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            if node.running && !node.paused {
                for (from, message) in std::mem::take(&mut node.held_messages) {
                    let effects = self.nodes[index]
                        .membership
                        .receive(from, &message, self.now);
                    self.apply_effects(index, effects);
                }
                let effects = self.nodes[index].membership.tick(self.now);
                self.apply_effects(index, effects);
            }
        }
        self.deliver();
    }

    /// Steps until `done`, at most `limit` times; false if it is still not done.
    pub fn run_until(&mut self, limit: usize, done: impl Fn(&Self) -> bool) -> bool {
        for _ in 0..limit {
            if done(self) {
                return true;
            }
            self.step();
        }
        done(self)
    }

    /// Announces that a node leaves.
    pub fn leave(&mut self, index: usize) {
        let effects = self.nodes[index].membership.leave(self.now);
        self.apply_effects(index, effects);
    }

    /// Whether every live node routes to exactly the live nodes.
    pub fn is_converged(&self) -> bool {
        let mut expected: Vec<_> = self.live().map(own_id).collect();
        expected.sort();
        self.live().all(|node| routable(node) == expected)
    }

    /// Nodes that run, are not paused and are not leaving.
    pub fn live(&self) -> impl Iterator<Item = &PumpNode> {
        let running = self
            .nodes
            .iter()
            .filter(|node| node.running && !node.paused);
        running.filter(|node| !node.membership.view().own().leaving)
    }

    fn apply_effects(&mut self, index: usize, effects: Vec<MemberEffect>) {
        for effect in effects {
            match effect {
                MemberEffect::Send { to, message } => {
                    let bytes = message.encode().expect("encodes");
                    assert!(bytes.len() <= MAX_MESSAGE_BYTES, "{} bytes", bytes.len());
                    let from = self.nodes[index].address;
                    self.messages.push_back((from, to, *message));
                }
                MemberEffect::Superseded { .. } => self.nodes[index].superseded = true,
                MemberEffect::Changed { .. } => {}
            }
        }
    }

    fn deliver(&mut self) {
        while let Some((from, to, message)) = self.messages.pop_front() {
            if self.random.u8(0..100) < self.loss_percent {
                continue;
            }
            let Some(index) = self.reachable(from, to) else {
                continue;
            };
            if self.nodes[index].paused {
                self.nodes[index].held_messages.push((from, message));
                continue;
            }
            let effects = self.nodes[index]
                .membership
                .receive(from, &message, self.now);
            self.apply_effects(index, effects);
        }
    }

    fn reachable(&self, from: SocketAddr, to: SocketAddr) -> Option<usize> {
        let index = self.nodes.iter().position(|node| node.address == to)?;
        let sender = self.nodes.iter().find(|node| node.address == from)?;
        let receiver = &self.nodes[index];
        (receiver.running && sender.partition == receiver.partition).then_some(index)
    }
}

/// The id of instance `number`.
pub fn instance(number: usize) -> InstanceId {
    format!("router-{number:03}").parse().expect("an id")
}

/// The id of zone `number`.
pub fn zone(number: usize) -> ZoneId {
    format!("zone-{number}").parse().expect("an id")
}

/// A node's own id.
pub fn own_id(node: &PumpNode) -> InstanceId {
    node.membership.view().own().instance.clone()
}

/// The ids that a node routes to, sorted.
pub fn routable(node: &PumpNode) -> Vec<InstanceId> {
    let view = node.membership.view();
    view.routable()
        .map(|member| member.instance.clone())
        .collect()
}

/// A node's entry in the platform's list.
pub fn listed(node: &PumpNode) -> ListedInstance {
    ListedInstance {
        instance: own_id(node),
        gossip_address: node.address,
        terminating: false,
    }
}
