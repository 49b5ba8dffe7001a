//! The simulated state: routers, one table row and delayed writes.

use std::collections::HashSet;

use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::AttemptId;
use guavawell_core::id::ClaimGeneration;
use guavawell_core::id::IncarnationId;
use guavawell_core::request::RequestIdentity;
use guavawell_core::request::claim::ClaimEffect;
use guavawell_core::request::claim::ClaimEvent;
use guavawell_core::request::claim::ClaimGoal;
use guavawell_core::request::claim::ClaimOutcome;
use guavawell_core::request::claim::ClaimRow;
use guavawell_core::request::claim::ClaimState;
use guavawell_core::request::claim::ClaimStep;
use guavawell_core::retention::AttemptStart;
use guavawell_core::retention::KEPT_GENERATIONS;
use guavawell_core::retention::may_sweep;

/// Maximum number of lost responses and delayed writes in one history.
const MAX_LOSSES: u8 = 2;
/// Maximum number of failed table operations in one history.
const MAX_OUTAGES: u8 = 1;
/// The last generation of a history with sweeps: the first in which a claim of
/// generation 1 may be swept.
const LAST_GENERATION: u64 = KEPT_GENERATIONS + 3;
/// Maximum number of lost responses and delayed writes in one history with
/// sweeps.
const MAX_LOSSES_WITH_SWEEPS: u8 = 1;

