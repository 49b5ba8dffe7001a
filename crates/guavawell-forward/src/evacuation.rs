//! Applies the operator's evacuations of availability zones.

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::EvacuationChange;
use guavawell_core::forward::EvacuationList;
use guavawell_core::forward::ZoneState;
use guavawell_core::id::ServiceId;
use guavawell_core::id::ZoneId;
use guavawell_core::number::fraction;
use guavawell_fleet::event::EventDraft;

use crate::router::ForwardRouter;

impl ForwardRouter {
    /// Applies the store's complete list of evacuated zones as of a revision.
    pub fn replace_evacuations(&self, rows: &[ZoneState], revision: u64) {
        let mut servers = self.servers.borrow_mut();
        let change = servers.evacuations_mut().replace(rows, revision);
        drop(servers);
        self.evacuations_read(&change, revision);
    }

    /// Applies changed rows of evacuated zones; `revision` is that of the store's
    /// response.
    pub fn change_evacuations(&self, rows: &[ZoneState], revision: u64) {
        let mut servers = self.servers.borrow_mut();
        let change = servers.evacuations_mut().apply_changes(rows, revision);
        drop(servers);
        self.evacuations_read(&change, revision);
    }

    /// Applies another instance's list of evacuated zones.
    pub fn learn_evacuations(&self, list: EvacuationList) {
        let revision = list.revision;
        let change = self.servers.borrow_mut().evacuations_mut().learn(list);
        self.apply_evacuations(&change, revision, "instance");
    }

    fn evacuations_read(&self, change: &EvacuationChange, revision: u64) {
        let list = self.servers.borrow().evacuations().stored_list();
        self.configs.set_evacuations(list);
        self.apply_evacuations(change, revision, "store");
    }

    fn apply_evacuations(&self, change: &EvacuationChange, revision: u64, source: &str) {
        for zone in &change.began {
            self.log_zone("zone.evacuated", zone, revision, source);
        }
        for zone in &change.ended {
            let now = self.clock.now();
            let mut servers = self.servers.borrow_mut();
            servers.note_zone_return(zone, now, revision);
            drop(servers);
            self.log_zone("zone.returned", zone, revision, source);
        }
        let count = self.servers.borrow().evacuations().zones().len();
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        metrics::gauge!("guavawell_forward_evacuated_zones").set(fraction(count));
    }

    /// How long a server of a service is cold after its start; `None` if the
    /// service has no slow start.
    #[must_use]
    pub fn cold_span(&self, service: &ServiceId) -> Option<ClockSpan> {
        let config = self.configs.current()?;
        let slow_start = config.service(service)?.slow_start;
        slow_start.map(|slow_start| slow_start.span)
    }

    fn log_zone(&self, kind: &str, zone: &ZoneId, revision: u64, source: &str) {
        let is_known = self.settings.regions.region(zone).is_some();
        let draft = EventDraft::new(kind)
            .field("zone", zone)
            .field("row", revision)
            .field("source", source)
            .field("in_settings", is_known);
        self.log.emit(draft);
    }
}
