//! What the router's settings mean for its parts.

use std::fs;
use std::io;
use std::sync::Arc;

use arc_swap::ArcSwap;
use futures::FutureExt;
use guavawell_core::backend::RoutingSettings;
use guavawell_core::budget::HolderSettings;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::clock::ClockSpan;
use guavawell_core::id::BudgetId;
use guavawell_core::id::InstanceId;
use guavawell_core::id::OrganisationId;
use guavawell_core::instance::MembershipSettings;
use guavawell_core::instance::owner;
use guavawell_core::limits::AdmissionSettings;
use guavawell_core::limits::RetrySettings;
use guavawell_core::manifest::FleetView;
use guavawell_core::order::IssuerId;
use guavawell_core::order::OrderSettings;
use guavawell_core::order::PermitSettings;
use guavawell_core::request::chat::ChatLimits;
use guavawell_core::retention::RetentionSettings;

use super::core::RouterCore;
use crate::caller::CallerLimits;
use crate::clock;
use crate::drill::LinkGate;
use crate::engine::EngineSettings;
use crate::event::EventLog;
use crate::event::EventLogSettings;
use crate::gossip::FleetKey;
use crate::gossip::FleetKeys;
use crate::gossip::GossipDriver;
use crate::journal::JournalDriver;
use crate::order::OrderParts;
use crate::order::OrderPorts;
use crate::order::OrderTable;
use crate::peer::PeerClient;
use crate::peer::PeerError;
use crate::peer::PeerFailure;
use crate::peer::PeerTarget;
use crate::platform::PoolSettings;
use crate::platform::Table;
use crate::retention::RetentionParts;
use crate::retention::SweepPace;
use crate::settings::MIN_KEY_BYTES;
use crate::settings::RouterSettings;
use crate::slot::BudgetBase;
use crate::slot::PeerLink;
use crate::slot::SlotParts;
use crate::slot::SlotTable;
use crate::slot::SlotTimes;
use crate::task::TaskSpawner;

/// The key whose owner sweeps.
const RETENTION_KEY: &[u8] = b"retention";

/// Milliseconds in a second.
const MILLIS: u64 = 1_000;

pub fn event_log(settings: &RouterSettings) -> EventLogSettings {
    EventLogSettings {
        target: settings.log.events.clone(),
        queue: usize::try_from(settings.log.event_queue).unwrap_or(usize::MAX),
        ..EventLogSettings::default()
    }
}

pub fn caller_limits(settings: &RouterSettings) -> CallerLimits {
    CallerLimits {
        max_connections: usize::try_from(settings.callers.max_connections).unwrap_or(usize::MAX),
        head_timeout: clock::duration(settings.callers.idle_timeout_ms),
        ..CallerLimits::default()
    }
}

/// Bytes that the bodies of all requests may take in memory.
pub fn body_memory(settings: &RouterSettings) -> usize {
    let bytes = settings.callers.max_body_memory_bytes.get();
    usize::try_from(bytes).unwrap_or(usize::MAX)
}

pub fn operator_limits() -> CallerLimits {
    CallerLimits {
        max_connections: 64,
        ..CallerLimits::default()
    }
}

pub fn platform_pool(settings: &RouterSettings, gate: &LinkGate) -> PoolSettings {
    PoolSettings {
        answer_timeout: settings.platform.timeout_ms,
        gate: gate.clone(),
        ..PoolSettings::default()
    }
}

pub fn engines(settings: &RouterSettings) -> EngineSettings {
    EngineSettings {
        connect: clock::duration(settings.routing.connect_timeout_ms),
        idle: clock::duration(settings.routing.silent_after_ms),
        ..EngineSettings::default()
    }
}

pub fn routing(settings: &RouterSettings) -> RoutingSettings {
    let routing = &settings.routing;
    RoutingSettings {
        report_stale: routing.load_stale_ms,
        slow_start: routing.slow_start_ms,
        eject_failures: routing.eject_after_failures,
        eject_base: routing.eject_for_ms,
        eject_max_percent: routing.eject_max_share.percent().into(),
        ..RoutingSettings::default()
    }
}

