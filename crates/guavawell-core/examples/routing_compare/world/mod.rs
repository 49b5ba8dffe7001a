//! Routers, engines and callers on a virtual clock.

mod report;
mod setup;
mod spill;
mod subset;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use guavawell_core::backend::BackendLease;
use guavawell_core::backend::BackendSpec;
use guavawell_core::backend::BackendTable;
use guavawell_core::backend::CacheBatch;
use guavawell_core::backend::ChoiceRequest;
use guavawell_core::backend::LeaseOutcome;
use guavawell_core::backend::LoadReport;
use guavawell_core::backend::PrefixHash;
use guavawell_core::backend::RouteTarget;
use guavawell_core::backend::RoutingSettings;
use guavawell_core::backend::ServedModel;
use guavawell_core::backend::ZoneSummary;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::ZoneId;
use guavawell_core::limits::Admission;
use guavawell_core::limits::AdmissionAnswer;
use guavawell_core::limits::AdmissionEffect;
use guavawell_core::limits::AdmissionRequest;
use guavawell_core::limits::AdmissionSettings;
use guavawell_core::limits::AdmissionTicket;
use guavawell_core::limits::FairWeight;
use guavawell_core::limits::RequestPriority;

use super::engine::EngineJob;
use super::engine::EngineTimes;
use super::engine::ModelEngine;
use super::sample::LatencySamples;
use super::sample::RandomDraws;

pub use setup::ChoicePolicy;
use setup::NOTICE_MS;
pub use setup::SpillSetup;
pub use setup::WorldFault;
pub use setup::WorldResult;
pub use setup::WorldSetup;

/// Least routers of a server where they have subsets.
const LEAST_SHARERS: usize = 4;
const PREFIXES: u64 = 60;
const REPORT_MS: u64 = 1_000;
const REPORT_LAG_MS: u64 = 300;
const CONNECT_TIMEOUT_MS: u64 = 1_000;
const MAX_TRIES: usize = 4;
const START_MS: u64 = 1_000_000;
/// The fault comes and measuring begins here.
const MEASURE_MS: u64 = START_MS + 20_000;
const END_MS: u64 = START_MS + 120_000;

enum WorldEvent {
    Arrive(usize),
    Try(usize),
    First(usize),
    Done(usize),
    Failed(usize),
    Report(usize),
    Deliver(usize, LoadReport, CacheBatch),
    Fault,
    /// The routers left know that others are gone.
    Notice,
    /// A zone tells the others of its use.
    Tell(usize),
    Told(usize, ZoneSummary),
}

struct CallerJob {
    organisation: usize,
    router: usize,
    arrived: u64,
    prefix: PrefixHash,
    tokens: u64,
    tried: Vec<usize>,
    lease: Option<BackendLease>,
    /// Priority at the engine.
    priority: u8,
}

struct RouterView {
    zone: ZoneId,
    table: Arc<BackendTable>,
    admission: Admission,
    cursor: usize,
    reported: Vec<u32>,
    left_out: Vec<bool>,
    /// Engines of the router's subset.
    near: Vec<bool>,
}

pub struct ExperimentWorld {
    setup: WorldSetup,
    now: u64,
    agenda: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Option<WorldEvent>>,
    /// For callers; the same over all policies.
    draws: RandomDraws,
    /// For choices.
    choices: RandomDraws,
    engines: Vec<ModelEngine>,
    routers: Vec<RouterView>,
    /// Routers that the balancer sends to.
    live: usize,
    jobs: Vec<CallerJob>,
    /// When each organisation sends next.
    arrivals: Vec<f64>,
    target: RouteTarget,
    result: WorldResult,
}

/// One engine's configuration.
pub fn spec(number: usize, zones: usize) -> BackendSpec {
    let model = ServedModel {
        model: "m".parse().expect("model"),
        version: "1".parse().expect("version"),
    };
    BackendSpec {
        id: format!("engine-{number:04}").parse().expect("id"),
        zone: format!("zone-{}", number % zones).parse().expect("zone"),
        models: vec![model],
        services: Vec::new(),
        leaving: false,
    }
}

fn organisation_id(number: usize) -> OrganisationId {
    format!("o{number}").parse().expect("id")
}

impl CallerJob {
    /// The engine that it was sent to last.
    fn engine(&self) -> usize {
        self.tried[self.tried.len() - 1]
    }
}

impl ExperimentWorld {
    pub fn run(setup: WorldSetup) -> WorldResult {
        let mut world = Self::new(setup);
        world.share_out();
        for organisation in 0..world.setup.rates.len() {
            world.after(1, WorldEvent::Arrive(organisation));
        }
        for engine in 0..world.setup.engines {
            world.after(engine as u64 * 37 % REPORT_MS, WorldEvent::Report(engine));
        }
        for zone in 0..world.setup.zones {
            world.after(1_000 + 300 * zone as u64, WorldEvent::Tell(zone));
        }
        world.after(MEASURE_MS - START_MS, WorldEvent::Fault);
        while let Some(Reverse((at, place))) = world.agenda.pop() {
            world.now = at;
            if let Some(event) = world.events[place].take() {
                world.handle(event);
            }
        }
        world.result
    }

