//! Exchanges with the platform that peers carry for this router, and those
//! that it carries for them.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::FutureExt;
use guavawell_core::platform::RelayPeer;
use smol::Timer;

use super::platform::PlatformClients;
use super::settings::peer_link;
use crate::drill::LinkGate;
use crate::event::EventDraft;
use crate::event::EventLog;
use crate::gossip::GossipDriver;
use crate::peer::PeerClient;
use crate::peer::PeerError;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;
use crate::platform::CarriedAnswer;
use crate::platform::CarriedAsk;
use crate::platform::CarriedService;
use crate::platform::CarrierLink;
use crate::platform::Objects;
use crate::platform::Table;
use crate::settings::RouterSettings;
use crate::task::TaskSpawner;

/// Time between two looks at whether a probe is due.
const PROBE_LOOK: Duration = Duration::from_millis(50);

/// The desk of this router; set once at the start.
pub(super) type SharedDesk = Arc<OnceLock<CarryDesk>>;

/// Exchanges that peers asked this router to carry, since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CarryCounts {
    /// All of them.
    pub asked: u64,
    /// Those that were not carried out.
    pub declined: u64,
    /// Writes that were sent and had no answer.
    pub lost: u64,
}

/// Carries out peers' exchanges on this router's own link.
pub(super) struct CarryDesk {
    table: Table,
    objects: Objects,
    is_on: bool,
    max_calls: usize,
    max_bytes: usize,
    running: AtomicUsize,
    asked: AtomicU64,
    declined: AtomicU64,
    lost: AtomicU64,
}

impl CarryDesk {
    pub fn new(settings: &RouterSettings, table: &Table, objects: &Objects) -> Self {
        let platform = &settings.platform;
        Self {
            table: table.clone(),
            objects: objects.clone(),
            is_on: platform.relay,
            max_calls: usize::try_from(platform.relay_calls).unwrap_or(usize::MAX),
            max_bytes: platform.relay_max_bytes.as_len(),
            running: AtomicUsize::new(0),
            asked: AtomicU64::new(0),
            declined: AtomicU64::new(0),
            lost: AtomicU64::new(0),
        }
    }

    /// What was asked of it so far.
    pub fn counts(&self) -> CarryCounts {
        CarryCounts {
            asked: self.asked.load(Ordering::Relaxed),
            declined: self.declined.load(Ordering::Relaxed),
            lost: self.lost.load(Ordering::Relaxed),
        }
    }

    /// Carries out a peer's exchange, or declines it at once.
    pub async fn answer(&self, ask: &CarriedAsk) -> PeerReply {
        self.asked.fetch_add(1, Ordering::Relaxed);
        let answer = self.carry(ask).await;
        let outcome = answer.label();
        match &answer {
            CarriedAnswer::Declined(_) => self.declined.fetch_add(1, Ordering::Relaxed),
            CarriedAnswer::Lost(_) => self.lost.fetch_add(1, Ordering::Relaxed),
            CarriedAnswer::Answered { .. } | CarriedAnswer::Refused(_) => 0,
        };
        let class = ask.class.map_or("read", |class| class.label());
        metrics::counter!("guavawell_platform_carried_total",
            "service" => ask.service.label(), "class" => class, "outcome" => outcome)
        .increment(1);
        PeerReply::Relay(answer)
    }

    async fn carry(&self, ask: &CarriedAsk) -> CarriedAnswer {
        if !self.is_on {
            return CarriedAnswer::Declined("`platform.relay` is off".into());
        }
        if ask.body.len() > self.max_bytes {
            return CarriedAnswer::Declined("the body is too large to carry".into());
        }
        let Some(_permit) = CarryPermit::take(&self.running, self.max_calls) else {
            return CarriedAnswer::Declined("it carries as many exchanges as it may".into());
        };
        let answer = match ask.service {
            CarriedService::Table => self.table.carry(ask).await,
            CarriedService::Objects => self.objects.carry(ask).await,
        };
        match answer {
            CarriedAnswer::Answered { body, .. } if body.len() > self.max_bytes => {
                ask.unanswered("the answer is too large to carry")
            }
            answer => answer,
        }
    }
}

/// One exchange that is being carried.
struct CarryPermit<'a> {
    running: &'a AtomicUsize,
}

