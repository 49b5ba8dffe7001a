//! Load reports as routers send them: which node polls which backend servers,
//! and which others hear of each.

use guavawell_core::backend::LoadReport;
use guavawell_core::backend::ReportBundle;
use guavawell_core::backend::RouterSubset;
use guavawell_core::backend::poll_turns;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::BackendId;
use guavawell_core::instance::GossipNote;
use guavawell_core::instance::MemberRecord;
use guavawell_core::instance::NoteScope;

use super::load::ZONES;
use super::load::instance;
use super::load::zone;

/// Backend servers and nodes of letter 1.
const SERVERS: usize = 2_200;
const NODES: usize = 390;
/// As in the router: up to these, everybody hears every report.
const SHARED_SERVERS: usize = 64;
const SHARED_ROUTERS: usize = 32;
/// As in the router: servers a router, routers a server, polls and notes.
const SUBSET: usize = 12;
const SHARERS: usize = 4;
const POLL_MILLIS: u64 = 500;
pub const SEEN_EVERY: ClockSpan = ClockSpan::from_millis(10_000);
pub const SUMMARY_EVERY: ClockSpan = ClockSpan::from_millis(5_000);
/// Targets in a zone's summary: letter 1's models.
const TARGETS: usize = 19;
/// Most bytes of a server in a note on servers alive: mark, models, flag.
const SEEN_BYTES: usize = 9;
/// Most bytes of a target in a note on a zone's use.
const USE_BYTES: usize = 7;

/// One node's servers and who hears of them.
pub struct NodeReports {
    /// Servers polled.
    servers: Vec<BackendId>,
    /// Receivers by place, each with its servers.
    receivers: Vec<(usize, Vec<BackendId>)>,
}

impl NodeReports {
    /// What node `place` of a fleet of `size` polls and sends.
    pub fn plan(place: usize, size: usize) -> Self {
        let own_zone = place % ZONES;
        let routers: Vec<_> = (0..size)
            .filter(|other| other % ZONES == own_zone)
            .collect();
        let ids = routers.iter().map(|router| instance(*router)).collect();
        let order = RouterSubset::new(instance(place), zone(own_zone), ids, SUBSET, SHARERS);
        let all = SERVERS * size / NODES;
        let in_zone = all.div_ceil(ZONES);
        let shared = all <= SHARED_SERVERS && size <= SHARED_ROUTERS;
        let polled = (0..in_zone).map(|number| server(own_zone, number));
        let mut plan = Self {
            servers: polled.filter(|id| order.rank(id) == Some(0)).collect(),
            receivers: Vec::new(),
        };
        for id in &plan.servers {
            let first = order.first(id, order.sharers(in_zone));
            let hears = |other: usize| shared || first.contains(&&instance(other));
            for other in (0..size).filter(|other| *other != place && hears(*other)) {
                let index = plan.receivers.partition_point(|(known, _)| *known < other);
                if plan
                    .receivers
                    .get(index)
                    .is_none_or(|(known, _)| *known != other)
                {
                    plan.receivers.insert(index, (other, Vec::new()));
                }
                plan.receivers[index].1.push(id.clone());
            }
        }
        plan
    }

    /// Time between two polls of a server.
    pub fn pause(&self) -> ClockSpan {
        ClockSpan::from_millis(POLL_MILLIS * poll_turns(self.servers.len()) as u64)
    }

    /// What is sent after each round of polls: receivers and payloads.
    pub fn bundles(&self, now: ClockTime) -> Vec<(usize, Vec<u8>)> {
        let bundle = |(receiver, servers): &(usize, Vec<BackendId>)| {
            let mut bundle = ReportBundle::new(now);
            for server in servers {
                assert!(bundle.add(server, &report(now)));
            }
            (*receiver, bundle.encode().expect("encodes"))
        };
        self.receivers.iter().map(bundle).collect()
    }

    /// The note on the servers seen alive, of the size that routers send.
    pub fn seen_note(&self, own: &MemberRecord, now: ClockTime) -> GossipNote {
        GossipNote {
            key: format!("seen/{}", own.instance).into(),
            scope: NoteScope::Zone(own.zone.clone()),
            version: now.as_millis(),
            bytes: vec![7; 1 + SEEN_BYTES * self.servers.len()].into(),
        }
    }
}

/// The note on a zone's use, of the size that routers send.
pub fn summary_note(own: &MemberRecord, now: ClockTime) -> GossipNote {
    GossipNote {
        key: format!("room/{}", own.zone).into(),
        scope: NoteScope::Passing,
        version: now.as_millis(),
        bytes: vec![7; 1 + USE_BYTES * TARGETS].into(),
    }
}

fn server(zone: usize, number: usize) -> BackendId {
    format!("runner-{zone}-{number:04}").parse().expect("an id")
}

fn report(now: ClockTime) -> LoadReport {
    LoadReport {
        at: now,
        running: 13,
        queued: 1,
        slots: 16,
        models: Vec::new(),
        role: "".into(),
    }
}
