//! One router's side: backend servers, admission and leases.

use std::sync::Arc;

use guavawell_core::backend::BackendLease;
use guavawell_core::backend::BackendSpec;
use guavawell_core::backend::BackendTable;
use guavawell_core::backend::ChoiceRequest;
use guavawell_core::backend::LeaseOutcome;
use guavawell_core::backend::LoadReport;
use guavawell_core::backend::RouteTarget;
use guavawell_core::backend::RoutingSettings;
use guavawell_core::backend::ServedModel;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::ZoneId;
use guavawell_core::limits::Admission;
use guavawell_core::limits::AdmissionEffect;
use guavawell_core::limits::AdmissionSettings;

/// Requests that a router runs of one target at most.
const MAX_RUNNING: u32 = 4_096;

pub struct RouterSide {
    pub admission: Admission,
    table: Arc<BackendTable>,
    target: RouteTarget,
    zone: ZoneId,
    /// Sorted by request.
    leases: Vec<(usize, BackendLease)>,
}

/// The model that every engine serves.
pub fn model() -> ServedModel {
    ServedModel {
        model: "m".parse().expect("model"),
        version: "1".parse().expect("version"),
    }
}

fn spec(number: usize) -> BackendSpec {
    BackendSpec {
        id: format!("engine-{number:04}").parse().expect("id"),
        zone: "zone".parse().expect("zone"),
        models: vec![model()],
        services: Vec::new(),
        leaving: false,
    }
}

impl RouterSide {
    pub fn new(routers: usize, engines: usize, start: u64) -> Self {
        let specs = (0..engines).map(spec).collect();
        let start = ClockTime::from_millis(start);
        let table = BackendTable::new(RoutingSettings::default(), specs, start);
        table.set_routers(u32::try_from(routers).expect("small"));
        Self {
            admission: Admission::new(AdmissionSettings::default()),
            table: Arc::new(table),
            target: RouteTarget::Model(model().model),
            zone: "zone".parse().expect("zone"),
            leases: Vec::new(),
        }
    }

    pub fn report(&self, engine: usize, report: &LoadReport, now: ClockTime) {
        let id = &self.table.specs()[engine].id;
        let _ = self.table.apply_report(id, report, now);
    }

    pub fn review(&mut self, now: ClockTime) -> Vec<AdmissionEffect> {
        let mut effects = Vec::new();
        let limit = self.table.capacity(&self.target, now).min(MAX_RUNNING);
        self.admission.tick(now, &mut effects);
        self.admission
            .set_slots(self.table.slot_share(&self.target, now));
        self.admission.set_limit(limit.max(1), now, &mut effects);
        effects
    }

    /// Chooses an engine and counts the request in flight there.
    pub fn choose(&mut self, number: usize, draw: u64, now: ClockTime) -> Option<usize> {
        let ask = ChoiceRequest {
            target: &self.target,
            version: None,
            adapter: None,
            zone: &self.zone,
            prefix: None,
            exclude: &[],
            draw,
            now,
        };
        let lease = self.table.choose(&ask).ok()?.begin(now).ok()?;
        let id = lease.backend().id();
        let specs = self.table.specs();
        let engine = specs.iter().position(|spec| spec.id == *id);
        let place = self.leases.partition_point(|held| held.0 < number);
        self.leases.insert(place, (number, lease));
        engine
    }

    pub fn first_token(&mut self, number: usize, now: ClockTime) {
        if let Ok(place) = self.leases.binary_search_by_key(&number, |held| held.0) {
            self.leases[place].1.first_token(now);
        }
    }

    pub fn end_lease(&mut self, number: usize, outcome: LeaseOutcome, now: ClockTime) {
        if let Ok(place) = self.leases.binary_search_by_key(&number, |held| held.0) {
            self.leases.remove(place).1.finish(outcome, now);
        }
    }
}
