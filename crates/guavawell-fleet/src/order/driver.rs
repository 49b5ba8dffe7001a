//! Looks at a zone again and again and issues the orders that it lacks.
//!
//! Hashing among the zone's routers says which of them looks after a server;
//! the right to issue comes from the row in the table alone, so that two
//! routers with different views of the fleet do no harm.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use arc_swap::ArcSwap;
use guavawell_core::backend::ServedModel;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::BackendId;
use guavawell_core::id::ZoneId;
use guavawell_core::instance::MemberView;
use guavawell_core::manifest::FleetView;
use guavawell_core::order::IssuerId;
use guavawell_core::order::OrderKind;
use guavawell_core::order::PlacementOrder;
use guavawell_core::order::plan;
use smol::Timer;

use super::book::ModelBook;
use super::picture::PictureBounds;
use super::picture::ZonePicture;
use super::run::OrderPorts;
use super::run::OrderRun;
use super::run::OrderTarget;
use super::run::RunStep;
use super::table::StoredOrder;
use crate::clock;
use crate::settings::OrderSettings;
use crate::task::TaskSpawner;

/// Time after an order's end until load reports show what it did.
const SETTLE: ClockSpan = ClockSpan::from_millis(2_000);

/// What the driver needs of the router.
pub struct OrderParts {
    /// This life of the router.
    pub issuer: IssuerId,
    /// Its zone.
    pub zone: ZoneId,
    /// The manifest in force.
    pub view: Arc<ArcSwap<FleetView>>,
    /// The members as gossip sees them.
    pub members: Box<dyn Fn() -> Arc<MemberView> + Send + Sync>,
    /// What the engines reported.
    pub book: Arc<ModelBook>,
    /// Table, engines, events.
    pub ports: Arc<OrderPorts>,
    /// Where orders run.
    pub tasks: TaskSpawner,
    /// The settings.
    pub settings: OrderSettings,
}

/// An order of this router that runs, or has ended a moment ago.
#[derive(Clone, Debug)]
struct OwnOrder {
    order: PlacementOrder,
    /// When the server may get another; none while the order runs.
    until: Option<ClockTime>,
}

/// An open order of another router.
#[derive(Clone, Debug)]
struct SeenOrder {
    backend: BackendId,
    revision: u64,
    since: ClockTime,
}

#[derive(Debug, Default)]
struct DriverState {
    own: Vec<OwnOrder>,
    seen: Vec<SeenOrder>,
}

/// Issues the orders of the servers that hashing gives to this router.
pub struct OrderDriver {
    parts: OrderParts,
    started: ClockTime,
    state: Mutex<DriverState>,
}

impl OrderDriver {
    /// A driver; nothing happens before [`Self::run`] or [`Self::review`].
    #[must_use]
    pub fn new(parts: OrderParts) -> Self {
        let started = (parts.ports.now)();
        Self {
            parts,
            started,
            state: Mutex::default(),
        }
    }

    /// Reviews the zone as long as the router runs.
    pub async fn run(self: Arc<Self>) {
        let pause = clock::duration(self.parts.settings.review_ms);
        if !self.parts.settings.enabled {
            return;
        }
        loop {
            Timer::after(pause).await;
            self.review().await;
        }
    }

    /// Looks at the zone once and starts the orders that it lacks.
    pub async fn review(self: &Arc<Self>) {
        let now = (self.parts.ports.now)();
        self.forget_ended(now);
        let members = (self.parts.members)();
        let mut picture = self.picture(now);
        self.mark_own(&mut picture);
        let waits = now.since(self.started) <= self.parts.settings.silent_after_ms;
        let lacks = !plan(&picture.wishes, &picture.rooms).is_empty();
        if !members.own().is_routable() || !lacks || (picture.unseen > 0 && waits) {
            return;
        }
        let Ok(stored) = self.parts.ports.table.read_all().await else {
            return;
        };
        let gone = self.mark_others(&mut picture, &stored, &members, now);
        for order in plan(&picture.wishes, &picture.rooms) {
            let is_own = self.is_own(&members, &order.backend);
            if is_own && self.is_safe(&picture, &order).await && !self.begin(&order, &gone) {
                return;
            }
        }
    }

    fn picture(&self, now: ClockTime) -> ZonePicture {
        let parts = &self.parts;
        let bounds = PictureBounds {
            spare: usize::try_from(parts.settings.spare_models).unwrap_or(usize::MAX),
            silence: parts.settings.silent_after_ms,
        };
        ZonePicture::take(&parts.view.load(), &parts.zone, &parts.book, bounds, now)
    }

    fn is_own(&self, members: &MemberView, backend: &BackendId) -> bool {
        let key = backend.as_str().as_bytes();
        let owner = members.owner_in(&self.parts.zone, key);
        owner.is_some_and(|owner| owner.instance == self.parts.issuer.instance)
    }

    fn forget_ended(&self, now: ClockTime) {
        let ended = |own: &OwnOrder| own.until.is_some_and(|until| until <= now);
        self.state().own.retain(|own| !ended(own));
    }