pub fn admission(settings: &RouterSettings) -> AdmissionSettings {
    let guess = AdmissionSettings::default();
    AdmissionSettings {
        queue: usize::try_from(settings.limits.max_queued).unwrap_or(usize::MAX),
        max_wait: settings.limits.max_wait_ms,
        limit: settings.limits.max_running.min(guess.limit),
        ..guess
    }
}

pub fn retries(settings: &RouterSettings) -> RetrySettings {
    RetrySettings {
        per_success: settings.routing.retry_share.per_mille(),
        ..RetrySettings::default()
    }
}

pub fn chat_limits(settings: &RouterSettings) -> ChatLimits {
    ChatLimits {
        max_body_bytes: usize::try_from(settings.callers.max_body_bytes.get())
            .unwrap_or(usize::MAX),
        default_output: settings.limits.default_output_tokens,
        max_output: settings.limits.max_output_tokens,
        ..ChatLimits::default()
    }
}

pub fn membership(settings: &RouterSettings) -> MembershipSettings {
    MembershipSettings {
        bytes_per_second: settings.gossip.bytes_per_second.get(),
        ..MembershipSettings::default()
    }
}

/// The fleet's keys: files first, then texts; the first of all signs.
pub fn gossip_keys(settings: &RouterSettings) -> io::Result<FleetKeys> {
    let mut keys = Vec::new();
    for path in &settings.gossip.key_files {
        let text = fs::read_to_string(path.as_path())?;
        if text.trim().len() < MIN_KEY_BYTES {
            // Also a file that is being written: its empty text is no secret.
            let message = format!("{path} holds less than {MIN_KEY_BYTES} bytes");
            return Err(io::Error::new(io::ErrorKind::InvalidData, message));
        }
        keys.push(FleetKey::from_text(text.trim()));
    }
    keys.extend(
        settings
            .gossip
            .keys
            .iter()
            .map(|key| FleetKey::from_text(key.expose())),
    );
    if keys.is_empty() {
        let message = "gossip needs a key: set `gossip.key_files` or `gossip.keys`";
        return Err(io::Error::new(io::ErrorKind::InvalidInput, message));
    }
    let first = keys.remove(0);
    Ok(FleetKeys::new(first, keys))
}

pub(super) fn holder(settings: &RouterSettings) -> HolderSettings {
    let slots = &settings.slots;
    HolderSettings {
        witness_timeout: slots.witness_timeout_ms,
        retention: slots.identity_retention_ms,
        float_percent: slots.float_share.percent(),
        stock_span: ClockSpan::from_millis(u64::from(slots.grant_seconds) * MILLIS),
        stock_requests: slots.grant_requests.into(),
        is_journaled: true,
        report_after: slots.settle_interval_ms,
        ..HolderSettings::default()
    }
}

/// Everything that the slots need of the router.
#[expect(
    clippy::too_many_arguments,
    reason = "each is one part of the router, named where it is used"
)]
pub fn slot_parts(
    settings: &RouterSettings,
    life: &InstanceIncarnation,
    events: &EventLog,
    tasks: TaskSpawner,
    table: &Table,
    view: &Arc<ArcSwap<FleetView>>,
    gossip: &GossipDriver,
    client: PeerClient,
    journal: JournalDriver,
    gate: &LinkGate,
) -> SlotParts {
    let members = gossip.clone();
    let shards = Arc::clone(view);
    SlotParts {
        life: life.clone(),
        zone: settings.instance.zone.clone(),
        witness_zones: settings.slots.witness_zones.clone(),
        witness_near: settings.slots.witness_near,
        shards: Box::new(move || shards.load().fleet().shards),
        members: Box::new(move || members.view()),
        table: SlotTable::new(table.clone(), base_lookup(view)),
        link: peer_link(gossip.clone(), client, gate.clone()),
        events: events.clone(),
        tasks,
        journal,
        holder: Arc::new(holder(settings)),
        times: SlotTimes {
            takeover_after: settings.slots.takeover_after_ms,
            ..SlotTimes::default()
        },
    }
}

fn base_lookup(view: &Arc<ArcSwap<FleetView>>) -> crate::slot::BaseLookup {
    let view = Arc::clone(view);
    Arc::new(move |budget: &BudgetId| {
        let view = view.load();
        let owner = view.budget_owner(budget)?;
        let entry = owner.budget(budget)?;
        Some(BudgetBase {
            organisation: owner.id.clone(),
            paid: entry.paid,
            version: view.version(),
        })
    })
}

