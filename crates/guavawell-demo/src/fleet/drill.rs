//! Failures brought about on purpose: partitions, outages of one zone, pauses.

use guavawell_core::id::InstanceId;
use guavawell_fleet::drill::LinkCuts;

use super::DemoFleet;
use super::FleetRouter;

/// Links between the fleet's zones that are cut now.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneCuts {
    /// Pairs of zones that do not reach each other.
    pairs: Vec<(usize, usize)>,
    /// Zones that do not reach the platform.
    platform: Vec<usize>,
    /// Single routers that do not reach the platform, by their instance.
    alone: Vec<InstanceId>,
}

impl ZoneCuts {
    fn parts(&self, a: usize, b: usize) -> bool {
        self.pairs.contains(&(a, b)) || self.pairs.contains(&(b, a))
    }
}

impl DemoFleet {
    /// Cuts the routers of two zones off from each other.
    pub fn cut(&mut self, zone_a: usize, zone_b: usize) {
        self.cuts.pairs.push((zone_a, zone_b));
        self.apply_cuts();
    }

    /// Cuts a zone's routers off from the platform.
    pub fn cut_platform(&mut self, zone: usize) {
        self.cuts.platform.push(zone);
        self.apply_cuts();
    }

    /// Cuts one router off from the platform.
    pub fn cut_platform_of(&mut self, router: usize) {
        self.cuts.alone.push(self.routers[router].id.clone());
        self.apply_cuts();
    }

    /// Cuts a zone's routers off from every other zone and from the platform.
    pub fn isolate(&mut self, zone: usize) {
        for other in (0..self.settings.zones).filter(|other| *other != zone) {
            self.cuts.pairs.push((zone, other));
        }
        self.cut_platform(zone);
    }

    /// Freezes a router's tasks.
    pub fn pause(&self, router: usize) {
        self.routers[router].gate.set_paused(true);
    }

    /// Lets a frozen router go on.
    pub fn resume(&self, router: usize) {
        self.routers[router].gate.set_paused(false);
    }

    /// Mends every link and lets every frozen router go on.
    pub fn heal(&mut self) {
        self.cuts = ZoneCuts::default();
        self.apply_cuts();
        for router in 0..self.routers.len() {
            self.resume(router);
        }
    }

    /// Tells each router's gate what is cut now.
    pub(super) fn apply_cuts(&self) {
        for router in &self.routers {
            router.gate.set_cuts(self.cuts_of(router));
        }
    }

    fn cuts_of(&self, router: &FleetRouter) -> LinkCuts {
        let mut cuts = LinkCuts::default();
        for other in &self.routers {
            if self.cuts.parts(router.zone, other.zone) {
                cuts = cuts.without_peer(&other.id, other.gossip);
            }
        }
        let is_alone = self.cuts.alone.contains(&router.id);
        if is_alone || self.cuts.platform.contains(&router.zone) {
            cuts = cuts.without_platform();
        }
        cuts
    }
}