    /// Closes the servers that have an order of this router.
    fn mark_own(&self, picture: &mut ZonePicture) {
        let state = self.state();
        for room in &mut picture.rooms {
            let own = state
                .own
                .iter()
                .find(|own| own.order.backend == room.backend);
            if let Some(own) = own {
                room.blocked = true;
                room.loading.extend(loading(&own.order.kind));
            }
        }
    }

    /// Closes the servers that have an open order of another router, unless it
    /// may be taken over; returns the servers where that is so.
    fn mark_others(
        &self,
        picture: &mut ZonePicture,
        stored: &[StoredOrder],
        members: &MemberView,
        now: ClockTime,
    ) -> Vec<BackendId> {
        let mut gone = Vec::new();
        for room in &mut picture.rooms {
            let Ok(place) = stored.binary_search_by(|stored| stored.backend.cmp(&room.backend))
            else {
                continue;
            };
            let order = &stored[place];
            let foreign = !order.row.done && order.row.owner != self.parts.issuer;
            if foreign && self.may_take_over(order, members, now) {
                gone.push(room.backend.clone());
            } else if foreign {
                room.blocked = true;
                room.loading.extend(loading(&order.row.kind));
            }
        }
        gone
    }

    /// Whether an open order's issuer is gone by gossip, or has left its row
    /// as it is for long.
    fn may_take_over(&self, order: &StoredOrder, members: &MemberView, now: ClockTime) -> bool {
        let owner = &order.row.owner;
        let lives = members
            .find(&owner.instance)
            .is_some_and(|member| member.incarnation == owner.incarnation && member.is_routable());
        if !lives {
            return true;
        }
        let mut state = self.state();
        let same = |seen: &&SeenOrder| seen.backend == order.backend;
        if let Some(seen) = state.seen.iter().find(same)
            && seen.revision == order.revision
        {
            return now.since(seen.since) > self.parts.settings.take_over_ms;
        }
        state.seen.retain(|seen| seen.backend != order.backend);
        state.seen.push(SeenOrder {
            backend: order.backend.clone(),
            revision: order.revision,
            since: now,
        });
        false
    }

    /// Whether an unload leaves its model served in this zone. The engines are
    /// asked anew, as reports lag; a wanted version is never unloaded, so that
    /// two routers at once take no copy too many.
    async fn is_safe(&self, picture: &ZonePicture, order: &PlacementOrder) -> bool {
        let OrderKind::Unload(served) = &order.kind else {
            return true;
        };
        let Some(wish) = picture.wish_for(&served.model) else {
            return true;
        };
        if wish.served == *served {
            return false;
        }
        let mut holders = 0;
        for room in picture.rooms.iter().filter(|room| !room.leaving) {
            let Some(address) = self.address_of(&room.backend) else {
                continue;
            };
            let read = self.parts.ports.engines.orders(address).await;
            let holds = read.is_ok_and(|reading| reading.models.contains(&wish.served));
            holders += usize::from(holds);
        }
        holders > 0 && holders >= wish.replicas
    }

    /// Starts an order; false if this router has enough of them.
    fn begin(self: &Arc<Self>, order: &PlacementOrder, gone: &[BackendId]) -> bool {
        let Some(address) = self.address_of(&order.backend) else {
            return true;
        };
        let mut state = self.state();
        let running = state.own.iter().filter(|own| own.until.is_none()).count();
        if running >= usize::try_from(self.parts.settings.at_once).unwrap_or(usize::MAX) {
            return false;
        }
        state.own.push(OwnOrder {
            order: order.clone(),
            until: None,
        });
        drop(state);
        let driver = Arc::clone(self);
        let take_over = gone.contains(&order.backend);
        let order = order.clone();
        self.parts.tasks.spawn(async move {
            let target = OrderTarget {
                backend: order.backend.clone(),
                address,
            };
            driver.carry_out(target, order.kind, take_over).await;
        });
        true
    }

    async fn carry_out(&self, target: OrderTarget, kind: OrderKind, take_over: bool) {
        let ports = Arc::clone(&self.parts.ports);
        let backend = target.backend.clone();
        let issuer = self.parts.issuer.clone();
        let mut run = OrderRun::new(ports, target, issuer, kind, take_over);
        let end = run.run().await;
        let settled = (self.parts.ports.now)() + SETTLE;
        let until = match end {
            RunStep::PutOff(until) => until,
            _ => settled,
        };
        let mut state = self.state();
        let own = state
            .own
            .iter_mut()
            .find(|own| own.order.backend == backend);
        if let Some(own) = own {
            own.until = Some(until);
        }
    }

    fn address_of(&self, backend: &BackendId) -> Option<SocketAddr> {
        let view = self.parts.view.load();
        view.backend(backend).map(|entry| entry.address)
    }

    fn state(&self) -> MutexGuard<'_, DriverState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn loading(kind: &OrderKind) -> Option<ServedModel> {
    match kind {
        OrderKind::Load(served) => Some(served.clone()),
        OrderKind::Unload(_) | OrderKind::Role(_) => None,
    }
}
