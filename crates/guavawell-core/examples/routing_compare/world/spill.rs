//! Zones that are used unevenly, and what they tell each other.

use guavawell_core::backend::ZoneSummary;

use super::END_MS;
use super::ExperimentWorld;
use super::WorldEvent;

/// Time between two summaries of a zone, and on their way.
const SUMMARY_MS: u64 = 5_000;
const SUMMARY_LAG_MS: u64 = 1_500;

impl ExperimentWorld {
    /// The router that a request reaches.
    pub(super) fn draw_router(&mut self) -> usize {
        let zones = self.setup.zones;
        let hot = self.setup.spill.hot_percent;
        if hot == 0 {
            return self.draws.place(self.live);
        }
        let in_zone = self.live / zones;
        let zone = if self.draws.below(100) < hot {
            0
        } else {
            1 + self.draws.place(zones - 1)
        };
        self.draws.place(in_zone) * zones + zone
    }

    /// One router of a zone tells how full its engines are.
    pub(super) fn tell(&mut self, zone: usize) {
        if !self.setup.spill.told || self.now > END_MS {
            return;
        }
        let router = &self.routers[zone];
        let summary = router.table.summarise(&router.zone, self.time());
        self.after(SUMMARY_LAG_MS, WorldEvent::Told(zone, summary));
        self.after(SUMMARY_MS, WorldEvent::Tell(zone));
    }

    pub(super) fn told(&mut self, zone: usize, summary: &ZoneSummary) {
        let now = self.time();
        let from = self.routers[zone].zone.clone();
        let others = self.routers.iter().filter(|router| router.zone != from);
        for router in others {
            router.table.apply_summary(&from, summary, now);
        }
    }
}
