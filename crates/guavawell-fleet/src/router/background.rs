//! What a router does beside requests: reviews, polls, lists, its own row.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use guavawell_core::backend::RouteTarget;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::id::ManifestVersion;
use guavawell_core::instance::ListedInstance;
use guavawell_core::instance::MemberEffect;
use guavawell_core::instance::MemberRecord;
use guavawell_core::instance::Reachability;
use guavawell_core::platform::WriteClass;
use smol::Timer;

use super::core::RouterCore;
use super::fetch::run_polls;
use super::keys::watch_keys;
use super::news::newest_member;
use super::orphan::run_orphans;
use super::report::take_reports;
use super::settings::order_parts;
use super::settings::retention_parts;
use super::share::run_shares;
use crate::clock;
use crate::config::ConfigHints;
use crate::event::EventDraft;
use crate::event::EventLog;
use crate::gossip::GossipDriver;
use crate::operator::InstanceRow;
use crate::operator::MetricsPage;
use crate::operator::instance_key;
use crate::order::OrderDriver;
use crate::platform::InstanceEntry;
use crate::platform::TableCompare;
use crate::platform::TableOp;
use crate::platform::TableTxn;
use crate::retention::RetentionDriver;
use crate::settings::RouterSettings;

/// Time between two looks at queues and deadlines.
const ADMISSION_REVIEW: Duration = Duration::from_millis(10);

/// Time between two reads of the platform's instance list.
const LIST_EVERY: Duration = Duration::from_secs(5);

/// Instances that may be listed in one period; longer lists are read less
/// often, so that their bytes a second do not grow with the fleet.
const LISTED_A_PERIOD: usize = 32;

/// Time between two tries to publish this instance's row.
const ROW_RETRY: Duration = Duration::from_secs(5);

/// Time between two upkeeps of the metrics.
const UPKEEP_EVERY: Duration = Duration::from_secs(5);

/// Time between two looks at other routers' manifest versions.
const HINT_EVERY: Duration = Duration::from_millis(250);

/// Starts everything.
pub fn spawn(core: &Arc<RouterCore>, gossip: &GossipDriver, hints: ConfigHints) {
    let tasks = &core.tasks;
    let driver = gossip.clone();
    tasks.spawn(async move {
        if let Err(error) = driver.run().await {
            log::error!("gossip ended: {error}");
        }
    });
    tasks.spawn(Arc::clone(&core.slots).run());
    tasks.spawn(take_reports(Arc::clone(core), gossip.clone()));
    tasks.spawn(run_polls(Arc::clone(core), gossip.clone()));
    tasks.spawn(run_orphans(Arc::clone(core)));
    tasks.spawn(Arc::new(OrderDriver::new(order_parts(core, gossip))).run());
    let retention = RetentionDriver::new(retention_parts(core, gossip));
    tasks.spawn(retention.run());
    tasks.spawn(run_shares(Arc::clone(core), gossip.clone()));
    tasks.spawn(review_admission(Arc::clone(core)));
    tasks.spawn(core.claims.clone().watch_generation());
    tasks.spawn(watch_keys(Arc::clone(core), gossip.clone()));
    tasks.spawn(read_list(Arc::clone(core), gossip.clone()));
    tasks.spawn(pass_hints(gossip.clone(), hints));
    tasks.spawn(keep_metrics(Arc::clone(core)));
}

async fn review_admission(core: Arc<RouterCore>) {
    let most = core.settings.limits.max_running;
    loop {
        Timer::after(ADMISSION_REVIEW).await;
        let now = clock::now();
        let table = core.backends.load_full();
        let capacity = |target: &RouteTarget| table.capacity(target, now).min(most);
        let slots = |target: &RouteTarget| table.slot_share(target, now);
        core.door.review(now, capacity, slots);
    }
}

async fn read_list(core: Arc<RouterCore>, gossip: GossipDriver) {
    loop {
        let mut periods = 1;
        match core.instances.read().await {
            Ok(entries) => {
                periods += u32::try_from(entries.len() / LISTED_A_PERIOD).unwrap_or(u32::MAX - 1);
                let listed: Vec<ListedInstance> = entries
                    .iter()
                    .filter_map(|entry| listed(entry, gossip.address().port()))
                    .collect();
                core.shares.take_list(staying_routers(&entries));
                gossip.list(&listed);
            }
            Err(error) => {
                metrics::counter!("guavawell_instance_list_failed_total").increment(1);
                log::debug!("instance list: {error}");
            }
        }
        Timer::after(LIST_EVERY * periods).await;
    }
}

