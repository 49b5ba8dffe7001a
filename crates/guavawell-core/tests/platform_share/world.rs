//! Routers before one platform with a limit: their shares are the real state
//! machines, everything else is a fake with its own clock and a fixed seed.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::platform::FleetShare;
use guavawell_core::platform::FleetSize;
use guavawell_core::platform::PlatformRate;
use guavawell_core::platform::PlatformShare;
use guavawell_core::platform::SegmentWait;
use guavawell_core::platform::ShareAnswer;
use guavawell_core::platform::SharePolicy;
use guavawell_core::platform::ShareSigns;
use guavawell_core::platform::SharingPolicy;
use guavawell_core::platform::SizePolicy;
use guavawell_core::platform::SizeSigns;
use guavawell_core::platform::WriteClass;

pub const STEP_MS: u64 = 10;
const SECOND_MS: u64 = 1_000;
/// Claims that one transaction takes.
const BATCH: usize = 64;
/// Longest way of a note through a zone.
const NOTE_MS: u64 = 1_500;
/// Age of the platform's list.
const LIST_LAG_MS: u64 = 10_000;
/// Age of what gossip knows of who is alive.
const GOSSIP_LAG_MS: u64 = 4_000;

/// The settings' defaults.
const SEGMENT_WAIT: SegmentWait = SegmentWait {
    least: ClockSpan::from_millis(5_000),
    most: ClockSpan::from_millis(30_000),
};

/// How a router comes to its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing {
    /// The same for each, whatever the others do.
    #[allow(dead_code, reason = "only the example compares with it")]
    Fixed(u64),
    /// A part of a budget for all, in writes a second.
    Fleet(u64),
}

/// What one router is asked for, in thousandths a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WriteLoad {
    pub claims: u64,
    /// Refills that somebody waits for.
    pub money: u64,
    /// Reports of settled use that an hourly interval asks for.
    pub reports: u64,
    /// Slots with records for the journal.
    pub slots: u64,
}

/// What the platform saw and callers waited.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Writes that arrived, by second.
    pub offered: Vec<u64>,
    /// Writes turned away over the limit.
    pub overloads: u64,
    /// Waits of claims, in milliseconds.
    pub claim_waits: Vec<u64>,
}

impl Outcome {
    pub fn most_offered(&self) -> u64 {
        self.offered.iter().copied().max().unwrap_or(0)
    }

    pub fn mean_offered(&self) -> u64 {
        let seconds = self.offered.len().max(1) as u64;
        self.offered.iter().sum::<u64>() / seconds
    }

    /// The wait that so many of a hundred claims kept within.
    pub fn claim_wait(&self, percent: usize) -> u64 {
        let mut waits = self.claim_waits.clone();
        waits.sort_unstable();
        let place = waits.len().saturating_sub(1) * percent / 100;
        waits.get(place).copied().unwrap_or(0)
    }
}

pub struct Router {
    pub zone: usize,
    /// Only routers of one part hear each other.
    pub part: usize,
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
    heard: Vec<(usize, ClockTime, PlatformRate)>,
    held_until: ClockTime,
    failures: u32,
    is_cut: bool,
}

impl Router {
    pub fn rate(&self, now: ClockTime) -> PlatformRate {
        self.share.rate(now)
    }
}

/// When it arrives, at whom, from whom, when it was sent, and the demand.
type DemandNote = (ClockTime, usize, usize, ClockTime, PlatformRate);

pub struct World {
    pub now: ClockTime,
    pub routers: Vec<Router>,
    pub outcome: Outcome,
    /// Demands announced.
    pub announces: u64,
    pub is_out: bool,
    /// Whether the platform's list can be read.
    pub is_listed: bool,
    /// Writes a second that the platform carries.
    pub limit: u64,
    sharing: Sharing,
    used: u64,
    notes: BinaryHeap<Reverse<DemandNote>>,
    /// Numbers of live routers by part and in all, of each second.
    census: Vec<Vec<u32>>,
    random: u64,
}

