//! Load reports and cache events on their way to the routers, and faults.

use guavawell_core::backend::CacheBatch;
use guavawell_core::backend::LoadReport;
use guavawell_core::clock::ClockTime;

use super::super::engine::SLOTS;
use super::END_MS;
use super::ExperimentWorld;
use super::NOTICE_MS;
use super::REPORT_LAG_MS;
use super::REPORT_MS;
use super::WorldEvent;
use super::setup::WorldFault;
use super::spec;

impl ExperimentWorld {
    pub(super) fn report(&mut self, engine: usize) {
        self.advance(engine);
        let state = &mut self.engines[engine];
        if state.dead || self.now > END_MS {
            return;
        }
        let load = state.load();
        let size = |number: usize| u32::try_from(number).expect("small");
        let role = if state.leaving_since.is_some() {
            "leaving"
        } else {
            "serve"
        };
        let report = LoadReport {
            at: ClockTime::from_millis(self.now),
            running: size(load.min(SLOTS)),
            queued: size(load.saturating_sub(SLOTS)),
            slots: size(SLOTS),
            models: spec(engine, 1).models,
            role: role.into(),
        };
        let mut events = std::mem::take(&mut state.events);
        events.retain(|_| self.choices.below(10) > 0);
        let next = state.event_count;
        let batch = CacheBatch { events, next };
        self.after(REPORT_LAG_MS, WorldEvent::Deliver(engine, report, batch));
        self.after(REPORT_MS, WorldEvent::Report(engine));
    }

    pub(super) fn deliver(&mut self, engine: usize, report: &LoadReport, batch: &CacheBatch) {
        let now = self.time();
        for number in 0..self.routers.len() {
            let router = &mut self.routers[number];
            let zone = &router.table.specs()[engine].zone;
            let local = self.setup.spill.hot_percent > 0 && *zone != router.zone;
            if local || !router.near[engine] {
                continue;
            }
            let id = &router.table.specs()[engine].id;
            router.reported[engine] = report.running + report.queued;
            router.left_out[engine] |= &*report.role == "leaving";
            let _ = router.table.apply_report(id, report, now);
            let _ = router.table.apply_cache_events(id, batch);
            let limit = router.table.capacity(&self.target, now);
            let slots = router.table.slot_share(&self.target, now);
            let mut effects = Vec::new();
            router.admission.set_slots(slots);
            router.admission.set_limit(limit, now, &mut effects);
            self.follow(&effects);
        }
    }

    /// A lost zone takes no new work; what runs there ends undisturbed.
    pub(super) fn break_something(&mut self) {
        let zones = self.setup.zones;
        match self.setup.fault {
            WorldFault::None => {}
            WorldFault::SlowServer => self.engines[0].slowness = 4,
            WorldFault::Leaving => self.engines[0].leaving_since = Some(self.now),
            WorldFault::ServerLost => self.engines[0].dead = true,
            WorldFault::ZoneLost => {
                let lost = self.engines.iter_mut().step_by(zones);
                lost.for_each(|engine| engine.dead = true);
            }
            WorldFault::RoutersLost => {
                self.live = self.setup.routers / 2;
                self.after(NOTICE_MS, WorldEvent::Notice);
            }
        }
    }
}
