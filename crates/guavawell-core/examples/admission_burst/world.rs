//! Routers, engines and callers on a virtual clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use guavawell_core::backend::LeaseOutcome;
use guavawell_core::backend::LoadReport;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::limits::AdmissionAnswer;
use guavawell_core::limits::AdmissionEffect;
use guavawell_core::limits::AdmissionRequest;
use guavawell_core::limits::AdmissionTicket;
use guavawell_core::limits::FairWeight;
use guavawell_core::limits::RequestPriority;

use super::caller::CallState;
use super::caller::CallerJob;
use super::caller::number;
use super::caller::organisation_id;
use super::engine::EngineJob;
use super::engine::EngineRun;
use super::engine::ModelEngine;
use super::router::RouterSide;
use super::router::model;
use super::sample::RandomDraws;
use super::setup::BurstResult;
use super::setup::BurstSetup;
use super::setup::OrganisationResult;

const START_MS: u64 = 1_000_000;
/// When the burst comes; steady callers are measured from here on.
pub const BURST_MS: u64 = START_MS + 40_000;
const REPORT_MS: u64 = 500;
const REPORT_LAG_MS: u64 = 150;
const REVIEW_MS: u64 = 10;
/// Time after the last arrival in which answers end.
const REST_MS: u64 = 60_000;

enum WorldEvent {
    Arrive(usize),
    Burst,
    Ask(usize),
    Begin(usize),
    First(usize, usize),
    Done(usize, usize),
    Impatient(usize),
    Report(usize),
    Deliver(usize, LoadReport),
    Review,
}

pub struct BurstWorld {
    setup: BurstSetup,
    now: u64,
    agenda: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Option<WorldEvent>>,
    draws: RandomDraws,
    engines: Vec<ModelEngine>,
    routers: Vec<RouterSide>,
    jobs: Vec<CallerJob>,
    /// The last moment of a refusal, and how many there were at it.
    refused: (u64, usize),
    result: BurstResult,
}

impl BurstWorld {
    pub fn run(setup: BurstSetup) -> BurstResult {
        let mut world = Self::new(setup);
        for organisation in 0..world.setup.steady.len() {
            world.after(1, WorldEvent::Arrive(organisation));
        }
        for engine in 0..world.engines.len() {
            world.after(engine as u64 * 37 % REPORT_MS, WorldEvent::Report(engine));
        }
        world.after(0, WorldEvent::Review);
        world.after(BURST_MS - START_MS, WorldEvent::Burst);
        while let Some(Reverse((at, place))) = world.agenda.pop() {
            world.now = at;
            if let Some(event) = world.events[place].take() {
                world.handle(event);
            }
        }
        world.result
    }

    fn new(setup: BurstSetup) -> Self {
        let slowness = |number: usize| {
            if number == 0 {
                setup.engines.slowness
            } else {
                1
            }
        };
        let engine = |number| ModelEngine::new(setup.engines.slots, slowness(number));
        let organisations = setup.steady.len() + 1;
        let result = BurstResult {
            organisations: vec![OrganisationResult::default(); organisations],
            ..BurstResult::default()
        };
        let side = |_| RouterSide::new(setup.routers, setup.engines.count, START_MS);
        Self {
            now: START_MS,
            agenda: BinaryHeap::new(),
            events: Vec::new(),
            draws: RandomDraws(7),
            engines: (0..setup.engines.count).map(engine).collect(),
            routers: (0..setup.routers).map(side).collect(),
            jobs: Vec::new(),
            refused: (0, 0),
            result,
            setup,
        }
    }

    fn end(&self) -> u64 {
        BURST_MS + self.setup.span
    }

    fn time(&self) -> ClockTime {
        ClockTime::from_millis(self.now)
    }

    fn after(&mut self, span: u64, event: WorldEvent) {
        self.agenda
            .push(Reverse((self.now + span, self.events.len())));
        self.events.push(Some(event));
    }

