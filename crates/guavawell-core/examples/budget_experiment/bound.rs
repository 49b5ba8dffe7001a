//! What could be served at most without a word across the cut: one ledger for
//! all zones, which is split in two when a cut begins and joined when it
//! ends. It knows of the cut when it begins.

use crate::outcome::RunOutcome;
use crate::scenario::Scenario;
use crate::scenario::ZoneCut;
use crate::workload::Arrival;
use crate::workload::BUDGETS;
use crate::workload::STEPS;
use crate::workload::TOP_UP;
use crate::workload::TOP_UP_AT;
use crate::workload::is_small;
use crate::workload::paid;

/// Splits that the best one is sought among.
const SPLITS: u64 = 200;

/// How the rest of a budget is split when a cut begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestSplit {
    /// The split that turns out best: it knows every request to come.
    Hindsight,
    /// By the zones' shares of the load: it knows the rates alone.
    Rates,
}

/// One budget's tokens on both sides of the cut; the second is the cut zone.
struct SplitBudget<'a> {
    scenario: &'a Scenario,
    arrivals: &'a [Arrival],
    /// Parts of [`SPLITS`] that go to the cut zone, cut by cut.
    parts: Vec<u64>,
    free: [u64; 2],
    refused: u64,
    falsely_refused: u64,
    /// Tokens that come back, by step: the zone and the tokens.
    ending: Vec<Vec<(usize, u64)>>,
}

/// The fewest false refusals that a split of this kind leaves.
pub fn bound(arrivals: &[Arrival], scenario: &Scenario, split: RestSplit) -> RunOutcome {
    let mut outcome = RunOutcome {
        requests: arrivals.len() as u64,
        ..RunOutcome::default()
    };
    for budget in 0..BUDGETS {
        let own: Vec<Arrival> = arrivals
            .iter()
            .filter(|arrival| arrival.budget == budget)
            .copied()
            .collect();
        let parts = match split {
            RestSplit::Hindsight => best_parts(&own, budget, scenario),
            RestSplit::Rates => rate_parts(scenario),
        };
        let (refused, falsely_refused) = serve(&own, budget, scenario, parts);
        outcome.refused += refused;
        outcome.falsely_refused += falsely_refused;
    }
    outcome
}

fn rate_parts(scenario: &Scenario) -> Vec<u64> {
    let sum: u64 = (0..scenario.zones)
        .map(|zone| scenario.zone_weight(zone))
        .sum();
    let part = |cut: &ZoneCut| scenario.zone_weight(cut.zone) * SPLITS / sum;
    scenario.cuts.iter().map(part).collect()
}

/// Chooses the best part for one cut after the other.
fn best_parts(arrivals: &[Arrival], budget: usize, scenario: &Scenario) -> Vec<u64> {
    let mut parts = rate_parts(scenario);
    for cut in 0..parts.len() {
        let falsely_refused = |part: &u64| {
            let mut parts = parts.clone();
            parts[cut] = *part;
            serve(arrivals, budget, scenario, parts).1
        };
        let best = (0..=SPLITS).min_by_key(falsely_refused);
        parts[cut] = best.unwrap_or_default();
    }
    parts
}

/// Serves one budget's requests; the refusals, and the false ones of them.
fn serve(arrivals: &[Arrival], budget: usize, scenario: &Scenario, parts: Vec<u64>) -> (u64, u64) {
    let mut split = SplitBudget {
        scenario,
        arrivals,
        parts,
        free: [paid(budget), 0],
        refused: 0,
        falsely_refused: 0,
        ending: vec![Vec::new(); STEPS + 64],
    };
    let mut next = 0;
    for step in 0..STEPS {
        if step == TOP_UP_AT && scenario.tops_up && is_small(budget) {
            split.free[0] += TOP_UP;
        }
        split.begin_step(step);
        while next < split.arrivals.len() && split.arrivals[next].step == step {
            split.reserve(split.arrivals[next]);
            next += 1;
        }
    }
    (split.refused, split.falsely_refused)
}

impl SplitBudget<'_> {
    fn begin_step(&mut self, step: usize) {
        for (place, cut) in self.scenario.cuts.iter().enumerate() {
            if cut.from == step {
                let rest = self.free[0] + self.free[1];
                self.free[1] = rest * self.parts[place] / SPLITS;
                self.free[0] = rest - self.free[1];
            }
        }
        for (zone, tokens) in std::mem::take(&mut self.ending[step]) {
            let side = self.side(zone, step);
            self.free[side] += tokens;
        }
        if self.scenario.cut_now(step).is_none() {
            self.free = [self.free[0] + self.free[1], 0];
        }
    }

    fn side(&self, zone: usize, step: usize) -> usize {
        usize::from(self.scenario.is_cut(zone, step))
    }

    fn reserve(&mut self, arrival: Arrival) {
        let side = self.side(arrival.zone, arrival.step);
        if self.free[side] >= arrival.worst {
            self.free[side] -= arrival.worst;
            let unused = arrival.worst - arrival.actual;
            self.ending[arrival.step + arrival.length].push((arrival.zone, unused));
            return;
        }
        self.refused += 1;
        let rest = self.free[0] + self.free[1];
        self.falsely_refused += u64::from(rest >= arrival.worst);
    }
}
