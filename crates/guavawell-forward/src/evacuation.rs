//! Applies the operator's evacuations of availability zones.

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::EvacuationChange;
use guavawell_core::forward::EvacuationList;
use guavawell_core::forward::ZoneReturn;
use guavawell_core::forward::ZoneState;
use guavawell_core::id::ServiceId;
use guavawell_core::id::ZoneId;
use guavawell_core::number::fraction;
use guavawell_fleet::event::EventDraft;

use crate::config::PeerReturn;
use crate::router::ForwardRouter;

impl ForwardRouter {
    /// Applies the store's complete list of evacuated zones as of a revision. The
    /// list does not tell of evacuations that ended before; they are read from the
    /// history.
    pub fn replace_evacuations(&self, rows: &[ZoneState], revision: u64) {
        let mut servers = self.servers.borrow_mut();
        let known = servers.evacuations().revision();
        let change = servers.evacuations_mut().replace(rows, revision);
        drop(servers);
        self.zone_history.add_gap(known);
        self.evacuations_read(&change, revision);
    }

    /// Applies changes from the history, with their own revisions: only the ends
    /// of evacuations, as the present state is known.
    pub fn apply_zone_history(&self, rows: &[ZoneState]) {
        for row in rows.iter().filter(|row| !row.evacuated) {
            let now = self.clock.now();
            let mut servers = self.servers.borrow_mut();
            let is_news = servers.note_zone_return(&row.zone, now, row.revision);
            drop(servers);
            if is_news {
                self.log_zone("zone.returned", &row.zone, row.revision, "history");
            }
        }
        self.publish_evacuations();
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
        self.apply_evacuations(&change, "instance", |_| revision);
        self.zone_history.note_told();
        self.notify_loaded();
    }

    /// Applies the ends of evacuations that another instance tells.
    pub fn learn_zone_returns(&self, returns: &[PeerReturn]) {
        for told in returns {
            let at = self.clock.now().before(told.age);
            let mut servers = self.servers.borrow_mut();
            let is_news = servers.evacuations_mut().learn_return(ZoneReturn {
                zone: told.zone.clone(),
                revision: told.revision,
                at,
            });
            drop(servers);
            if is_news {
                self.log_zone("zone.returned", &told.zone, told.revision, "instance");
            }
        }
    }

    fn evacuations_read(&self, change: &EvacuationChange, revision: u64) {
        self.apply_evacuations(change, "store", |zone| {
            let servers = self.servers.borrow();
            let state = servers.evacuations().state_revision(zone);
            state.unwrap_or(revision)
        });
        self.publish_evacuations();
    }

    /// Passes what was read from the store on to where other instances ask for it.
    fn publish_evacuations(&self) {
        let servers = self.servers.borrow();
        let evacuations = servers.evacuations();
        let (list, returns) = (evacuations.stored_list(), evacuations.stored_returns());
        self.configs.set_evacuations(list, returns);
    }

    /// Applies a change; `revision_of` tells the revision as of which a zone's state
    /// is known.
    fn apply_evacuations(
        &self,
        change: &EvacuationChange,
        source: &str,
        revision_of: impl Fn(&ZoneId) -> u64,
    ) {
        for zone in &change.began {
            self.log_zone("zone.evacuated", zone, revision_of(zone), source);
        }
        for zone in &change.ended {
            let (now, revision) = (self.clock.now(), revision_of(zone));
            let mut servers = self.servers.borrow_mut();
            servers.note_zone_return(zone, now, revision);
            drop(servers);
            self.refresh_servers();
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