/// A fault injected into the routers, the table or the sweep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    NotRunWithoutSeal,
    UnansweredCountsAsHeld,
    OverwriteWithoutReadBack,
    SealOverClaim,
    /// The table does not check the generation of a write.
    WriteWithoutGenerationCheck,
    /// Rows are swept one generation too early.
    SweepTooEarly,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Router {
    step: ClaimStep,
    attempt: u8,
    releasing: bool,
    /// `None` until the try starts.
    effect: Option<ClaimEffect>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct StoredRow {
    row: ClaimRow,
    revision: u64,
    generation: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct DelayedWrite {
    expected: u64,
    generation: ClaimGeneration,
    row: ClaimRow,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Simulation {
    routers: Vec<Router>,
    row: Option<StoredRow>,
    revision: u64,
    generation: u64,
    delayed: Vec<DelayedWrite>,
    losses: u8,
    max_losses: u8,
    outages: u8,
    max_outages: u8,
    runs: u8,
    not_run: bool,
}

pub struct SearchResult {
    pub states: usize,
    pub violation: Option<&'static str>,
}

fn step(goal: ClaimGoal, attempt: u8, begun: u64) -> ClaimStep {
    let organisation = "o".parse().unwrap();
    let router = InstanceIncarnation {
        instance: "r".parse().unwrap(),
        incarnation: IncarnationId::new(u64::from(attempt)),
    };
    let identity = RequestIdentity::from_caller(organisation, "k").unwrap();
    let id = AttemptId::new(u128::from(attempt));
    let start = AttemptStart::new(ClaimGeneration::new(begun));
    ClaimStep::new(identity, goal, id, router, ClockTime::default(), start)
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

    /// Starts the try in the generation in force.
    fn begin(&mut self, generation: u64) {
        self.step = step(self.step.goal(), self.attempt, generation);
        self.effect = Some(self.step.start(0, ClaimGeneration::new(generation)));
    }

    /// Pursues another goal with the same, unsent attempt.
    fn change_goal(&mut self, goal: ClaimGoal, revision: u64, generation: u64) {
        self.step = step(goal, self.attempt, generation);
        self.releasing = goal == ClaimGoal::Release;
        let current = ClaimGeneration::new(generation);
        self.effect = Some(self.step.start(revision, current));
    }
}

/// Searches every history without sweeps. Stops at the first violation.
pub fn search(fault: Option<InjectedFault>) -> SearchResult {
    search_from(
        &[ClaimGoal::Run, ClaimGoal::Run, ClaimGoal::Seal],
        None,
        fault,
    )
}

/// Searches every history in which generations end at any time and rows may be
/// swept as soon as that is allowed. The last generation in which the second
/// try, `second`, may start is the last one in which a try still finds a claim
/// of generation 0.
pub fn search_with_sweeps(second: ClaimGoal, fault: Option<InjectedFault>) -> SearchResult {
    search_from(&[ClaimGoal::Run, second], Some(KEPT_GENERATIONS), fault)
}

/// `last_start` is the last generation in which a try may start; `None` without
/// sweeps.
fn search_from(
    goals: &[ClaimGoal],
    last_start: Option<u64>,
    fault: Option<InjectedFault>,
) -> SearchResult {
    let mut initial = Simulation::default();
    for (goal, attempt) in goals.iter().zip(1..) {
        initial.routers.push(Router::new(*goal, attempt));
    }
    initial.max_losses = MAX_LOSSES_WITH_SWEEPS;
    if last_start.is_none() {
        initial.max_losses = MAX_LOSSES;
        initial.max_outages = MAX_OUTAGES;
        for router in &mut initial.routers {
            router.begin(0);
        }
    }
    let mut seen = HashSet::new();
    let mut pending = vec![initial];
    while let Some(simulation) = pending.pop() {
        let violation = simulation.violation();
        if violation.is_some() {
            let states = seen.len();
            return SearchResult { states, violation };
        }
        if seen.insert(simulation.clone()) {
            simulation.successors(fault, &mut pending);
            if let Some(last_start) = last_start {
                simulation.advance_time(last_start, fault, &mut pending);
            }
        }
    }
    SearchResult {
        states: seen.len(),
        violation: None,
    }
}

impl Simulation {
    fn violation(&self) -> Option<&'static str> {
        if self.runs > 1 {
            return Some("ran twice");
        }
        (self.not_run && self.runs > 0).then_some("ran after a not_run")
    }

    fn successors(&self, fault: Option<InjectedFault>, pending: &mut Vec<Self>) {
        for index in 0..self.delayed.len() {
            let mut simulation = self.clone();
            let write = simulation.delayed.remove(index);
            simulation.apply(&write, fault);
            pending.push(simulation);
        }
        for index in 0..self.routers.len() {
            // Crashes need no action of their own. A crashed router just stops,
            // which every prefix of a history covers, and a crash releases
            // nothing.
            match self.routers[index].effect.clone() {
                None => {}
                Some(ClaimEffect::Write {
                    expected,
                    generation,
                    row,
                }) => {
                    let write = DelayedWrite {
                        expected,
                        generation,
                        row,
                    };
                    self.write(index, &write, fault, pending);
                }
                Some(ClaimEffect::ReadBack) => self.read(index, pending),
                Some(ClaimEffect::Done(outcome)) => self.finish(index, &outcome, pending),
            }
        }
    }

    /// Adds the effects of time: a try starts, a generation ends, the row is
    /// swept.
    fn advance_time(&self, last_start: u64, fault: Option<InjectedFault>, pending: &mut Vec<Self>) {
        for index in 0..self.routers.len() {
            if self.routers[index].effect.is_none() && self.generation <= last_start {
                let mut simulation = self.clone();
                simulation.routers[index].begin(self.generation);
                pending.push(simulation);
            }
        }
        if self.generation < LAST_GENERATION {
            let mut simulation = self.clone();
            // Skips the generations in between, which do not differ from
            // generation 1.
            simulation.generation = match self.generation {
                1 => KEPT_GENERATIONS,
                generation => generation + 1,
            };
            pending.push(simulation);
        }
        let too_early = u64::from(fault == Some(InjectedFault::SweepTooEarly));
        let current = ClaimGeneration::new(self.generation + too_early);
        let is_due =
            |stored: &StoredRow| may_sweep(ClaimGeneration::new(stored.generation), current);
        if self.row.as_ref().is_some_and(is_due) {
            let mut simulation = self.clone();
            simulation.row = None;
            pending.push(simulation);
        }
    }

    fn write(
        &self,
        index: usize,
        write: &DelayedWrite,
        fault: Option<InjectedFault>,
        pending: &mut Vec<Self>,
    ) {
        let row = &write.row;
        if fault == Some(InjectedFault::NotRunWithoutSeal) && row.state == ClaimState::Sealed {
            let mut simulation = self.clone();
            simulation.not_run = true;
            simulation.routers.remove(index);
            pending.push(simulation);
        }
        let mut answered = self.clone();
        let mut event = answered.apply(write, fault);
        if fault == Some(InjectedFault::SealOverClaim)
            && row.state == ClaimState::Sealed
            && let ClaimEvent::Found { revision, .. } = event
        {
            let overwrite = DelayedWrite {
                expected: revision,
                ..write.clone()
            };
            event = answered.apply(&overwrite, fault);
        }
        answered.deliver(index, event, fault);
        pending.push(answered);
        if self.losses < self.max_losses {
            let mut unanswered = self.clone();
            unanswered.losses += 1;
            unanswered.apply(write, fault);
            unanswered.deliver(index, ClaimEvent::Unanswered, fault);
            pending.push(unanswered);
            let mut delayed = self.clone();
            delayed.losses += 1;
            delayed.delayed.push(write.clone());
            delayed.deliver(index, ClaimEvent::Unanswered, fault);
            pending.push(delayed);
        }
        self.outage(index, pending);
    }

    fn read(&self, index: usize, pending: &mut Vec<Self>) {
        let mut simulation = self.clone();
        let event = simulation.read_row();
        simulation.deliver(index, event, None);
        pending.push(simulation);
        self.outage(index, pending);
    }

    fn outage(&self, index: usize, pending: &mut Vec<Self>) {
        if self.outages < self.max_outages {
            let mut simulation = self.clone();
            simulation.outages += 1;
            simulation.deliver(index, ClaimEvent::Failed, None);
            pending.push(simulation);
        }
    }

    fn finish(&self, index: usize, outcome: &ClaimOutcome, pending: &mut Vec<Self>) {
        let mut simulation = self.clone();
        match outcome {
            ClaimOutcome::Held { revision } => {
                for goal in [ClaimGoal::Seal, ClaimGoal::Release] {
                    let mut changed = self.clone();
                    changed.routers[index].change_goal(goal, *revision, self.generation);
                    pending.push(changed);
                }
                simulation.runs += 1;
                simulation.routers.remove(index);
            }
            ClaimOutcome::Sealed => {
                simulation.not_run = true;
                simulation.routers.remove(index);
            }
            ClaimOutcome::Undecided if !simulation.routers[index].releasing => {
                simulation.routers[index].change_goal(ClaimGoal::Release, 0, self.generation);
            }
            _ => {
                simulation.routers.remove(index);
            }
        }
        pending.push(simulation);
    }

    fn deliver(&mut self, index: usize, event: ClaimEvent, fault: Option<InjectedFault>) {
        let router = &mut self.routers[index];
        let event = match (fault, event) {
            (Some(InjectedFault::UnansweredCountsAsHeld), ClaimEvent::Unanswered) => {
                ClaimEvent::Written { revision: 0 }
            }
            (
                Some(InjectedFault::OverwriteWithoutReadBack),
                ClaimEvent::Found { row, revision },
            ) if row.state == ClaimState::Claimed => ClaimEvent::Found {
                row: ClaimRow {
                    state: ClaimState::Released,
                    ..row
                },
                revision,
            },
            (_, event) => event,
        };
        router.effect = Some(router.step.on(event));
    }

    /// Applies a write if its conditions hold. Returns the event for its
    /// writer.
    fn apply(&mut self, write: &DelayedWrite, fault: Option<InjectedFault>) -> ClaimEvent {
        let current = self.row.as_ref().map_or(0, |stored| stored.revision);
        if current != write.expected {
            return self.read_row();
        }
        let in_force = write.generation.get() == self.generation;
        if !in_force && fault != Some(InjectedFault::WriteWithoutGenerationCheck) {
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

    fn read_row(&self) -> ClaimEvent {
        match &self.row {
            None => ClaimEvent::Absent,
            Some(stored) => ClaimEvent::Found {
                row: stored.row.clone(),
                revision: stored.revision,
            },
        }
    }
}
