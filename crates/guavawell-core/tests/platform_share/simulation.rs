//! Simulation of routers that share one platform with a write limit. The shares are
//! the real state machines. Everything else is simulated, with its own clock and a
//! seeded random generator.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::platform::FleetShare;
use guavawell_core::platform::FleetSize;
use guavawell_core::platform::PlatformRate;
use guavawell_core::platform::PlatformShare;
use guavawell_core::platform::SegmentInterval;
use guavawell_core::platform::ShareInputs;
use guavawell_core::platform::SharePolicy;
use guavawell_core::platform::SharingPolicy;
use guavawell_core::platform::SizeInputs;
use guavawell_core::platform::SizePolicy;
use guavawell_core::platform::TakeResult;
use guavawell_core::platform::WriteClass;

pub const STEP_MS: u64 = 10;
const SECOND_MS: u64 = 1_000;
/// Maximum number of claims in one transaction.
const BATCH: usize = 64;
/// Maximum time for a message to reach a router of the same zone.
const MAX_MESSAGE_DELAY_MS: u64 = 1_500;
/// Age of the platform's list.
const LIST_LAG_MS: u64 = 10_000;
/// Age of gossip's information about live routers.
const GOSSIP_LAG_MS: u64 = 4_000;

/// Defaults of the settings.
const SEGMENT_WAIT: SegmentInterval = SegmentInterval {
    min: ClockSpan::from_millis(5_000),
    max: ClockSpan::from_millis(30_000),
};

/// How a router's share is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing {
    /// A fixed number of writes per second for each router.
    #[allow(dead_code, reason = "only the example compares with it")]
    Fixed(u64),
    /// A part of a common budget, in writes per second.
    Fleet(u64),
}

/// Writes that arrive at one router, in thousandths per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WriteLoad {
    pub claims: u64,
    /// Budget refills that a request waits for.
    pub money: u64,
    /// Reports of settled use at an hourly interval.
    pub reports: u64,
    /// Slots that have records for the journal, in thousandths.
    pub slots: u64,
}

/// Writes seen by the platform, and how long claims waited.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Writes that arrived in each second.
    pub offered: Vec<u64>,
    /// Writes rejected above the limit.
    pub overloads: u64,
    /// Waits of claims, in milliseconds.
    pub claim_waits: Vec<u64>,
}

impl Outcome {
    pub fn max_offered(&self) -> u64 {
        self.offered.iter().copied().max().unwrap_or(0)
    }

    pub fn mean_offered(&self) -> u64 {
        let seconds = self.offered.len().max(1) as u64;
        self.offered.iter().sum::<u64>() / seconds
    }

    /// The given percentile of the claims' waits.
    pub fn claim_wait(&self, percent: usize) -> u64 {
        let mut waits = self.claim_waits.clone();
        waits.sort_unstable();
        let index = waits.len().saturating_sub(1) * percent / 100;
        waits.get(index).copied().unwrap_or(0)
    }
}

pub struct Router {
    pub zone: usize,
    /// Only routers in the same network partition receive each other's messages.
    pub partition: usize,
    pub is_alive: bool,
    pub load: WriteLoad,
    pub claims: Vec<ClockTime>,
    pub granted: u64,
    share: PlatformShare,
    fleet: FleetShare,
    size: FleetSize,
    money: u64,
    reports: u64,
    report_milli: u64,
    segments: u64,
    known_demands: Vec<(usize, ClockTime, PlatformRate)>,
    blocked_until: ClockTime,
    failures: u32,
    was_unavailable: bool,
}

impl Router {
    pub fn rate(&self, now: ClockTime) -> PlatformRate {
        self.share.rate(now)
    }
}

/// Arrival time, receiver, sender, send time and announced demand.
type DemandMessage = (ClockTime, usize, usize, ClockTime, PlatformRate);

pub struct Simulation {
    pub now: ClockTime,
    pub routers: Vec<Router>,
    pub outcome: Outcome,
    /// Number of announced demands.
    pub announces: u64,
    pub is_unavailable: bool,
    /// Whether the platform's list can be read.
    pub is_listed: bool,
    /// Writes per second that the platform accepts.
    pub limit: u64,
    sharing: Sharing,
    used: u64,
    messages: BinaryHeap<Reverse<DemandMessage>>,
    /// For each second the number of live routers: in all at index 0, then by
    /// partition.
    census: Vec<Vec<u32>>,
    random: u64,
}

impl Simulation {
    pub fn new(routers: usize, zones: usize, sharing: Sharing, limit: u64, seed: u64) -> Self {
        let mut world = Self {
            now: ClockTime::from_millis(1),
            routers: Vec::new(),
            outcome: Outcome::default(),
            announces: 0,
            is_unavailable: false,
            is_listed: true,
            limit,
            sharing,
            used: 0,
            messages: BinaryHeap::new(),
            census: Vec::new(),
            random: seed.wrapping_mul(2).wrapping_add(0x9e37_79b9_7f4a_7c15),
        };
        for index in 0..routers {
            let router = world.new_router(index % zones, WriteLoad::default());
            world.routers.push(router);
        }
        world
    }

