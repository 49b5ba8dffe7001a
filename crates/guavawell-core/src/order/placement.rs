//! Which orders bring the servers to what the manifest wants.
//!
//! Each wanted model is kept in each of its zones. New copies are loaded
//! before old ones are unloaded, and the last copies of a wanted model are
//! never unloaded. One order per server at a time.

use super::row::OrderKind;
use crate::backend::ServedModel;
use crate::id::BackendId;
use crate::id::ModelId;
use crate::id::ZoneId;

/// A model that the manifest wants served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementGoal {
    /// The model and version.
    pub served: ServedModel,
    /// The zones that should have it.
    pub zones: Vec<ZoneId>,
    /// Servers that should hold it in each zone.
    pub replicas: usize,
}

/// What a server holds and can hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementEngine {
    /// The server.
    pub backend: BackendId,
    /// Its zone.
    pub zone: ZoneId,
    /// Models that it can hold.
    pub capacity: usize,
    /// Models and adapters that may be loaded into it.
    pub loadable: Vec<ModelId>,
    /// Models held.
    pub models: Vec<ServedModel>,
    /// Models being loaded.
    pub loading: Vec<ServedModel>,
    /// Whether it takes no orders: leaving, unreachable, or one is open.
    pub blocked: bool,
    /// Whether it is leaving, so that its copies do not count.
    pub leaving: bool,
}

/// One order to be issued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementOrder {
    /// The server.
    pub backend: BackendId,
    /// The order.
    pub kind: OrderKind,
}

/// The orders to issue now, at most one per server.
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

/// Servers of a zone that hold a model and stay.
fn held_replicas(served: &ServedModel, zone: &ZoneId, engines: &[PlacementEngine]) -> usize {
    let stays = |engine: &&PlacementEngine| engine.zone == *zone && !engine.leaving;
    let holds = |engine: &&PlacementEngine| engine.models.contains(served);
    engines.iter().filter(stays).filter(holds).count()
}

/// Servers of a zone that are loading a model and stay.
fn loading_replicas(served: &ServedModel, zone: &ZoneId, engines: &[PlacementEngine]) -> usize {
    let stays = |engine: &&PlacementEngine| engine.zone == *zone && !engine.leaving;
    let loads = |engine: &&PlacementEngine| engine.loading.contains(served);
    engines.iter().filter(stays).filter(loads).count()
}

/// A model of a full server that its zone can spare: unwanted, or with more
/// copies than wanted.
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

/// An unwanted model whose wanted version, if there is one, is served in full.
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
