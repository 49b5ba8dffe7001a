//! Applies the operator's evacuations of availability zones.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::EvacuationChange;
use guavawell_core::forward::ReturnSource;
use guavawell_core::forward::ZoneGap;
use guavawell_core::forward::ZoneReturn;
use guavawell_core::forward::ZoneState;
use guavawell_core::id::ServiceId;
use guavawell_core::id::ZoneId;
use guavawell_core::number::fraction;
use guavawell_fleet::event::EventDraft;

use crate::config::PeerConfig;
use crate::router::ForwardRouter;

impl ForwardRouter {
    /// Applies the store's complete list of evacuated zones as of a revision. The
    /// list does not tell of evacuations that ended before; they are read from the
    /// history. `newest_row` is the newest revision of any row of the table.
    pub fn replace_evacuations(&self, rows: &[ZoneState], newest_row: u64, revision: u64) {
        self.zone_history.set_newest_row(newest_row);
        let mut servers = self.servers.borrow_mut();
        let evacuations = servers.evacuations_mut();
        let (read, after) = (evacuations.revision(), evacuations.known_revision());
        let change = evacuations.replace(rows, revision);
        drop(servers);
        self.zones_unread(read, revision);
        self.apply_evacuations(&change, |_| {
            let source = ReturnSource::StoreList { after };
            (revision, source)
        });
        self.publish_evacuations();
    }

    /// Applies changed rows of evacuated zones; `revision` is that of the store's
    /// response.
    pub fn change_evacuations(&self, rows: &[ZoneState], revision: u64) {
        let mut servers = self.servers.borrow_mut();
        let evacuations = servers.evacuations_mut();
        let change = evacuations.apply_changes(rows, revision);
        drop(servers);
        self.apply_evacuations(&change, |zone| self.stored_origin(zone, revision));
        self.publish_evacuations();
    }

    /// Records that the store answered a query, sent at `sent_at`, as of a revision:
    /// what other instances had told before of later revisions is false.
    pub fn zones_checked(&self, sent_at: ClockTime, revision: u64) {
        // The time of a query also counts while the process was suspended.
        let age = self.clock.boot_now().since(sent_at);
        let asked_at = self.clock.now().before(age);
        let mut servers = self.servers.borrow_mut();
        let change = servers.evacuations_mut().refute_told(asked_at, revision);
        drop(servers);
        self.apply_evacuations(&change, |zone| self.stored_origin(zone, revision));
        self.confirm_zones(sent_at);
    }

    /// The revision as of which the store told a zone's state.
    fn stored_origin(&self, zone: &ZoneId, revision: u64) -> (u64, ReturnSource) {
        let servers = self.servers.borrow();
        let state = servers.evacuations().state_revision(zone);
        (state.unwrap_or(revision), ReturnSource::Store)
    }

    /// Applies changes from the history, with their own revisions: only the ends
    /// of evacuations, as the present state is known.
    pub fn apply_zone_history(&self, rows: &[ZoneState]) {
        for row in rows.iter().filter(|row| !row.evacuated) {
            self.add_return(
                &row.zone,
                row.revision,
                self.clock.now(),
                ReturnSource::History,
            );
        }
        self.publish_evacuations();
    }

    /// Applies what another instance tells of evacuated zones. Where it tells the
    /// returns too, they have exact revisions, and those of the list add nothing.
    pub fn learn_zones(&self, answer: &PeerConfig) {
        let now = self.clock.now();
        let returns = answer.returns.as_ref();
        let told = returns.map_or(&[][..], |returns| &returns.returns);
        for told in told {
            let at = now.before(told.age);
            self.add_return(&told.zone, told.revision, at, ReturnSource::Instance);
        }
        let Some(list) = &answer.evacuations else {
            return;
        };
        let revision = list.revision;
        let mut servers = self.servers.borrow_mut();
        let evacuations = servers.evacuations_mut();
        let after = evacuations.known_revision();
        let mut change = evacuations.learn(list.clone(), now);
        drop(servers);
        let is_told = |zone: &ZoneId| {
            let mut told = told.iter();
            told.any(|told| told.zone == *zone && told.revision > after)
        };
        change.ended.retain(|zone| !is_told(zone));
        self.apply_evacuations(&change, |_| {
            let source = ReturnSource::InstanceList { after };
            (revision, source)
        });
        let Some(returns) = returns else {
            return;
        };
        if after > 0 && revision > after {
            self.zones_unread(after, returns.complete_from);
        }
        self.zones_told(returns.complete_from, revision);
    }

    /// Closes the gap in what is known of evacuated zones, if another instance knows
    /// all changes between two revisions and no entry is older.
    fn zones_told(&self, from: u64, to: u64) {
        let is_known = |gap: &ZoneGap| {
            gap.to <= to && from <= gap.from.max(self.oldest_listing().unwrap_or(gap.to))
        };
        let lost = self.servers.borrow().evacuations().returns().lost();
        if lost.as_ref().is_some_and(is_known) {
            let mut servers = self.servers.borrow_mut();
            servers.evacuations_mut().returns_mut().find_lost();
        }
        if self.zone_gap().as_ref().is_some_and(is_known) {
            self.zones_read(from, to);
        }
    }