impl World {
    pub fn new(routers: usize, zones: usize, sharing: Sharing, limit: u64, seed: u64) -> Self {
        let mut world = Self {
            now: ClockTime::from_millis(1),
            routers: Vec::new(),
            outcome: Outcome::default(),
            announces: 0,
            is_out: false,
            is_listed: true,
            limit,
            sharing,
            used: 0,
            notes: BinaryHeap::new(),
            census: Vec::new(),
            random: seed.wrapping_mul(2).wrapping_add(0x9e37_79b9_7f4a_7c15),
        };
        for place in 0..routers {
            let router = world.fresh(place % zones, WriteLoad::default());
            world.routers.push(router);
        }
        world
    }

    /// A router that was just started.
    pub fn fresh(&self, zone: usize, load: WriteLoad) -> Router {
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
            Sharing::Fleet(_) => fleet.paced(size.part(budget, 1)),
        };
        Router {
            zone,
            part: 0,
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
            heard: Vec::new(),
            held_until: ClockTime::default(),
            failures: 0,
            is_cut: false,
        }
    }

    pub fn load_all(&mut self, load: WriteLoad) {
        for router in &mut self.routers {
            router.load = load;
        }
    }

    /// Runs for so many seconds.
    pub fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * SECOND_MS / STEP_MS {
            self.step();
        }
    }

    /// Forgets what was measured so far.
    pub fn measure_anew(&mut self) {
        self.outcome = Outcome::default();
    }

    /// The sum of the shares of all live routers.
    pub fn sum_of_shares(&self) -> PlatformRate {
        let live = self.routers.iter().filter(|router| router.is_alive);
        live.fold(PlatformRate::ZERO, |sum, router| {
            sum.plus(router.rate(self.now))
        })
    }

    fn step(&mut self) {
        if self.now.as_millis() % SECOND_MS < STEP_MS {
            self.used = 0;
            self.outcome.offered.push(0);
            self.count_routers();
        }
        self.deliver_notes();
        for place in 0..self.routers.len() {
            if self.routers[place].is_alive {
                self.arrive(place);
                self.review(place);
                self.write(place);
            }
        }
        self.now = self.now + ClockSpan::from_millis(STEP_MS);
    }

    fn count_routers(&mut self) {
        let parts = self.routers.iter().map(|router| router.part).max();
        let mut census = vec![0; parts.unwrap_or(0) + 2];
        for router in self.routers.iter().filter(|router| router.is_alive) {
            census[router.part + 1] += 1;
            census[0] += 1;
        }
        self.census.push(census);
    }

    /// The count of `part`, or of all at 0, as it was `lag` ago.
    fn counted(&self, part: usize, lag: u64) -> u32 {
        let place = self
            .census
            .len()
            .saturating_sub(1 + (lag / SECOND_MS) as usize);
        let census = &self.census[place];
        census.get(part).copied().unwrap_or(0)
    }

    fn arrive(&mut self, place: usize) {
        let load = self.routers[place].load;
        let claims = self.draw(load.claims);
        let (money, reports) = (self.draw(load.money), self.draw(load.reports));
        let segments = self.draw(self.segments(place));
        let now = self.now;
        let router = &mut self.routers[place];
        router
            .claims
            .extend(std::iter::repeat_n(now, claims as usize));
        router.money += money;
        router.reports += reports;
        router.segments += segments;
        if let Sharing::Fleet(_) = self.sharing {
            // What a report may take grows by the step, up to one report.
            let spare = router.share.spare(now).as_milli() * STEP_MS;
            router.report_milli = (router.report_milli + spare).min(1_000_000);
        }
    }

    /// Segments that are due, in thousandths a second.
    fn segments(&self, place: usize) -> u64 {
        let router = &self.routers[place];
        let slots = router.load.slots;
        let wait = match self.sharing {
            Sharing::Fixed(_) => SEGMENT_WAIT.least,
            Sharing::Fleet(_) => {
                let whole = slots.div_ceil(1_000) as usize;
                SEGMENT_WAIT.at(router.share.spare(self.now), whole)
            }
        };
        slots * SECOND_MS / wait.as_millis()
    }

    /// So many of what comes `milli` thousandths a second.
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

    /// Reckons the share anew, once a second and router.
    fn review(&mut self, place: usize) {
        let Sharing::Fleet(_) = self.sharing else {
            return;
        };
        let turn = (place as u64 * 7 * STEP_MS) % SECOND_MS;
        if self.now.as_millis() / STEP_MS * STEP_MS % SECOND_MS != turn {
            return;
        }
        let now = self.now;
        let (zone, part) = (self.routers[place].zone, self.routers[place].part);
        let all = self.counted(0, LIST_LAG_MS);
        let live = self.counted(part + 1, GOSSIP_LAG_MS);
        let beside = |other: &&Router| other.is_alive && other.zone == zone && other.part == part;
        let zone_live = self.routers.iter().filter(beside).count();
        let is_listed = self.is_listed && !self.is_out;
        let router = &mut self.routers[place];
        let listed = (is_listed && now.as_millis() > LIST_LAG_MS).then_some(all);
        router.size.hear(SizeSigns { live, listed }, now);
        let others: Vec<PlatformRate> = router.heard.iter().map(|heard| heard.2).collect();
        let signs = ShareSigns {
            size: router.size,
            zone_live: u32::try_from(zone_live).unwrap(),
            others: &others,
            demand: router.share.demand(now),
        };
        let decision = router.fleet.review(&signs, now);
        router.share.set_policy(decision.policy, now);
        if let Some(demand) = decision.announce {
            self.announces += 1;
            self.announce(place, demand);
        }
    }

    fn announce(&mut self, from: usize, demand: PlatformRate) {
        let (zone, part) = (self.routers[from].zone, self.routers[from].part);
        for to in 0..self.routers.len() {
            let other = &self.routers[to];
            if to != from && other.zone == zone && other.part == part {
                let way = ClockSpan::from_millis(100 + self.random() % (NOTE_MS - 100));
                let note = (self.now + way, to, from, self.now, demand);
                self.notes.push(Reverse(note));
            }
        }
    }

    fn deliver_notes(&mut self) {
        while let Some(Reverse(note)) = self.notes.peek().copied() {
            let (due, to, from, at, demand) = note;
            if due > self.now {
                return;
            }
            self.notes.pop();
            let heard = &mut self.routers[to].heard;
            match heard.iter_mut().find(|known| known.0 == from) {
                Some(known) if known.1 < at => *known = (from, at, demand),
                Some(_) => {}
                None => heard.push((from, at, demand)),
            }
        }
    }

    /// Sends what the share allows, the urgent first.
    fn write(&mut self, place: usize) {
        if self.is_out {
            let spread = ClockSpan::from_millis(750 + self.random() % 750);
            let router = &mut self.routers[place];
            if !router.is_cut || router.held_until <= self.now {
                router.is_cut = true;
                router.held_until = self.now + spread;
            }
            return;
        }
        if self.routers[place].held_until > self.now {
            return;
        }
        if std::mem::take(&mut self.routers[place].is_cut)
            && matches!(self.sharing, Sharing::Fleet(_))
        {
            self.routers[place].share.resumed(self.now);
        }
        while self.routers[place].money > 0 && self.send(place, WriteClass::Money) {
            self.routers[place].money -= 1;
        }
        while self.may_report(place) && self.send(place, WriteClass::Money) {
            let router = &mut self.routers[place];
            router.reports -= 1;
            router.report_milli = 0;
        }
        while !self.routers[place].claims.is_empty() && self.send(place, WriteClass::Claim) {
            let router = &mut self.routers[place];
            let most = router.claims.len().min(BATCH);
            for claimed in router.claims.drain(..most) {
                let wait = self.now.since(claimed).as_millis();
                self.outcome.claim_waits.push(wait);
            }
        }
        while self.routers[place].segments > 0 && self.send(place, WriteClass::Journal) {
            self.routers[place].segments -= 1;
        }
    }

    /// With a fixed share reports go as they come; else no oftener than the
    /// spare part of the share allows.
    fn may_report(&self, place: usize) -> bool {
        let router = &self.routers[place];
        let is_paced = matches!(self.sharing, Sharing::Fleet(_));
        router.reports > 0 && (!is_paced || router.report_milli >= 1_000_000)
    }

    fn send(&mut self, place: usize, class: WriteClass) -> bool {
        let now = self.now;
        let router = &mut self.routers[place];
        if router.held_until > now || router.share.take(class, now) != ShareAnswer::Granted {
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
        // The drivers' own waits: 50 ms, doubled up to 5 s.
        let wait = (50_u64 << router.failures.min(7)).min(5_000);
        router.held_until = now + ClockSpan::from_millis(wait);
        false
    }
}
