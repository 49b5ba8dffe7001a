//! A router gives back a reservation that it was refused, wherever it asked.
//!
//! One slot driver that holds nothing; a script answers for the two routers of
//! its zone. An attempt that is not granted never runs, so a router that was
//! asked for it and did not answer, or a holder that inherited it, would keep it
//! reserved.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use guavawell_core::budget::HolderSettings;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::ReleaseAnswer;
use guavawell_core::budget::ReserveAnswer;
use guavawell_core::budget::ReserveRequest;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::AttemptId;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::InstanceId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::id::TokenCount;
use guavawell_core::instance::GossipMessage;
use guavawell_core::instance::MemberRecord;
use guavawell_core::instance::MemberView;
use guavawell_core::instance::Membership;
use guavawell_core::instance::MembershipSettings;
use guavawell_core::instance::MessageBody;
use guavawell_core::instance::Reachability;
use guavawell_core::request::RequestDigest;
use guavawell_core::request::RequestIdentity;
use guavawell_fleet::drill::LinkGate;
use guavawell_fleet::event::EventLog;
use guavawell_fleet::journal::JournalDriver;
use guavawell_fleet::journal::JournalSettings;
use guavawell_fleet::peer::PeerError;
use guavawell_fleet::peer::PeerFailure;
use guavawell_fleet::peer::PeerReply;
use guavawell_fleet::peer::PeerRequest;
use guavawell_fleet::platform::Objects;
use guavawell_fleet::platform::PoolSettings;
use guavawell_fleet::platform::Table;
use guavawell_fleet::slot::PeerLink;
use guavawell_fleet::slot::SlotDriver;
use guavawell_fleet::slot::SlotParts;
use guavawell_fleet::slot::SlotTable;
use guavawell_fleet::slot::SlotTimes;
use guavawell_fleet::task::TaskThreads;
use smol::Timer;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;

/// Releases are sent in the background.
const LONGEST_WAIT: Duration = Duration::from_secs(20);

/// What the script answers to a reservation; `None` is no answer.
type ScriptedAnswer = Option<ReserveAnswer>;

/// A release as a router was told it.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ToldRelease {
    target: InstanceId,
    attempt: AttemptId,
    is_limited: bool,
}

/// One router that asks, and those that it asks by a script.
struct ScriptedZone {
    driver: Arc<SlotDriver>,
    threads: TaskThreads,
    script: Arc<Mutex<VecDeque<ScriptedAnswer>>>,
    /// Who was asked to reserve, in order.
    asked: Arc<Mutex<Vec<InstanceId>>>,
    releases: Receiver<ToldRelease>,
}

fn life(name: &str) -> InstanceIncarnation {
    InstanceIncarnation {
        instance: name.parse().unwrap(),
        incarnation: IncarnationId::new(1),
    }
}

fn record(name: &str, zone: &str, port: u16) -> MemberRecord {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    MemberRecord {
        instance: name.parse().unwrap(),
        incarnation: IncarnationId::new(1),
        refutation: 0,
        zone: zone.parse().unwrap(),
        caller_address: address,
        peer_address: address,
        gossip_address: address,
        reachability: Reachability::Reachable,
        leaving: false,
        manifest: ManifestVersion::new(1),
    }
}

/// The asking router, and two routers of the slot's zone that may own the slot.
fn view() -> Arc<MemberView> {
    let now = ClockTime::from_millis(1);
    let own = record("asker", "elsewhere", 9_000);
    let mut membership = Membership::start(MembershipSettings::default(), own, 1, now);
    for (name, port) in [("first", 9_001), ("second", 9_002)] {
        let member = record(name, "z", port);
        let message = GossipMessage {
            sender: member.clone(),
            body: MessageBody::News,
            rumours: Vec::new(),
        };
        membership.receive(member.gossip_address, &message, now);
    }
    Arc::new(membership.view())
}

/// The router of the zone that is asked first, and the other one.
fn owner_and_other() -> (InstanceIncarnation, InstanceIncarnation) {
    let members = view();
    let owner = members.owner_in(&"z".parse().unwrap(), b"slot/z/0");
    let owner = owner.expect("two routers").instance.as_str().to_owned();
    let other = if owner == "first" { "second" } else { "first" };
    (life(&owner), life(other))
}

/// Answers reservations by the script and tells of releases.
fn link(
    script: &Arc<Mutex<VecDeque<ScriptedAnswer>>>,
    asked: &Arc<Mutex<Vec<InstanceId>>>,
    releases: Sender<ToldRelease>,
) -> PeerLink {
    let script = Arc::clone(script);
    let asked = Arc::clone(asked);
    PeerLink {
        call: Box::new(move |target, request| {
            let reply = match request {
                PeerRequest::Reserve(_) => {
                    asked.lock().unwrap().push(target);
                    let answer = script.lock().unwrap().pop_front().flatten();
                    answer.map(PeerReply::Reserve)
                }
                PeerRequest::Release(ask) => {
                    let told = ToldRelease {
                        target,
                        attempt: ask.ask.attempt,
                        is_limited: ask.ask.before.is_some(),
                    };
                    releases.try_send(told).unwrap();
                    Some(PeerReply::Release(ReleaseAnswer::Released))
                }
                _ => Some(PeerReply::Accepted),
            };
            let reply = reply.ok_or(PeerError::Lost(PeerFailure::TimedOut));
            Box::pin(async move { reply })
        }),
    }
}

