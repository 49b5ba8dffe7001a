//! Plans the orders that bring the engines to the placement that the manifest
//! asks for.
//!
//! Each wanted version is loaded by as many engines of a zone as wanted. An old
//! version is unloaded once the new one has all its replicas in the zone. If no
//! engine has room, one replica that the zone can spare is unloaded first, but
//! never the last replica of a wanted model. An engine gets one order at a time.

use super::row::OrderKind;
use crate::backend::ServedModel;
use crate::id::BackendId;
use crate::id::ModelId;
use crate::id::ZoneId;

/// A model version that the manifest wants to be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementGoal {
    /// The model and version.
    pub served: ServedModel,
    /// The zones in which it is wanted.
    pub zones: Vec<ZoneId>,
    /// Wanted number of replicas in each zone.
    pub replicas: usize,
}

/// What an engine holds and what it may load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementEngine {
    /// The engine's backend server.
    pub backend: BackendId,
    /// Its zone.
    pub zone: ZoneId,
    /// Maximum number of models.
    pub capacity: usize,
    /// Models and adapters that may be loaded into it.
    pub loadable: Vec<ModelId>,
    /// Loaded models and adapters.
    pub models: Vec<ServedModel>,
    /// Models and adapters that are being loaded.
    pub loading: Vec<ServedModel>,
    /// Whether it must not get an order now: it is leaving or unreachable, or
    /// another order is open.
    pub blocked: bool,
    /// Whether it is leaving. Its models do not count as replicas then.
    pub leaving: bool,
}

/// An order to issue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementOrder {
    /// The backend server to send it to.
    pub backend: BackendId,
    /// What to order.
    pub kind: OrderKind,
}

/// Returns the orders to issue now, at most one per engine.
#[must_use]
pub fn plan(goals: &[PlacementGoal], engines: &[PlacementEngine]) -> Vec<PlacementOrder> {
    let mut engines = engines.to_vec();
    let mut orders = Vec::new();
    for goal in goals {
        for zone in &goal.zones {
            plan_goal(goal, zone, goals, &mut engines, &mut orders);
        }
    }
    for index in 0..engines.len() {
        if let Some(served) = outdated_model(&engines[index], goals, &engines) {
            order_unload(&mut engines[index], served, &mut orders);
        }
    }
    orders
}

/// Orders the missing replicas of one goal in one zone, on the engines with the
/// most free capacity. If none has any, makes room on a full one.
fn plan_goal(
    goal: &PlacementGoal,
    zone: &ZoneId,
    goals: &[PlacementGoal],
    engines: &mut [PlacementEngine],
    orders: &mut Vec<PlacementOrder>,
) {
    let present =
        held_replicas(&goal.served, zone, engines) + loading_replicas(&goal.served, zone, engines);
    let missing = goal.replicas.saturating_sub(present);
    for _ in 0..missing {
        let can_load = |engine: &&mut PlacementEngine| {
            let available = engine.zone == *zone && !engine.blocked;
            available
                && engine.loadable.contains(&goal.served.model)
                && !holds_or_loads(engine, &goal.served)
        };
        let free = |engine: &PlacementEngine| {
            let taken = engine.models.len() + engine.loading.len();
            engine.capacity.saturating_sub(taken)
        };
        let target = engines
            .iter_mut()
            .filter(can_load)
            .filter(|engine| free(engine) > 0)
            .max_by_key(|engine| free(engine));
        if let Some(engine) = target {
            engine.blocked = true;
            engine.loading.push(goal.served.clone());
            orders.push(PlacementOrder {
                backend: engine.backend.clone(),
                kind: OrderKind::Load(goal.served.clone()),
            });
            continue;
        }
        let index = engines.iter().position(|engine| {
            let available = engine.zone == *zone && !engine.blocked;
            let can_hold = engine.loadable.contains(&goal.served.model)
                && !holds_or_loads(engine, &goal.served);
            available && can_hold && surplus_model(engine, goals, engines).is_some()
        });
        let Some(index) = index else {
            return;
        };
        if let Some(served) = surplus_model(&engines[index], goals, engines) {
            order_unload(&mut engines[index], served, orders);
        }
    }
}

fn holds_or_loads(engine: &PlacementEngine, served: &ServedModel) -> bool {
    engine.models.contains(served) || engine.loading.contains(served)
}

/// The number of engines in a zone that hold a model and are not leaving.
fn held_replicas(served: &ServedModel, zone: &ZoneId, engines: &[PlacementEngine]) -> usize {
    let stays = |engine: &&PlacementEngine| engine.zone == *zone && !engine.leaving;
    let holds = |engine: &&PlacementEngine| engine.models.contains(served);
    engines.iter().filter(stays).filter(holds).count()
}

/// The number of engines in a zone that are loading a model and are not leaving.
fn loading_replicas(served: &ServedModel, zone: &ZoneId, engines: &[PlacementEngine]) -> usize {
    let stays = |engine: &&PlacementEngine| engine.zone == *zone && !engine.leaving;
    let loads = |engine: &&PlacementEngine| engine.loading.contains(served);
    engines.iter().filter(stays).filter(loads).count()
}

/// A model of `engine` with more replicas in the zone than wanted. The last
/// replica of an old version is kept if another version of the model is wanted.
fn surplus_model(
    engine: &PlacementEngine,
    goals: &[PlacementGoal],
    engines: &[PlacementEngine],
) -> Option<ServedModel> {
    let is_surplus = |served: &&ServedModel| {
        let wanted = wanted_replicas(served, &engine.zone, goals);
        let last_version = wanted == 0
            && goals
                .iter()
                .any(|goal| goal.served.model == served.model && goal.zones.contains(&engine.zone))
            && held_replicas(served, &engine.zone, engines) == 1;
        !last_version && held_replicas(served, &engine.zone, engines) > wanted
    };
    engine.models.iter().find(is_surplus).cloned()
}

/// A model of `engine` that is not wanted in its zone. If another version of it
/// is wanted, that version has all its replicas already.
fn outdated_model(
    engine: &PlacementEngine,
    goals: &[PlacementGoal],
    engines: &[PlacementEngine],
) -> Option<ServedModel> {
    if engine.blocked {
        return None;
    }
    let replaced = |served: &ServedModel| {
        let goal = goals
            .iter()
            .find(|goal| goal.served.model == served.model && goal.zones.contains(&engine.zone));
        goal.is_none_or(|goal| held_replicas(&goal.served, &engine.zone, engines) >= goal.replicas)
    };
    let unwanted = |served: &&ServedModel| {
        wanted_replicas(served, &engine.zone, goals) == 0 && replaced(served)
    };
    engine.models.iter().find(unwanted).cloned()
}

fn wanted_replicas(served: &ServedModel, zone: &ZoneId, goals: &[PlacementGoal]) -> usize {
    let same = |goal: &&PlacementGoal| goal.served == *served && goal.zones.contains(zone);
    goals.iter().find(same).map_or(0, |goal| goal.replicas)
}

fn order_unload(
    engine: &mut PlacementEngine,
    served: ServedModel,
    orders: &mut Vec<PlacementOrder>,
) {
    engine.blocked = true;
    engine.models.retain(|other| *other != served);
    orders.push(PlacementOrder {
        backend: engine.backend.clone(),
        kind: OrderKind::Unload(served),
    });
}