    fn new(setup: WorldSetup) -> Self {
        let specs: Vec<_> = (0..setup.engines)
            .map(|number| spec(number, setup.zones))
            .collect();
        let start = ClockTime::from_millis(START_MS);
        let router = |number: usize| RouterView {
            zone: specs[number % setup.zones].zone.clone(),
            table: Arc::new(BackendTable::new(
                RoutingSettings::default(),
                specs.clone(),
                start,
            )),
            admission: Admission::new(AdmissionSettings::default()),
            cursor: number * 3,
            reported: vec![0; setup.engines],
            left_out: vec![false; setup.engines],
            near: vec![true; setup.engines],
        };
        let routers: Vec<RouterView> = (0..setup.routers).map(router).collect();
        let count = u32::try_from(setup.routers).expect("small");
        for router in &routers {
            router.table.set_routers(count);
        }
        Self {
            now: START_MS,
            agenda: BinaryHeap::new(),
            events: Vec::new(),
            draws: RandomDraws(7),
            choices: RandomDraws(8),
            engines: (0..setup.engines).map(|_| ModelEngine::default()).collect(),
            routers,
            live: setup.routers,
            jobs: Vec::new(),
            arrivals: vec![0.0; setup.rates.len()],
            target: RouteTarget::Model("m".parse().expect("model")),
            result: WorldResult {
                first_token: vec![LatencySamples::default(); setup.rates.len()],
                refused: vec![0; setup.rates.len()],
                sent: vec![0; setup.engines],
                ..WorldResult::default()
            },
            setup,
        }
    }

    fn after(&mut self, span: u64, event: WorldEvent) {
        self.agenda
            .push(Reverse((self.now + span, self.events.len())));
        self.events.push(Some(event));
    }

    fn time(&self) -> ClockTime {
        ClockTime::from_millis(self.now)
    }