    /// Records that changes of evacuated zones between two revisions were not read.
    pub fn zones_unread(&self, from: u64, to: u64) {
        let at = self.clock.now();
        let mut servers = self.servers.borrow_mut();
        let gap = ZoneGap { from, to, at };
        servers.evacuations_mut().returns_mut().open_gap(gap);
        drop(servers);
        self.zone_history.gap_changed();
    }

    /// Records that all changes of evacuated zones between two revisions are known,
    /// or no longer matter.
    pub fn zones_read(&self, from: u64, to: u64) {
        let mut servers = self.servers.borrow_mut();
        servers.evacuations_mut().returns_mut().close_gap(from, to);
        drop(servers);
        self.publish_evacuations();
        self.zone_history.gap_changed();
    }

    /// Records that the changes of evacuated zones after the revision `from` and up to
    /// `to` are known, and that those before may be lost.
    pub fn zones_narrowed(&self, from: u64, to: u64) {
        let mut servers = self.servers.borrow_mut();
        servers.evacuations_mut().returns_mut().narrow_gap(from, to);
    }

    /// Records that changes of evacuated zones up to the revision `from` can't be
    /// read, and that those after it and up to `to` are known.
    pub fn zones_lost(&self, from: u64, to: u64) {
        let mut servers = self.servers.borrow_mut();
        servers.evacuations_mut().returns_mut().lose_gap(from, to);
        drop(servers);
        self.publish_evacuations();
        self.zone_history.gap_changed();
    }

    /// Records that the returns after an older revision than before are known.
    pub fn older_zones_read(&self, from: u64) {
        let mut servers = self.servers.borrow_mut();
        servers.evacuations_mut().returns_mut().extend_back(from);
        drop(servers);
        self.publish_evacuations();
    }

    /// The changes of evacuated zones that were not read.
    #[must_use]
    pub fn zone_gap(&self) -> Option<ZoneGap> {
        self.servers.borrow().evacuations().returns().gap()
    }

    /// Passes what was read from the store on to where other instances ask for it.
    /// While changes are unread, no returns are told, as some may be missing.
    fn publish_evacuations(&self) {
        let servers = self.servers.borrow();
        let evacuations = servers.evacuations();
        let complete_from = evacuations.returns().complete_from();
        let returns = complete_from.map(|from| (from, evacuations.stored_returns()));
        self.configs
            .set_evacuations(evacuations.stored_list(), returns);
    }

    /// Applies a change; `origin_of` tells the revision as of which a zone's state is
    /// known, and from where.
    fn apply_evacuations(
        &self,
        change: &EvacuationChange,
        origin_of: impl Fn(&ZoneId) -> (u64, ReturnSource),
    ) {
        for zone in &change.began {
            let (revision, source) = origin_of(zone);
            self.log_zone("zone.evacuated", zone, revision, source);
        }
        for zone in &change.ended {
            let (revision, source) = origin_of(zone);
            self.add_return(zone, revision, self.clock.now(), source);
        }
        let count = self.servers.borrow().evacuations().zones().len();
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        metrics::gauge!("guavawell_forward_evacuated_zones").set(fraction(count));
    }

    fn add_return(&self, zone: &ZoneId, revision: u64, at: ClockTime, source: ReturnSource) {
        let zone_return = ZoneReturn {
            zone: zone.clone(),
            revision,
            at,
        };
        let mut servers = self.servers.borrow_mut();
        let is_news = servers
            .evacuations_mut()
            .returns_mut()
            .add(zone_return, source);
        drop(servers);
        if is_news {
            self.refresh_servers();
            self.log_zone("zone.returned", zone, revision, source);
        }
    }

    /// How long a server of a service is cold after its start; `None` if the
    /// service has no slow start.
    #[must_use]
    pub fn cold_span(&self, service: &ServiceId) -> Option<ClockSpan> {
        let config = self.configs.current()?;
        let slow_start = config.service(service)?.slow_start;
        slow_start.map(|slow_start| slow_start.span)
    }

    fn log_zone(&self, kind: &str, zone: &ZoneId, revision: u64, source: ReturnSource) {
        let is_known = self.settings.regions.region(zone).is_some();
        let draft = EventDraft::new(kind)
            .field("zone", zone)
            .field("row", revision)
            .field("source", source_name(source))
            .field("in_settings", is_known);
        self.log.emit(draft);
    }
}

const fn source_name(source: ReturnSource) -> &'static str {
    match source {
        ReturnSource::Store | ReturnSource::StoreList { .. } => "store",
        ReturnSource::History => "history",
        ReturnSource::Instance | ReturnSource::InstanceList { .. } => "instance",
    }
}
