//! Which engines each router has.

use std::sync::Arc;

use guavawell_core::backend::RouterSubset;
use guavawell_core::id::InstanceId;

use super::ExperimentWorld;
use super::LEAST_SHARERS;

/// A router's id.
pub fn router_id(number: usize) -> InstanceId {
    format!("router-{number:03}").parse().expect("id")
}

impl ExperimentWorld {
    /// Gives each live router its subset of the engines of its zone.
    pub(super) fn share_out(&mut self) {
        let size = self.setup.subset;
        if size == 0 {
            return;
        }
        let now = self.time();
        let live: Vec<_> = (0..self.live).map(router_id).collect();
        for number in 0..self.live {
            let zones = self.setup.zones;
            let zone = self.routers[number].zone.clone();
            let peers = live.iter().skip(number % zones).step_by(zones);
            let own = router_id(number);
            let peers = peers.cloned().collect();
            let subset = RouterSubset::new(own, zone, peers, size, LEAST_SHARERS);
            let router = &mut self.routers[number];
            let specs = router.table.specs();
            let home = specs.iter().filter(|spec| spec.zone == *subset.zone());
            let sharers = subset.sharers(home.count());
            let near = specs.iter().map(|spec| {
                let rank = subset.rank(&spec.id);
                spec.zone != *subset.zone() || rank.is_none_or(|rank| rank < sharers)
            });
            router.near = near.collect();
            router.table = Arc::new(router.table.with_subset(Some(Arc::new(subset)), now));
        }
    }
}
