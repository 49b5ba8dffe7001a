//! The router's billing journal: started with it, flushed as it leaves; and
//! the folds of the shards whose zone was picked for them.

use std::sync::Arc;
use std::time::Duration;

use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::ShardId;
use guavawell_core::instance::owner;
use guavawell_core::request::billing::BillingRecord;
use guavawell_core::request::billing::JournalPolicy;
use smol::Timer;
use smol::future;

use super::core::RouterCore;
use super::start::SharedParts;
use crate::clock;
use crate::event::EventDraft;
use crate::gossip::GossipDriver;
use crate::journal::FoldSettings;
use crate::journal::JournalDriver;
use crate::journal::JournalSettings;
use crate::journal::ShardFold;
use crate::platform::Objects;
use crate::settings::RouterSettings;
use crate::task::TaskSpawner;

/// Least time that a leaving router gives its last segments.
const FLUSH_LEAST: ClockSpan = ClockSpan::from_millis(1_000);

/// Starts the journal on the router's own threads; holders forget a charge
/// only once its record is durable.
pub fn start_journal(
    settings: &RouterSettings,
    objects: Objects,
    life: &InstanceIncarnation,
    tasks: &TaskSpawner,
    slots: &SharedParts,
) -> JournalDriver {
    let slots = SharedParts::clone(slots);
    let on_durable = move |records: Vec<BillingRecord>| {
        if let Some((driver, ..)) = slots.get() {
            driver.take_durable(records);
        }
    };
    let policy = JournalPolicy {
        max_wait: settings.platform.segment_wait_ms,
        ..JournalPolicy::default()
    };
    let settings = JournalSettings {
        policy,
        ..JournalSettings::default()
    };
    let (journal, task) = JournalDriver::prepare(objects, life.clone(), settings, on_durable);
    tasks.spawn(task);
    journal
}

/// Writes what is in memory, until `until` or a little longer; how many
/// records are left.
pub async fn flush_journal(journal: &JournalDriver, until: ClockTime) -> usize {
    let wait: Duration = clock::duration(until.since(clock::now()).max(FLUSH_LEAST));
    let late = async {
        Timer::after(wait).await;
    };
    future::or(journal.flush(), late).await;
    journal.backlog()
}

/// Folds the journals of the shards held here whose zone is picked, as long as
/// it runs. Two routers that both think so do no harm: refund rows decide.
pub async fn run_folds(core: Arc<RouterCore>, gossip: GossipDriver, objects: Objects) {
    let settings = FoldSettings::default();
    let mut folds: Vec<ShardFold> = Vec::new();
    loop {
        Timer::after(clock::duration(settings.step_every)).await;
        let picked = picked_shards(&core, &gossip);
        folds.retain(|fold| picked.contains(&fold.shard()));
        for shard in picked {
            if folds.iter().all(|fold| fold.shard() != shard) {
                folds.push(ShardFold::new(shard, settings));
            }
        }
        for fold in &mut folds {
            match fold.step(&objects, &core.table).await {
                Ok(0) => {}
                Ok(given) => {
                    let event = EventDraft::new("billing.refunded");
                    let event = event.field("shard", fold.shard());
                    core.events.emit(event.field("charges", given));
                }
                Err(error) => log::debug!("fold of shard {}: {error}", fold.shard()),
            }
        }
    }
}

/// Shards held here for which hashing over all routers picks this zone.
fn picked_shards(core: &RouterCore, gossip: &GossipDriver) -> Vec<ShardId> {
    let members = gossip.view();
    let is_picked = |shard: &ShardId| {
        let instances = members.routable().map(|member| &member.instance);
        let key = format!("fold/{shard}");
        let chosen = owner(instances, key.as_bytes());
        let zone = chosen.and_then(|instance| Some(&members.find(instance)?.zone));
        zone == Some(&core.settings.instance.zone)
    };
    let held = core.slots.held().into_iter().map(|slot| slot.shard);
    held.filter(is_picked).collect()
}