    fn handle(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Arrive(organisation) => self.arrive(organisation),
            WorldEvent::Try(job) => self.attempt(job),
            WorldEvent::First(job) => self.first(job),
            WorldEvent::Done(job) => {
                self.advance(self.jobs[job].engine());
                self.end_lease(job, LeaseOutcome::Served);
                self.leave(job);
            }
            WorldEvent::Failed(job) => self.retry(job, LeaseOutcome::Unreachable),
            WorldEvent::Report(engine) => self.report(engine),
            WorldEvent::Deliver(engine, report, batch) => self.deliver(engine, &report, &batch),
            WorldEvent::Fault => self.break_something(),
            WorldEvent::Notice => self.share_out(),
            WorldEvent::Tell(zone) => self.tell(zone),
            WorldEvent::Told(zone, summary) => self.told(zone, &summary),
        }
    }

    fn arrive(&mut self, organisation: usize) {
        let mean = 1_000.0 / self.setup.rates[organisation];
        self.arrivals[organisation] += self.draws.exponential(mean);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let next = START_MS + self.arrivals[organisation] as u64;
        if next < END_MS {
            let gap = next.saturating_sub(self.now);
            self.after(gap, WorldEvent::Arrive(organisation));
        }
        let rank = self.draws.below(PREFIXES) * self.draws.below(PREFIXES) / PREFIXES;
        let job = CallerJob {
            organisation,
            router: self.draw_router(),
            arrived: self.now,
            prefix: PrefixHash::of_contents(&rank.to_be_bytes()),
            tokens: 20 + self.draws.below(121),
            tried: Vec::new(),
            lease: None,
            priority: 0,
        };
        let number = self.jobs.len();
        let ask = AdmissionRequest {
            ticket: AdmissionTicket::new(number as u64),
            organisation: organisation_id(organisation),
            weight: FairWeight::default(),
            priority: RequestPriority::default(),
            cost: job.tokens,
            deadline: None,
            first_token: ClockSpan::from_millis(200),
        };
        let router = job.router;
        self.jobs.push(job);
        if self.setup.policy != ChoicePolicy::Guavawell {
            return self.attempt(number);
        }
        let now = self.time();
        let mut effects = Vec::new();
        match self.routers[router]
            .admission
            .submit(ask, now, &mut effects)
        {
            AdmissionAnswer::Run => self.attempt(number),
            AdmissionAnswer::Queued => {}
            AdmissionAnswer::Refused(_) => self.refuse(number),
        }
        self.follow(&effects);
    }

    fn follow(&mut self, effects: &[AdmissionEffect]) {
        for effect in effects {
            match effect {
                AdmissionEffect::Run(ticket) => {
                    let job = ticket.to_string().parse().expect("number");
                    self.after(0, WorldEvent::Try(job));
                }
                AdmissionEffect::Refuse(ticket, _) => {
                    self.refuse(ticket.to_string().parse().expect("number"));
                }
            }
        }
    }

    fn refuse(&mut self, job: usize) {
        self.result.refused[self.jobs[job].organisation] += 1;
    }

    /// A request leaves its router.
    fn leave(&mut self, job: usize) {
        if self.setup.policy == ChoicePolicy::Guavawell {
            let now = self.time();
            let mut effects = Vec::new();
            let organisation = organisation_id(self.jobs[job].organisation);
            self.routers[self.jobs[job].router]
                .admission
                .finish(&organisation, now, &mut effects);
            self.follow(&effects);
        }
    }

    fn attempt(&mut self, number: usize) {
        let Some(engine) = self.choose(number) else {
            self.refuse(number);
            return self.leave(number);
        };
        self.advance(engine);
        let now = self.now;
        let job = &mut self.jobs[number];
        let organisation = organisation_id(job.organisation);
        let admission = &self.routers[job.router].admission;
        job.priority = u8::from(admission.is_within_share(&organisation));
        job.tried.push(engine);
        self.result.sent[engine] += u32::from(now >= MEASURE_MS);
        let state = &mut self.engines[engine];
        if state.dead {
            return self.after(CONNECT_TIMEOUT_MS, WorldEvent::Failed(number));
        }
        let late = state.leaving_since.is_some_and(|since| now > since + 3_000);
        self.result.late_work += u64::from(late);
        let offered = EngineJob {
            number,
            prefix: job.prefix,
            tokens: job.tokens,
            priority: job.priority,
        };
        let mut started = Vec::new();
        if !state.offer(now, offered, &mut started) {
            return self.retry(number, LeaseOutcome::Overloaded);
        }
        self.start(started);
    }

    /// Lets an engine go on with its queue.
    fn advance(&mut self, engine: usize) {
        let started = self.engines[engine].advance(self.now);
        self.start(started);
    }

    fn start(&mut self, started: Vec<EngineTimes>) {
        for times in started {
            let job = &self.jobs[times.number];
            if job.arrived >= MEASURE_MS {
                let samples = &mut self.result.first_token[job.organisation];
                samples.0.push(times.first - job.arrived);
                self.result.between.0.push(times.token);
            }
            self.after(times.first - self.now, WorldEvent::First(times.number));
            self.after(times.done - self.now, WorldEvent::Done(times.number));
        }
    }

    fn retry(&mut self, number: usize, outcome: LeaseOutcome) {
        self.end_lease(number, outcome);
        if self.jobs[number].tried.len() < MAX_TRIES {
            return self.after(1, WorldEvent::Try(number));
        }
        self.refuse(number);
        self.leave(number);
    }

    fn choose(&mut self, number: usize) -> Option<usize> {
        let draw = self.choices.next();
        let now = self.time();
        let count = self.setup.engines;
        let job = &mut self.jobs[number];
        let router = &mut self.routers[job.router];
        let open = |engine: &usize| !router.left_out[*engine] && !job.tried.contains(engine);
        match self.setup.policy {
            ChoicePolicy::RoundRobin => {
                router.cursor += 1;
                let all = (router.cursor..).take(count).map(|place| place % count);
                all.into_iter().find(open)
            }
            ChoicePolicy::LeastReported => {
                let start = self.choices.place(count);
                let all = (start..start + count).map(|place| place % count);
                all.filter(open)
                    .min_by_key(|engine| router.reported[*engine])
            }
            ChoicePolicy::Guavawell => {
                let specs = router.table.specs();
                let tried = job.tried.iter().map(|engine| specs[*engine].id.clone());
                let ask = ChoiceRequest {
                    target: &self.target,
                    version: None,
                    adapter: None,
                    zone: &router.zone,
                    prefix: Some(job.prefix),
                    exclude: &tried.collect::<Vec<_>>(),
                    draw,
                    now,
                };
                let lease = router.table.choose(&ask).ok()?.begin(now).ok()?;
                let id = lease.backend().id();
                let engine = specs.iter().position(|spec| spec.id == *id);
                job.lease = Some(lease);
                engine
            }
        }
    }

    fn first(&mut self, number: usize) {
        let now = self.time();
        if let Some(lease) = &mut self.jobs[number].lease {
            lease.first_token(now);
        }
    }

    fn end_lease(&mut self, number: usize, outcome: LeaseOutcome) {
        let now = self.time();
        if let Some(lease) = self.jobs[number].lease.take() {
            lease.finish(outcome, now);
        }
    }
}