impl<'a> CarryPermit<'a> {
    fn take(running: &'a AtomicUsize, limit: usize) -> Option<Self> {
        let permit = Self { running };
        let others = running.fetch_add(1, Ordering::AcqRel);
        (others < limit).then_some(permit)
    }
}

impl Drop for CarryPermit<'_> {
    fn drop(&mut self) {
        self.running.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The way to peers that may carry; `None` if the settings turn it off.
pub(super) fn carrier_link(
    settings: &RouterSettings,
    gossip: &GossipDriver,
    client: &PeerClient,
    gate: &LinkGate,
) -> Option<Arc<CarrierLink>> {
    if !settings.platform.relay {
        return None;
    }
    let link = peer_link(gossip.clone(), client.clone(), gate.clone());
    let gossip = gossip.clone();
    let timeout = settings.platform.timeout_ms;
    Some(Arc::new(CarrierLink {
        peers: Box::new(move || carriers(&gossip)),
        call: Box::new(move |peer, ask| {
            let reply = (link.call)(peer, PeerRequest::Relay(ask.clone()));
            async move { outcome(&ask, reply.await) }.boxed()
        }),
        max_bytes: settings.platform.relay_max_bytes.as_len(),
        timeout: timeout.min(settings.peers.call_timeout_ms),
    }))
}

fn carriers(gossip: &GossipDriver) -> Vec<RelayPeer> {
    let members = gossip.view();
    let own = members.own();
    let others = members
        .routable()
        .filter(|member| member.instance != own.instance);
    let carriers = others.map(|member| RelayPeer {
        instance: member.instance.clone(),
        is_local: member.zone == own.zone,
    });
    carriers.collect()
}

/// What a peer's reply, or the lack of one, says of an exchange.
fn outcome(ask: &CarriedAsk, reply: Result<PeerReply, PeerError>) -> CarriedAnswer {
    match reply {
        Ok(PeerReply::Relay(answer)) => answer,
        // An earlier version refuses what it does not know.
        Ok(PeerReply::Refused(refusal)) => CarriedAnswer::Declined(refusal.to_string().into()),
        Ok(_) => ask.unanswered("the peer gave another reply"),
        Err(error @ PeerError::NotSent(_)) => CarriedAnswer::Declined(error.to_string().into()),
        Err(error @ PeerError::Lost(_)) => ask.unanswered(&error.to_string()),
    }
}

/// Begins to carry for peers, and to watch the own links.
pub(super) fn start(
    settings: &RouterSettings,
    clients: &PlatformClients,
    desk: &SharedDesk,
    tasks: &TaskSpawner,
    events: &EventLog,
) {
    let PlatformClients { table, objects, .. } = clients;
    // Set once: nothing else sets it.
    let _ = desk.set(CarryDesk::new(settings, table, objects));
    tasks.spawn(watch_table(table.clone(), events.clone()));
    tasks.spawn(watch_objects(objects.clone(), events.clone()));
}

/// Probes the own link while it is out, and notes when it goes and comes:
/// requests go by peers meanwhile and would not learn it.
async fn watch_table(table: Table, events: EventLog) {
    let mut watch = LinkWatch::new("table", events);
    loop {
        watch.look(table.is_link_out());
        table.probe().await;
        Timer::after(PROBE_LOOK).await;
    }
}

/// As [`watch_table`], for the object store.
async fn watch_objects(objects: Objects, events: EventLog) {
    let mut watch = LinkWatch::new("objects", events);
    loop {
        watch.look(objects.is_link_out());
        objects.probe().await;
        Timer::after(PROBE_LOOK).await;
    }
}

/// Whether a link was out when it was looked at last.
struct LinkWatch {
    service: &'static str,
    events: EventLog,
    was_out: bool,
}

impl LinkWatch {
    const fn new(service: &'static str, events: EventLog) -> Self {
        Self {
            service,
            events,
            was_out: false,
        }
    }

    fn look(&mut self, is_out: bool) {
        if is_out == self.was_out {
            return;
        }
        self.was_out = is_out;
        let name = if is_out {
            "platform.out"
        } else {
            "platform.back"
        };
        self.events
            .emit(EventDraft::new(name).field("service", self.service));
    }
}