    fn handle(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Arrive(organisation) => self.arrive(organisation),
            WorldEvent::Burst => {
                let organisation = self.setup.steady.len();
                for place in 0..self.setup.burst {
                    let router = place % self.setup.routers;
                    self.call(organisation, router, self.setup.tokens);
                }
            }
            WorldEvent::Ask(job) => self.ask(job),
            WorldEvent::Begin(job) => self.begin(job),
            WorldEvent::First(job, tries) => self.first(job, tries),
            WorldEvent::Done(job, tries) => self.done(job, tries),
            WorldEvent::Impatient(job) => self.lose_patience(job),
            WorldEvent::Report(engine) => self.report(engine),
            WorldEvent::Deliver(engine, report) => {
                let now = self.time();
                for router in &self.routers {
                    router.report(engine, &report, now);
                }
            }
            WorldEvent::Review => self.review(),
        }
    }

    fn arrive(&mut self, organisation: usize) {
        let rate = self.setup.steady[organisation].rate;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let gap =
            (self.draws.exponential(1_000_000.0 / rate) as u64 + self.draws.below(1_000)) / 1_000;
        if self.now + gap < self.end() {
            self.after(gap, WorldEvent::Arrive(organisation));
        }
        let mean = self.setup.tokens;
        let tokens = mean / 2 + self.draws.below(mean + 1);
        let router = self.draws.place(self.setup.routers);
        self.call(organisation, router, tokens);
    }

    fn call(&mut self, organisation: usize, router: usize, tokens: u64) {
        let job = self.jobs.len();
        self.jobs.push(CallerJob {
            organisation,
            router,
            arrived: self.now,
            tokens,
            tries: 0,
            state: CallState::Asking,
            engine: 0,
        });
        self.count(job, |own| own.offered += 1);
        self.after(self.setup.patience, WorldEvent::Impatient(job));
        self.ask(job);
    }

    /// Counts what befalls a request that arrived while measuring.
    fn count(&mut self, job: usize, change: impl Fn(&mut OrganisationResult)) {
        let job = &self.jobs[job];
        if job.arrived >= BURST_MS {
            change(&mut self.result.organisations[job.organisation]);
        }
    }

    fn ask(&mut self, number: usize) {
        let now = self.time();
        let job = &mut self.jobs[number];
        if job.state == CallState::Over {
            return;
        }
        job.tries += 1;
        let ask = AdmissionRequest {
            ticket: AdmissionTicket::new(number as u64),
            organisation: organisation_id(job.organisation),
            weight: FairWeight::default(),
            priority: RequestPriority::default(),
            cost: job.tokens,
            deadline: None,
            first_token: ClockSpan::from_millis(100),
        };
        let mut effects = Vec::new();
        let admission = &mut self.routers[job.router].admission;
        match admission.submit(ask, now, &mut effects) {
            AdmissionAnswer::Run => {
                job.state = CallState::Running;
                self.begin(number);
            }
            AdmissionAnswer::Queued => job.state = CallState::Queued,
            AdmissionAnswer::Refused(refusal) => self.refuse(number, refusal.retry_after),
        }
        self.follow(&effects);
    }

    fn follow(&mut self, effects: &[AdmissionEffect]) {
        for effect in effects {
            match effect {
                AdmissionEffect::Run(ticket) => {
                    let job = number(*ticket);
                    self.jobs[job].state = CallState::Running;
                    self.after(0, WorldEvent::Begin(job));
                }
                AdmissionEffect::Refuse(ticket, refusal) => {
                    self.refuse(number(*ticket), refusal.retry_after);
                }
            }
        }
    }

    fn refuse(&mut self, job: usize, hint: ClockSpan) {
        let before = if self.refused.0 == self.now {
            self.refused.1
        } else {
            0
        };
        self.refused = (self.now, before + 1);
        let free: usize = self.engines.iter().map(ModelEngine::free).sum();
        self.count(job, |own| {
            own.refusals += 1;
            own.false_refusals += u64::from(free > before);
        });
        let organisation = self.jobs[job].organisation;
        let tries = self.setup.steady.get(organisation);
        if self.jobs[job].tries < tries.map_or(1, |steady| steady.tries) {
            self.jobs[job].state = CallState::Asking;
            let wait = hint.as_millis().max(1);
            let jitter = self.draws.below(wait / 2 + 1);
            return self.after(wait + jitter, WorldEvent::Ask(job));
        }
        self.jobs[job].state = CallState::Over;
        self.count(job, |own| own.given_up += 1);
    }

    /// A request leaves its router.
    fn leave(&mut self, job: usize, outcome: LeaseOutcome) {
        let now = self.time();
        let organisation = organisation_id(self.jobs[job].organisation);
        let mut effects = Vec::new();
        let router = &mut self.routers[self.jobs[job].router];
        router.end_lease(job, outcome, now);
        router.admission.finish(&organisation, now, &mut effects);
        self.follow(&effects);
    }

    fn begin(&mut self, number: usize) {
        let now = self.time();
        let job = &mut self.jobs[number];
        if job.state != CallState::Running {
            return;
        }
        let draw = self.draws.next();
        let router = &mut self.routers[job.router];
        let Some(engine) = router.choose(number, draw, now) else {
            self.leave(number, LeaseOutcome::Cancelled);
            return self.refuse(number, ClockSpan::from_millis(1_000));
        };
        let organisation = organisation_id(job.organisation);
        let within = router.admission.is_within_share(&organisation);
        job.engine = engine;
        let offered = EngineJob {
            number,
            tokens: job.tokens,
            priority: u8::from(within),
        };
        if self.engines[engine].offer(offered) {
            return self.advance(engine);
        }
        self.result.engine_refusals += 1;
        self.leave(number, LeaseOutcome::Overloaded);
        self.refuse(number, ClockSpan::from_millis(1_000));
    }

    fn advance(&mut self, engine: usize) {
        let runs = self.engines[engine].advance(self.now);
        let waiting = self.engines[engine].waiting.len();
        if self.now >= BURST_MS {
            self.result.engine_queue = self.result.engine_queue.max(waiting);
        }
        for run in runs {
            let tries = self.jobs[run.number].tries;
            self.after(run.first - self.now, WorldEvent::First(run.number, tries));
            self.after(run.done - self.now, WorldEvent::Done(run.number, tries));
        }
    }

    fn first(&mut self, number: usize, tries: usize) {
        let now = self.time();
        let job = &mut self.jobs[number];
        if job.state != CallState::Running || job.tries != tries {
            return;
        }
        job.state = CallState::Answering;
        let waited = self.now - job.arrived;
        self.routers[job.router].first_token(number, now);
        self.count(number, |own| own.first_token.0.push(waited));
    }

    fn done(&mut self, number: usize, tries: usize) {
        let job = &mut self.jobs[number];
        if job.state != CallState::Answering || job.tries != tries {
            return;
        }
        job.state = CallState::Over;
        let engine = job.engine;
        if let Some(run) = self.engines[engine].remove(number) {
            self.result.useful += self.spent(run);
        }
        self.count(number, |own| own.answered += 1);
        self.leave(number, LeaseOutcome::Served);
        self.advance(engine);
    }

    fn spent(&self, run: EngineRun) -> u64 {
        if run.started < BURST_MS {
            0
        } else {
            self.now - run.started
        }
    }

    fn lose_patience(&mut self, number: usize) {
        let job = &mut self.jobs[number];
        let state = job.state;
        if matches!(state, CallState::Answering | CallState::Over) {
            return;
        }
        job.state = CallState::Over;
        let (router, engine) = (job.router, job.engine);
        self.count(number, |own| own.left += 1);
        if state == CallState::Queued {
            let ticket = AdmissionTicket::new(number as u64);
            self.routers[router].admission.cancel(ticket);
        } else if state == CallState::Running {
            if let Some(run) = self.engines[engine].remove(number) {
                self.result.wasted += self.spent(run);
            }
            self.leave(number, LeaseOutcome::Cancelled);
            self.advance(engine);
        }
    }

    fn report(&mut self, engine: usize) {
        if !self.setup.engines.reports || self.now > self.end() + REST_MS {
            return;
        }
        let state = &self.engines[engine];
        let size = |number: usize| u32::try_from(number).expect("small");
        let report = LoadReport {
            at: self.time(),
            running: size(state.running.len()),
            queued: size(state.waiting.len()),
            slots: size(state.slots),
            models: vec![model()],
            role: "serve".into(),
        };
        self.after(REPORT_LAG_MS, WorldEvent::Deliver(engine, report));
        self.after(REPORT_MS, WorldEvent::Report(engine));
    }

    fn review(&mut self) {
        let now = self.time();
        for place in 0..self.routers.len() {
            let effects = self.routers[place].review(now);
            self.follow(&effects);
        }
        if self.now < self.end() + REST_MS {
            self.after(REVIEW_MS, WorldEvent::Review);
        }
    }
}