/// Everything that retention needs of the router.
pub fn retention_parts(core: &RouterCore, gossip: &GossipDriver) -> RetentionParts {
    let settings = &core.settings.retention;
    let part = SweepPart {
        view: Arc::clone(&core.view),
        own: core.life.instance.clone(),
        members: gossip.clone(),
    };
    let keeper = part.clone();
    let view = Arc::clone(&core.view);
    RetentionParts {
        table: core.table.clone(),
        settings: RetentionSettings {
            claims: settings.claims_ms,
            ..RetentionSettings::default()
        },
        pace: SweepPace {
            rows_per_second: settings.rows_per_second.into(),
            ..SweepPace::default()
        },
        events: core.events.clone(),
        is_elected: Box::new(move || keeper.owns(RETENTION_KEY)),
        toured: Box::new(move || part.organisations()),
        is_toured: Box::new(move |id| view.load().organisation(id).is_some()),
    }
}

/// What falls to this router of a sweep.
#[derive(Clone)]
struct SweepPart {
    view: Arc<ArcSwap<FleetView>>,
    own: InstanceId,
    members: GossipDriver,
}

impl SweepPart {
    fn owns(&self, key: &[u8]) -> bool {
        let view = self.members.view();
        let instances = view.routable().map(|member| &member.instance);
        owner(instances, key) == Some(&self.own)
    }

    /// Shards are picked, not organisations, which are too many to hash over
    /// all routers.
    fn organisations(&self) -> Vec<OrganisationId> {
        let view = self.view.load();
        let shards = 0..view.fleet().shards;
        let is_own = |shard| self.owns(format!("retention/{shard}").as_bytes());
        let owned: Vec<bool> = shards.map(is_own).collect();
        let ids = view.organisations().map(|entry| &entry.id);
        let is_toured = |id: &&OrganisationId| owned[usize::from(view.shard_of(id).get())];
        ids.filter(is_toured).cloned().collect()
    }
}

/// Everything that orders need of the router.
pub fn order_parts(core: &RouterCore, gossip: &GossipDriver) -> OrderParts {
    let settings = core.settings.orders.clone();
    let permits = PermitSettings {
        max_loads: usize::try_from(settings.fleet_loads).unwrap_or(usize::MAX),
        min_hold: settings.load_hold_ms,
        ..PermitSettings::default()
    };
    let members = gossip.clone();
    OrderParts {
        issuer: IssuerId {
            instance: core.life.instance.clone(),
            incarnation: core.life.incarnation,
        },
        zone: core.settings.instance.zone.clone(),
        view: Arc::clone(&core.view),
        members: Box::new(move || members.view()),
        book: Arc::clone(&core.models),
        ports: Arc::new(OrderPorts {
            table: OrderTable::new(core.table.clone(), permits),
            engines: core.engines.clone(),
            events: core.events.clone(),
            now: Box::new(clock::now),
            settings: OrderSettings::default(),
        }),
        tasks: core.tasks.clone(),
        settings,
    }
}

/// Calls an instance where gossip says that it can be reached.
pub fn peer_link(gossip: GossipDriver, client: PeerClient, gate: LinkGate) -> PeerLink {
    PeerLink {
        call: Box::new(move |instance: InstanceId, request| {
            let target = gossip.view().find(&instance).map(|member| PeerTarget {
                instance: instance.clone(),
                address: member.peer_address,
                incarnation: Some(member.incarnation),
            });
            let client = client.clone();
            let gate = gate.clone();
            async move {
                let failed = |why: &str| PeerError::NotSent(PeerFailure::Connect(why.into()));
                if gate.cuts_peer(&instance) {
                    return Err(failed("cut off by a failure drill"));
                }
                let unknown = || failed("gossip does not know the instance");
                let reply = client.call(&target.ok_or_else(unknown)?, request).await;
                // A cut in the middle loses the reply, not the call.
                if gate.cuts_peer(&instance) {
                    return Err(PeerError::Lost(PeerFailure::Silent));
                }
                reply
            }
            .boxed()
        }),
    }
}
