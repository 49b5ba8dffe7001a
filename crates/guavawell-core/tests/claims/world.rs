//! The searched world: routers, one row, writes on their way.

use std::collections::HashSet;

use guavawell_core::budget::InstanceLife;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::AttemptId;
use guavawell_core::id::ClaimGeneration;
use guavawell_core::id::IncarnationId;
use guavawell_core::request::RequestIdentity;
use guavawell_core::request::claim::ClaimEffect;
use guavawell_core::request::claim::ClaimEnd;
use guavawell_core::request::claim::ClaimEvent;
use guavawell_core::request::claim::ClaimGoal;
use guavawell_core::request::claim::ClaimRow;
use guavawell_core::request::claim::ClaimState;
use guavawell_core::request::claim::ClaimStep;
use guavawell_core::retention::AttemptStart;
use guavawell_core::retention::KEPT_GENERATIONS;
use guavawell_core::retention::may_sweep;

/// Answers lost or writes delayed in one history.
const MAX_LOSSES: u8 = 2;
/// Outages met in one history.
const MAX_OUTAGES: u8 = 1;
/// The last generation of a history with sweeps: the first in which a claim of
/// generation 1 may go.
const LAST_GENERATION: u64 = KEPT_GENERATIONS + 3;
/// Answers lost or writes delayed in one history with sweeps.
const SWEPT_LOSSES: u8 = 1;

