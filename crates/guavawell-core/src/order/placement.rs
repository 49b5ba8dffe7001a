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
pub struct PlacementWish {
    /// The model and version.
    pub served: ServedModel,
    /// The zones that should have it.
    pub zones: Vec<ZoneId>,
    /// Servers that should hold it in each zone.
    pub copies: usize,
}

/// What a server holds and can hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementRoom {
    /// The server.
    pub backend: BackendId,
    /// Its zone.
    pub zone: ZoneId,
    /// Models that it can hold.
    pub capacity: usize,
    /// Models and adapters that may be loaded into it.
    pub hosts: Vec<ModelId>,
    /// Models held.
    pub models: Vec<ServedModel>,
    /// Models being loaded.
    pub loading: Vec<ServedModel>,
    /// Whether it takes no orders: leaving, unreachable, or one is open.
    pub closed: bool,
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
pub fn plan(wishes: &[PlacementWish], rooms: &[PlacementRoom]) -> Vec<PlacementOrder> {
    let mut rooms = rooms.to_vec();
    let mut orders = Vec::new();
    for wish in wishes {
        for zone in &wish.zones {
            fill(wish, zone, wishes, &mut rooms, &mut orders);
        }
    }
    for place in 0..rooms.len() {
        if let Some(served) = outdated(&rooms[place], wishes, &rooms) {
            unload(&mut rooms[place], served, &mut orders);
        }
    }
    orders
}

fn fill(
    wish: &PlacementWish,
    zone: &ZoneId,
    wishes: &[PlacementWish],
    rooms: &mut [PlacementRoom],
    orders: &mut Vec<PlacementOrder>,
) {
    let present = copies(&wish.served, zone, rooms) + coming(&wish.served, zone, rooms);
    let missing = wish.copies.saturating_sub(present);
    for _ in 0..missing {
        let open = |room: &&mut PlacementRoom| {
            let free = room.zone == *zone && !room.closed;
            free && room.hosts.contains(&wish.served.model) && !has(room, &wish.served)
        };
        let free = |room: &PlacementRoom| {
            let taken = room.models.len() + room.loading.len();
            room.capacity.saturating_sub(taken)
        };
        let target = rooms
            .iter_mut()
            .filter(open)
            .filter(|room| free(room) > 0)
            .max_by_key(|room| free(room));
        if let Some(room) = target {
            room.closed = true;
            room.loading.push(wish.served.clone());
            orders.push(PlacementOrder {
                backend: room.backend.clone(),
                kind: OrderKind::Load(wish.served.clone()),
            });
            continue;
        }
        let place = rooms.iter().position(|room| {
            let open = room.zone == *zone && !room.closed;
            let hosts = room.hosts.contains(&wish.served.model) && !has(room, &wish.served);
            open && hosts && surplus(room, wishes, rooms).is_some()
        });
        let Some(place) = place else {
            return;
        };
        if let Some(served) = surplus(&rooms[place], wishes, rooms) {
            unload(&mut rooms[place], served, orders);
        }
    }
}

fn has(room: &PlacementRoom, served: &ServedModel) -> bool {
    room.models.contains(served) || room.loading.contains(served)
}

/// Servers of a zone that hold a model and stay.
fn copies(served: &ServedModel, zone: &ZoneId, rooms: &[PlacementRoom]) -> usize {
    let stays = |room: &&PlacementRoom| room.zone == *zone && !room.leaving;
    let holds = |room: &&PlacementRoom| room.models.contains(served);
    rooms.iter().filter(stays).filter(holds).count()
}

/// Servers of a zone that are loading a model and stay.
fn coming(served: &ServedModel, zone: &ZoneId, rooms: &[PlacementRoom]) -> usize {
    let stays = |room: &&PlacementRoom| room.zone == *zone && !room.leaving;
    let loads = |room: &&PlacementRoom| room.loading.contains(served);
    rooms.iter().filter(stays).filter(loads).count()
}

/// A model of a full server that its zone can spare: unwanted, or with more
/// copies than wanted.
fn surplus(
    room: &PlacementRoom,
    wishes: &[PlacementWish],
    rooms: &[PlacementRoom],
) -> Option<ServedModel> {
    let spare = |served: &&ServedModel| {
        let wanted = wanted(served, &room.zone, wishes);
        let last_version = wanted == 0
            && wishes
                .iter()
                .any(|wish| wish.served.model == served.model && wish.zones.contains(&room.zone))
            && copies(served, &room.zone, rooms) == 1;
        !last_version && copies(served, &room.zone, rooms) > wanted
    };
    room.models.iter().find(spare).cloned()
}

/// An unwanted model whose wanted version, if there is one, is served in full.
fn outdated(
    room: &PlacementRoom,
    wishes: &[PlacementWish],
    rooms: &[PlacementRoom],
) -> Option<ServedModel> {
    if room.closed {
        return None;
    }
    let replaced = |served: &ServedModel| {
        let wish = wishes
            .iter()
            .find(|wish| wish.served.model == served.model && wish.zones.contains(&room.zone));
        wish.is_none_or(|wish| copies(&wish.served, &room.zone, rooms) >= wish.copies)
    };
    let unwanted =
        |served: &&ServedModel| wanted(served, &room.zone, wishes) == 0 && replaced(served);
    room.models.iter().find(unwanted).cloned()
}

fn wanted(served: &ServedModel, zone: &ZoneId, wishes: &[PlacementWish]) -> usize {
    let same = |wish: &&PlacementWish| wish.served == *served && wish.zones.contains(zone);
    wishes.iter().find(same).map_or(0, |wish| wish.copies)
}

fn unload(room: &mut PlacementRoom, served: ServedModel, orders: &mut Vec<PlacementOrder>) {
    room.closed = true;
    room.models.retain(|other| *other != served);
    orders.push(PlacementOrder {
        backend: room.backend.clone(),
        kind: OrderKind::Unload(served),
    });
}