fn staying_routers(entries: &[InstanceEntry]) -> usize {
    entries.iter().filter(|entry| !entry.terminating).count()
}

/// An entry with its gossip address: as listed, or at the port that this
/// instance uses itself.
fn listed(entry: &InstanceEntry, port: u16) -> Option<ListedInstance> {
    let listed = entry.address.parse::<SocketAddr>();
    let at_port = || entry.address.parse::<IpAddr>().map(|ip| (ip, port).into());
    Some(ListedInstance {
        instance: entry.instance.clone(),
        gossip_address: listed.or_else(|_| at_port()).ok()?,
        terminating: entry.terminating,
    })
}

/// Tells the configuration's driver which versions the others have.
async fn pass_hints(gossip: GossipDriver, hints: ConfigHints) {
    loop {
        let members = gossip.view();
        let own = members.own().manifest;
        if let Some(member) = newest_member(members.routable(), own, fastrand::usize(..)) {
            hints.hear(member.instance.clone(), member.manifest);
        }
        Timer::after(HINT_EVERY).await;
    }
}

async fn keep_metrics(core: Arc<RouterCore>) {
    let page = MetricsPage::install();
    loop {
        Timer::after(UPKEEP_EVERY).await;
        page.upkeep();
        #[expect(clippy::cast_precision_loss, reason = "a gauge of a few slots")]
        metrics::gauge!("guavawell_slots_held").set(core.slots.held().len() as f64);
    }
}

/// What gossip tells of this router.
#[must_use]
pub fn own_record(
    settings: &RouterSettings,
    life: &InstanceIncarnation,
    callers: SocketAddr,
    peers: SocketAddr,
) -> MemberRecord {
    MemberRecord {
        instance: life.instance.clone(),
        incarnation: life.incarnation,
        refutation: 0,
        zone: settings.instance.zone.clone(),
        caller_address: callers,
        peer_address: peers,
        gossip_address: settings.gossip.listen,
        reachability: Reachability::Reachable,
        leaving: false,
        manifest: ManifestVersion::default(),
    }
}

/// This instance's row for operators.
#[must_use]
pub fn instance_row(
    callers: SocketAddr,
    operator: SocketAddr,
    peer: SocketAddr,
    core: &RouterCore,
) -> InstanceRow {
    InstanceRow {
        operator,
        callers,
        peer,
        zone: core.settings.instance.zone.clone(),
        incarnation: core.life.incarnation,
    }
}

/// Writes this instance's row until the table has it.
pub async fn publish_row(core: Arc<RouterCore>, row: InstanceRow) {
    let key = instance_key(&core.life.instance);
    let value = serde_json::to_vec(&row).expect("addresses and ids serialise");
    while !publish_once(&core, &key, &value).await {
        Timer::after(ROW_RETRY).await;
    }
}

/// Whether the table has the row. The write names the revision that it
/// replaces, so that one that lands late never hides a later life's row.
async fn publish_once(core: &RouterCore, key: &str, value: &[u8]) -> bool {
    let Ok(read) = core.table.get(key).await else {
        return false;
    };
    if read.row.as_ref().is_some_and(|row| &*row.value == value) {
        return true;
    }
    let txn = TableTxn {
        compares: vec![TableCompare::unchanged(key, read.mod_revision())],
        success: vec![TableOp::put(key, value)],
        ..TableTxn::default()
    };
    let written = core.table.txn(&txn, WriteClass::Rest).await;
    written.is_ok_and(|answer| answer.succeeded)
}

/// Notes what gossip learns.
pub fn member_listener(events: EventLog) -> impl Fn(&MemberEffect) + Send + Sync + 'static {
    move |effect| match effect {
        MemberEffect::Changed {
            instance,
            reachability,
            leaving,
            ..
        } => {
            let kind = match reachability {
                Reachability::Reachable => "member.reachable",
                Reachability::Suspected => "member.suspected",
                Reachability::Unreachable => "member.unreachable",
            };
            log::info!("{kind}: {instance}");
            events.emit(
                EventDraft::new(kind)
                    .field("member", instance)
                    .field("leaving", leaving),
            );
        }
        MemberEffect::Superseded { by } => {
            log::error!("life {by} of this instance runs too; stop one of the two");
            metrics::counter!("guavawell_superseded_total").increment(1);
        }
        MemberEffect::Send { .. } => {}
    }
}