impl ScriptedZone {
    fn start(answers: impl IntoIterator<Item = ScriptedAnswer>) -> Self {
        let threads = TaskThreads::start("slot", 1, &LinkGate::default()).unwrap();
        let tasks = threads.spawner();
        let script = Arc::new(Mutex::new(answers.into_iter().collect()));
        let asked = Arc::default();
        let (sender, releases) = channel::unbounded();
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
        let objects = Objects::new(nowhere, "b", PoolSettings::default());
        let settings = JournalSettings::default();
        let (journal, _) = JournalDriver::prepare(objects, life("asker"), settings, |_| {});
        let table = Table::new(nowhere, PoolSettings::default());
        let members = view();
        let driver = SlotDriver::new(SlotParts {
            life: life("asker"),
            zone: "z".parse().unwrap(),
            witness_zones: Vec::new(),
            witness_near: true,
            shards: Box::new(|| 1),
            members: Box::new(move || Arc::clone(&members)),
            table: SlotTable::new(table, Arc::new(|_| None)),
            link: link(&script, &asked, sender),
            events: EventLog::off("asker".parse().unwrap(), IncarnationId::new(1)),
            tasks,
            journal,
            holder: Arc::new(HolderSettings::default()),
            times: SlotTimes::default(),
        });
        Self {
            driver,
            threads,
            script,
            asked,
            releases,
        }
    }

    fn reserve(&self, attempt: u128) -> ReserveAnswer {
        let ask = ReserveRequest {
            identity: RequestIdentity::from_caller("org".parse().unwrap(), "r1").unwrap(),
            attempt: AttemptId::new(attempt),
            budget: "m".parse().unwrap(),
            amount: TokenCount::new(10),
            router: life("asker"),
            idempotent: true,
            digest: RequestDigest::default(),
        };
        let answer = smol::block_on(self.driver.reserve(ask));
        assert!(self.script.lock().unwrap().is_empty(), "{answer:?}");
        answer
    }

    /// The next releases that routers are told, sorted; fewer if no more come.
    fn releases(&self, count: usize) -> Vec<ToldRelease> {
        let mut told = Vec::new();
        let collect = async {
            while told.len() < count {
                told.push(self.releases.recv().await.expect("the link is there"));
            }
        };
        let give_up = async {
            Timer::after(LONGEST_WAIT).await;
        };
        smol::block_on(smol::future::or(collect, give_up));
        told.sort();
        told
    }
}

impl Drop for ScriptedZone {
    fn drop(&mut self) {
        self.threads.stop();
    }
}

/// The first router names the other one, which may hold the attempt and is not
/// heard; then the first one refuses.
fn refuse_after_an_unheard_router(refusal: &ReserveAnswer) {
    let (owner, other) = owner_and_other();
    let hint = ReserveAnswer::NotHolder {
        holder: Some(other.clone()),
    };
    let zone = ScriptedZone::start([Some(hint), None, Some(refusal.clone())]);
    assert_eq!(zone.reserve(1), *refusal);
    let asked = zone.asked.lock().unwrap().clone();
    assert_eq!(
        asked,
        [&owner, &other, &owner].map(|life| life.instance.clone())
    );
    let mut expected = [owner, other].map(|life| ToldRelease {
        target: life.instance,
        attempt: AttemptId::new(1),
        is_limited: false,
    });
    expected.sort();
    assert_eq!(zone.releases(expected.len()), expected, "{refusal:?}");
}

#[test]
fn a_reservation_that_another_router_refuses_is_given_back() {
    let retry_after = ClockSpan::from_millis(500);
    refuse_after_an_unheard_router(&ReserveAnswer::Unreachable { retry_after });
    refuse_after_an_unheard_router(&ReserveAnswer::Exhausted {
        retry_after: None,
        elsewhere: TokenCount::ZERO,
    });
    refuse_after_an_unheard_router(&ReserveAnswer::Sealed);
    refuse_after_an_unheard_router(&ReserveAnswer::Joined {
        attempt: AttemptId::new(7),
        router: life("first"),
        backend: None,
    });
}

/// What only the refusing router was asked for is held nowhere.
#[test]
fn a_reservation_that_the_only_router_asked_refuses_is_not_given_back() {
    let retry_after = ClockSpan::from_millis(500);
    let unreachable = ReserveAnswer::Unreachable { retry_after };
    let zone = ScriptedZone::start([Some(unreachable.clone())]);
    assert_eq!(zone.reserve(1), unreachable);
    zone.script
        .lock()
        .unwrap()
        .extend([None, Some(unreachable)]);
    zone.reserve(2);
    let given = zone.releases(2).into_iter().map(|told| told.attempt);
    let given: Vec<AttemptId> = given.collect();
    assert_eq!(given, [AttemptId::new(2), AttemptId::new(2)]);
}
