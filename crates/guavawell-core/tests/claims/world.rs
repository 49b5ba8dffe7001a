//! The searched world: routers, one row, writes on their way.

use std::collections::HashSet;

use guavawell_core::budget::InstanceLife;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::AttemptId;
use guavawell_core::id::IncarnationId;
use guavawell_core::request::RequestIdentity;
use guavawell_core::request::claim::ClaimEffect;
use guavawell_core::request::claim::ClaimEnd;
use guavawell_core::request::claim::ClaimEvent;
use guavawell_core::request::claim::ClaimGoal;
use guavawell_core::request::claim::ClaimRow;
use guavawell_core::request::claim::ClaimState;
use guavawell_core::request::claim::ClaimStep;

/// Answers lost or writes delayed in one history.
const MAX_LOSSES: u8 = 2;
/// Outages met in one history.
const MAX_OUTAGES: u8 = 1;

/// A mistake planted in the routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bug {
    NotRunWithoutSeal,
    LostCountsAsHeld,
    OverwriteWithoutReadBack,
    SealOverClaim,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Router {
    step: ClaimStep,
    attempt: u8,
    releasing: bool,
    effect: ClaimEffect,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct World {
    routers: Vec<Router>,
    row: Option<(ClaimRow, u64)>,
    revision: u64,
    late: Vec<(u64, ClaimRow)>,
    losses: u8,
    outages: u8,
    runs: u8,
    not_run: bool,
}

pub struct SearchResult {
    pub states: usize,
    pub breach: Option<&'static str>,
}

fn step(goal: ClaimGoal, attempt: u8) -> ClaimStep {
    let organisation = "o".parse().unwrap();
    let life = InstanceLife {
        instance: "r".parse().unwrap(),
        incarnation: IncarnationId::new(u64::from(attempt)),
    };
    let identity = RequestIdentity::from_caller(organisation, "k").unwrap();
    let id = AttemptId::new(u128::from(attempt));
    ClaimStep::new(identity, goal, id, life, ClockTime::default())
}

impl Router {
    fn new(goal: ClaimGoal, attempt: u8) -> Self {
        let mut step = step(goal, attempt);
        let effect = step.start(0);
        Self {
            step,
            attempt,
            releasing: false,
            effect,
        }
    }

    /// The same attempt, unsent, turned to another goal.
    fn turn(&mut self, goal: ClaimGoal, revision: u64) {
        self.step = step(goal, self.attempt);
        self.releasing = goal == ClaimGoal::Release;
        self.effect = self.step.start(revision);
    }
}

/// Searches every history; ends at the first breach.
pub fn search(bug: Option<Bug>) -> SearchResult {
    let mut first = World::default();
    first.routers.push(Router::new(ClaimGoal::Run, 1));
    first.routers.push(Router::new(ClaimGoal::Run, 2));
    first.routers.push(Router::new(ClaimGoal::Seal, 3));
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
            let (expected, row) = world.late.remove(place);
            world.apply(expected, row);
            open.push(world);
        }
        for place in 0..self.routers.len() {
            // A router that crashes just stops: every prefix is searched, and
            // a crash frees nothing, so it needs no action of its own.
            match self.routers[place].effect.clone() {
                ClaimEffect::Write { expected, row } => {
                    self.write(place, expected, &row, bug, open);
                }
                ClaimEffect::ReadBack => self.read(place, open),
                ClaimEffect::Done(end) => self.finish(place, &end, open),
            }
        }
    }

    fn write(
        &self,
        place: usize,
        expected: u64,
        row: &ClaimRow,
        bug: Option<Bug>,
        open: &mut Vec<Self>,
    ) {
        if bug == Some(Bug::NotRunWithoutSeal) && row.state == ClaimState::Sealed {
            let mut world = self.clone();
            world.not_run = true;
            world.routers.remove(place);
            open.push(world);
        }
        let mut answered = self.clone();
        let mut event = answered.apply(expected, row.clone());
        if bug == Some(Bug::SealOverClaim)
            && row.state == ClaimState::Sealed
            && let ClaimEvent::Found { revision, .. } = event
        {
            event = answered.apply(revision, row.clone());
        }
        answered.tell(place, event, bug);
        open.push(answered);
        if self.losses < MAX_LOSSES {
            let mut lost = self.clone();
            lost.losses += 1;
            lost.apply(expected, row.clone());
            lost.tell(place, ClaimEvent::Lost, bug);
            open.push(lost);
            let mut late = self.clone();
            late.losses += 1;
            late.late.push((expected, row.clone()));
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
        if self.outages < MAX_OUTAGES {
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
                    turned.routers[place].turn(goal, *revision);
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
                world.routers[place].turn(ClaimGoal::Release, 0);
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
        router.effect = router.step.on(event);
    }

    /// Carries a write out if its condition holds; tells what its writer would hear.
    fn apply(&mut self, expected: u64, row: ClaimRow) -> ClaimEvent {
        let current = self.row.as_ref().map_or(0, |(_, revision)| *revision);
        if current != expected {
            return self.look();
        }
        self.revision += 1;
        self.row = Some((row, self.revision));
        ClaimEvent::Written {
            revision: self.revision,
        }
    }

    fn look(&self) -> ClaimEvent {
        match &self.row {
            None => ClaimEvent::Absent,
            Some((row, revision)) => ClaimEvent::Found {
                row: row.clone(),
                revision: *revision,
            },
        }
    }
}