    /// A router that starts now.
    pub fn new_router(&self, zone: usize, load: WriteLoad) -> Router {
        let budget = match self.sharing {
            Sharing::Fixed(rate) | Sharing::Fleet(rate) => PlatformRate::per_second(rate),
        };
        let fleet = FleetShare::new(SharingPolicy::default(), budget, self.now);
        let size = FleetSize::new(SizePolicy::default(), self.now);
        let policy = match self.sharing {
            Sharing::Fixed(rate) => SharePolicy {
                rate: budget,
                burst: u32::try_from(2 * rate).unwrap(),
            },
            Sharing::Fleet(_) => fleet.with_burst(size.share_of(budget, 1)),
        };
        Router {
            zone,
            partition: 0,
            is_alive: true,
            load,
            claims: Vec::new(),
            granted: 0,
            share: PlatformShare::new(policy, self.now),
            fleet,
            size,
            money: 0,
            reports: 0,
            report_milli: 0,
            segments: 0,
            known_demands: Vec::new(),
            blocked_until: ClockTime::default(),
            failures: 0,
            was_unavailable: false,
        }
    }

    pub fn load_all(&mut self, load: WriteLoad) {
        for router in &mut self.routers {
            router.load = load;
        }
    }

    /// Runs the simulation for some seconds.
    pub fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * SECOND_MS / STEP_MS {
            self.step();
        }
    }

    /// Discards all measurements.
    pub fn reset_outcome(&mut self) {
        self.outcome = Outcome::default();
    }

    /// The sum of the shares of all live routers.
    pub fn total_rate(&self) -> PlatformRate {
        let live = self.routers.iter().filter(|router| router.is_alive);
        live.fold(PlatformRate::ZERO, |sum, router| {
            sum.saturating_add(router.rate(self.now))
        })
    }

    fn step(&mut self) {
        if self.now.as_millis() % SECOND_MS < STEP_MS {
            self.used = 0;
            self.outcome.offered.push(0);
            self.count_routers();
        }
        self.deliver_messages();
        for index in 0..self.routers.len() {
            if self.routers[index].is_alive {
                self.arrive(index);
                self.update_share(index);
                self.write(index);
            }
        }
        self.now = self.now + ClockSpan::from_millis(STEP_MS);
    }

    fn count_routers(&mut self) {
        let partitions = self.routers.iter().map(|router| router.partition).max();
        let mut census = vec![0; partitions.unwrap_or(0) + 2];
        for router in self.routers.iter().filter(|router| router.is_alive) {
            census[router.partition + 1] += 1;
            census[0] += 1;
        }
        self.census.push(census);
    }

    /// The number of live routers `lag` milliseconds ago: in all at index 0, or in
    /// partition `partition` - 1.
    fn counted(&self, partition: usize, lag: u64) -> u32 {
        let index = self
            .census
            .len()
            .saturating_sub(1 + (lag / SECOND_MS) as usize);
        let census = &self.census[index];
        census.get(partition).copied().unwrap_or(0)
    }

    fn arrive(&mut self, index: usize) {
        let load = self.routers[index].load;
        let claims = self.draw(load.claims);
        let (money, reports) = (self.draw(load.money), self.draw(load.reports));
        let segments = self.draw(self.segments(index));
        let now = self.now;
        let router = &mut self.routers[index];
        router
            .claims
            .extend(std::iter::repeat_n(now, claims as usize));
        router.money += money;
        router.reports += reports;
        router.segments += segments;
        if let Sharing::Fleet(_) = self.sharing {
            // The allowance for reports grows with each step, up to one report.
            let spare = router.share.background_rate(now).as_milli() * STEP_MS;
            router.report_milli = (router.report_milli + spare).min(1_000_000);
        }
    }

    /// Segments that are due, in thousandths per second.
    fn segments(&self, index: usize) -> u64 {
        let router = &self.routers[index];
        let slots = router.load.slots;
        let wait = match self.sharing {
            Sharing::Fixed(_) => SEGMENT_WAIT.min,
            Sharing::Fleet(_) => {
                let whole = slots.div_ceil(1_000) as usize;
                SEGMENT_WAIT.for_rate(router.share.background_rate(self.now), whole)
            }
        };
        slots * SECOND_MS / wait.as_millis()
    }

    /// Random number of events in one step, at `milli` thousandths per second.
    fn draw(&mut self, milli: u64) -> u64 {
        let chances = milli * STEP_MS;
        let left = chances % 1_000_000;
        chances / 1_000_000 + u64::from(self.random() % 1_000_000 < left)
    }

    fn random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random >> 11
    }

    /// Computes the share of each router again once per second.
    fn update_share(&mut self, index: usize) {
        let Sharing::Fleet(_) = self.sharing else {
            return;
        };
        let update_phase = (index as u64 * 7 * STEP_MS) % SECOND_MS;
        if self.now.as_millis() / STEP_MS * STEP_MS % SECOND_MS != update_phase {
            return;
        }
        let now = self.now;
        let (zone, partition) = (self.routers[index].zone, self.routers[index].partition);
        let all = self.counted(0, LIST_LAG_MS);
        let live = self.counted(partition + 1, GOSSIP_LAG_MS);
        let is_zone_peer =
            |other: &&Router| other.is_alive && other.zone == zone && other.partition == partition;
        let zone_live = self.routers.iter().filter(is_zone_peer).count();
        let is_listed = self.is_listed && !self.is_unavailable;
        let router = &mut self.routers[index];
        let listed = (is_listed && now.as_millis() > LIST_LAG_MS).then_some(all);
        router.size.observe(SizeInputs { live, listed }, now);
        let others: Vec<PlatformRate> = router
            .known_demands
            .iter()
            .map(|known_demands| known_demands.2)
            .collect();
        let inputs = ShareInputs {
            size: router.size,
            zone_live: u32::try_from(zone_live).unwrap(),
            others: &others,
            demand: router.share.demand(now),
        };
        let decision = router.fleet.update(&inputs, now);
        router.share.set_policy(decision.policy, now);
        if let Some(demand) = decision.announce {
            self.announces += 1;
            self.announce(index, demand);
        }
    }

    fn announce(&mut self, from: usize, demand: PlatformRate) {
        let (zone, partition) = (self.routers[from].zone, self.routers[from].partition);
        for to in 0..self.routers.len() {
            let other = &self.routers[to];
            if to != from && other.zone == zone && other.partition == partition {
                let delay =
                    ClockSpan::from_millis(100 + self.random() % (MAX_MESSAGE_DELAY_MS - 100));
                let message = (self.now + delay, to, from, self.now, demand);
                self.messages.push(Reverse(message));
            }
        }
    }

    fn deliver_messages(&mut self) {
        while let Some(Reverse(message)) = self.messages.peek().copied() {
            let (due, to, from, at, demand) = message;
            if due > self.now {
                return;
            }
            self.messages.pop();
            let known_demands = &mut self.routers[to].known_demands;
            match known_demands.iter_mut().find(|known| known.0 == from) {
                Some(known) if known.1 < at => *known = (from, at, demand),
                Some(_) => {}
                None => known_demands.push((from, at, demand)),
            }
        }
    }

    /// Sends what the share allows, the most urgent class first.
    fn write(&mut self, index: usize) {
        if self.is_unavailable {
            let spread = ClockSpan::from_millis(750 + self.random() % 750);
            let router = &mut self.routers[index];
            if !router.was_unavailable || router.blocked_until <= self.now {
                router.was_unavailable = true;
                router.blocked_until = self.now + spread;
            }
            return;
        }
        if self.routers[index].blocked_until > self.now {
            return;
        }
        if std::mem::take(&mut self.routers[index].was_unavailable)
            && matches!(self.sharing, Sharing::Fleet(_))
        {
            self.routers[index].share.resumed(self.now);
        }
        while self.routers[index].money > 0 && self.send(index, WriteClass::Money) {
            self.routers[index].money -= 1;
        }
        while self.may_report(index) && self.send(index, WriteClass::Money) {
            let router = &mut self.routers[index];
            router.reports -= 1;
            router.report_milli = 0;
        }
        while !self.routers[index].claims.is_empty() && self.send(index, WriteClass::Claim) {
            let router = &mut self.routers[index];
            let batch = router.claims.len().min(BATCH);
            for claimed in router.claims.drain(..batch) {
                let wait = self.now.since(claimed).as_millis();
                self.outcome.claim_waits.push(wait);
            }
        }
        while self.routers[index].segments > 0 && self.send(index, WriteClass::Journal) {
            self.routers[index].segments -= 1;
        }
    }

    /// With a fixed share, reports are sent as they come; otherwise at most at the
    /// background rate.
    fn may_report(&self, index: usize) -> bool {
        let router = &self.routers[index];
        let is_paced = matches!(self.sharing, Sharing::Fleet(_));
        router.reports > 0 && (!is_paced || router.report_milli >= 1_000_000)
    }

    fn send(&mut self, index: usize, class: WriteClass) -> bool {
        let now = self.now;
        let router = &mut self.routers[index];
        if router.blocked_until > now || router.share.take(class, now) != TakeResult::Granted {
            return false;
        }
        router.granted += 1;
        *self.outcome.offered.last_mut().unwrap() += 1;
        self.used += 1;
        if self.used <= self.limit {
            router.failures = 0;
            return true;
        }
        self.outcome.overloads += 1;
        match self.sharing {
            Sharing::Fleet(_) => router.share.overloaded(now),
            Sharing::Fixed(_) => router.failures += 1,
        }
        // The backoff of the product's drivers: 50 ms, doubled up to 5 s.
        let wait = (50_u64 << router.failures.min(7)).min(5_000);
        router.blocked_until = now + ClockSpan::from_millis(wait);
        false
    }
}