/// A mistake planted in the routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bug {
    NotRunWithoutSeal,
    LostCountsAsHeld,
    OverwriteWithoutReadBack,
    SealOverClaim,
    /// Writes that do not compare the generation.
    SweepWithoutCheck,
    /// A sweep one generation too early.
    SweepTooEarly,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Router {
    step: ClaimStep,
    attempt: u8,
    releasing: bool,
    /// `None` before the try begins.
    effect: Option<ClaimEffect>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct StoredRow {
    row: ClaimRow,
    revision: u64,
    generation: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LateWrite {
    expected: u64,
    generation: ClaimGeneration,
    row: ClaimRow,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct World {
    routers: Vec<Router>,
    row: Option<StoredRow>,
    revision: u64,
    generation: u64,
    late: Vec<LateWrite>,
    losses: u8,
    most_losses: u8,
    outages: u8,
    most_outages: u8,
    runs: u8,
    not_run: bool,
}

pub struct SearchResult {
    pub states: usize,
    pub breach: Option<&'static str>,
}

fn step(goal: ClaimGoal, attempt: u8, begun: u64) -> ClaimStep {
    let organisation = "o".parse().unwrap();
    let life = InstanceLife {
        instance: "r".parse().unwrap(),
        incarnation: IncarnationId::new(u64::from(attempt)),
    };
    let identity = RequestIdentity::from_caller(organisation, "k").unwrap();
    let id = AttemptId::new(u128::from(attempt));
    let start = AttemptStart::new(ClaimGeneration::new(begun));
    ClaimStep::new(identity, goal, id, life, ClockTime::default(), start)
}

impl Router {
    fn new(goal: ClaimGoal, attempt: u8) -> Self {
        Self {
            step: step(goal, attempt, 0),
            attempt,
            releasing: false,
            effect: None,
        }
    }

    /// Begins the try in the generation in force.
    fn begin(&mut self, generation: u64) {
        self.step = step(self.step.goal(), self.attempt, generation);
        self.effect = Some(self.step.start(0, ClaimGeneration::new(generation)));
    }

    /// The same attempt, unsent, turned to another goal.
    fn turn(&mut self, goal: ClaimGoal, revision: u64, generation: u64) {
        self.step = step(goal, self.attempt, generation);
        self.releasing = goal == ClaimGoal::Release;
        let current = ClaimGeneration::new(generation);
        self.effect = Some(self.step.start(revision, current));
    }
}

/// Searches every history without sweeps; ends at the first breach.
pub fn search(bug: Option<Bug>) -> SearchResult {
    search_of(
        &[ClaimGoal::Run, ClaimGoal::Run, ClaimGoal::Seal],
        None,
        bug,
    )
}

/// Searches every history in which generations end at any moment, and rows go
/// as soon as they may. The second try, `second`, begins at the latest in the
/// last generation in which it may count on a claim of generation 0.
pub fn search_sweeps(second: ClaimGoal, bug: Option<Bug>) -> SearchResult {
    search_of(&[ClaimGoal::Run, second], Some(KEPT_GENERATIONS), bug)
}

/// `begins_until`: the last generation in which a try begins; `None` without
/// sweeps.
fn search_of(goals: &[ClaimGoal], begins_until: Option<u64>, bug: Option<Bug>) -> SearchResult {
    let mut first = World::default();
    for (goal, attempt) in goals.iter().zip(1..) {
        first.routers.push(Router::new(*goal, attempt));
    }
    first.most_losses = SWEPT_LOSSES;
    if begins_until.is_none() {
        first.most_losses = MAX_LOSSES;
        first.most_outages = MAX_OUTAGES;
        for router in &mut first.routers {
            router.begin(0);
        }
    }
    let mut seen = HashSet::new();
    let mut open = vec![first];
    while let Some(world) = open.pop() {
        let breach = world.breach();
        if breach.is_some() {
            let states = seen.len();
            return SearchResult { states, breach };
        }
        if seen.insert(world.clone()) {
            world.successors(bug, &mut open);
            if let Some(until) = begins_until {
                world.age(until, bug, &mut open);
            }
        }
    }
    SearchResult {
        states: seen.len(),
        breach: None,
    }
}

impl World {
    fn breach(&self) -> Option<&'static str> {
        if self.runs > 1 {
            return Some("ran twice");
        }
        (self.not_run && self.runs > 0).then_some("ran behind a not_run")
    }

    fn successors(&self, bug: Option<Bug>, open: &mut Vec<Self>) {
        for place in 0..self.late.len() {
            let mut world = self.clone();
            let write = world.late.remove(place);
            world.apply(&write, bug);
            open.push(world);
        }
        for place in 0..self.routers.len() {
            // A router that crashes just stops: every prefix is searched, and
            // a crash frees nothing, so it needs no action of its own.
            match self.routers[place].effect.clone() {
                None => {}
                Some(ClaimEffect::Write {
                    expected,
                    generation,
                    row,
                }) => {
                    let write = LateWrite {
                        expected,
                        generation,
                        row,
                    };
                    self.write(place, &write, bug, open);
                }
                Some(ClaimEffect::ReadBack) => self.read(place, open),
                Some(ClaimEffect::Done(end)) => self.finish(place, &end, open),
            }
        }
    }

    /// What time does: a try begins, a generation ends, a row is swept.
    fn age(&self, begins_until: u64, bug: Option<Bug>, open: &mut Vec<Self>) {
        for place in 0..self.routers.len() {
            if self.routers[place].effect.is_none() && self.generation <= begins_until {
                let mut world = self.clone();
                world.routers[place].begin(self.generation);
                open.push(world);
            }
        }
        if self.generation < LAST_GENERATION {
            let mut world = self.clone();
            // Nothing tells the generations between from the first of them.
            world.generation = match self.generation {
                1 => KEPT_GENERATIONS,
                generation => generation + 1,
            };
            open.push(world);
        }
        let early = u64::from(bug == Some(Bug::SweepTooEarly));
        let current = ClaimGeneration::new(self.generation + early);
        let is_due =
            |stored: &StoredRow| may_sweep(ClaimGeneration::new(stored.generation), current);
        if self.row.as_ref().is_some_and(is_due) {
            let mut world = self.clone();
            world.row = None;
            open.push(world);
        }
    }

    fn write(&self, place: usize, write: &LateWrite, bug: Option<Bug>, open: &mut Vec<Self>) {
        let row = &write.row;
        if bug == Some(Bug::NotRunWithoutSeal) && row.state == ClaimState::Sealed {
            let mut world = self.clone();
            world.not_run = true;
            world.routers.remove(place);
            open.push(world);
        }
        let mut answered = self.clone();
        let mut event = answered.apply(write, bug);
        if bug == Some(Bug::SealOverClaim)
            && row.state == ClaimState::Sealed
            && let ClaimEvent::Found { revision, .. } = event
        {
            let over = LateWrite {
                expected: revision,
                ..write.clone()
            };
            event = answered.apply(&over, bug);
        }
        answered.tell(place, event, bug);
        open.push(answered);
        if self.losses < self.most_losses {
            let mut lost = self.clone();
            lost.losses += 1;
            lost.apply(write, bug);
            lost.tell(place, ClaimEvent::Lost, bug);
            open.push(lost);
            let mut late = self.clone();
            late.losses += 1;
            late.late.push(write.clone());
            late.tell(place, ClaimEvent::Lost, bug);
            open.push(late);
        }
        self.outage(place, open);
    }

    fn read(&self, place: usize, open: &mut Vec<Self>) {
        let mut world = self.clone();
        let event = world.look();
        world.tell(place, event, None);
        open.push(world);
        self.outage(place, open);
    }

    fn outage(&self, place: usize, open: &mut Vec<Self>) {
        if self.outages < self.most_outages {
            let mut world = self.clone();
            world.outages += 1;
            world.tell(place, ClaimEvent::Failed, None);
            open.push(world);
        }
    }

    fn finish(&self, place: usize, end: &ClaimEnd, open: &mut Vec<Self>) {
        let mut world = self.clone();
        match end {
            ClaimEnd::Held { revision } => {
                for goal in [ClaimGoal::Seal, ClaimGoal::Release] {
                    let mut turned = self.clone();
                    turned.routers[place].turn(goal, *revision, self.generation);
                    open.push(turned);
                }
                world.runs += 1;
                world.routers.remove(place);
            }
            ClaimEnd::Sealed => {
                world.not_run = true;
                world.routers.remove(place);
            }
            ClaimEnd::Undecided if !world.routers[place].releasing => {
                world.routers[place].turn(ClaimGoal::Release, 0, self.generation);
            }
            _ => {
                world.routers.remove(place);
            }
        }
        open.push(world);
    }

    fn tell(&mut self, place: usize, event: ClaimEvent, bug: Option<Bug>) {
        let router = &mut self.routers[place];
        let event = match (bug, event) {
            (Some(Bug::LostCountsAsHeld), ClaimEvent::Lost) => ClaimEvent::Written { revision: 0 },
            (Some(Bug::OverwriteWithoutReadBack), ClaimEvent::Found { row, revision })
                if row.state == ClaimState::Claimed =>
            {
                ClaimEvent::Found {
                    row: ClaimRow {
                        state: ClaimState::Released,
                        ..row
                    },
                    revision,
                }
            }
            (_, event) => event,
        };
        router.effect = Some(router.step.on(event));
    }

    /// Carries a write out if its condition holds; tells what its writer would hear.
    fn apply(&mut self, write: &LateWrite, bug: Option<Bug>) -> ClaimEvent {
        let current = self.row.as_ref().map_or(0, |stored| stored.revision);
        if current != write.expected {
            return self.look();
        }
        let in_force = write.generation.get() == self.generation;
        if !in_force && bug != Some(Bug::SweepWithoutCheck) {
            let current = ClaimGeneration::new(self.generation);
            return ClaimEvent::Stale { current };
        }
        self.revision += 1;
        self.row = Some(StoredRow {
            row: write.row.clone(),
            revision: self.revision,
            generation: self.generation,
        });
        ClaimEvent::Written {
            revision: self.revision,
        }
    }

    fn look(&self) -> ClaimEvent {
        match &self.row {
            None => ClaimEvent::Absent,
            Some(stored) => ClaimEvent::Found {
                row: stored.row.clone(),
                revision: stored.revision,
            },
        }
    }
}
