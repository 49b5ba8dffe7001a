//! Times, sizes and memory.

use std::fmt;
use std::fs;
use std::hint::black_box;
use std::time::Instant;

use guavawell_core::manifest::FleetView;

use super::fleet::FleetSize;
use super::fleet::budget_name;
use super::fleet::key_hash;
use super::fleet::organisation_name;

/// Names looked up in turns, so that a lookup finds the caches as cold as
/// requests of many organisations would.
const NAMES: usize = 20_000;

/// Median and maximum of some numbers.
#[derive(Debug, Default)]
pub struct Spread {
    numbers: Vec<u128>,
}

impl Spread {
    pub fn add(&mut self, number: u128) {
        self.numbers.push(number);
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut sorted = self.numbers.clone();
        sorted.sort_unstable();
        let median = sorted[sorted.len() / 2];
        let most = sorted[sorted.len() - 1];
        write!(formatter, "median {median}, most {most}")
    }
}

/// Resident memory of this process, in KiB, as the system tells it.
pub fn resident_kib() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let digits = line.and_then(|line| line.split_whitespace().nth(1));
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

/// Nanoseconds of one lookup.
#[derive(Debug)]
pub struct LookupTimes {
    pub by_key: f64,
    pub organisation: f64,
    pub budget: f64,
    pub owner: f64,
    pub backends: f64,
}

/// Looks names up that spread over the whole fleet.
pub fn lookups(view: &FleetView, size: &FleetSize, count: usize) -> LookupTimes {
    let organisations: Vec<usize> = (0..NAMES).map(|n| n * 7_919 % size.organisations).collect();
    let keys: Vec<_> = organisations.iter().map(|n| key_hash(*n)).collect();
    let ids: Vec<_> = organisations
        .iter()
        .map(|n| organisation_name(*n).parse().expect("a good id"))
        .collect();
    let budgets: Vec<_> = organisations
        .iter()
        .enumerate()
        .map(|(turn, n)| {
            budget_name(*n, turn % size.budgets_of(*n))
                .parse()
                .expect("a good id")
        })
        .collect();
    let models: Vec<_> = view.models().iter().map(|model| model.id.clone()).collect();
    let zones = &view.fleet().zones;
    LookupTimes {
        by_key: time(count, |turn| {
            view.organisation_by_key(&keys[turn % NAMES]).is_some()
        }),
        organisation: time(count, |turn| {
            view.organisation(&ids[turn % NAMES]).is_some()
        }),
        budget: time(count, |turn| {
            view.budget(&ids[turn % NAMES], &budgets[turn % NAMES])
                .is_some()
        }),
        owner: time(count, |turn| {
            view.budget_owner(&budgets[turn % NAMES]).is_some()
        }),
        backends: time(count, |turn| {
            let model = &models[turn % models.len()];
            !view
                .backends_of_model(model, &zones[turn % zones.len()])
                .is_empty()
        }),
    }
}

#[allow(clippy::cast_precision_loss)]
fn time(count: usize, lookup: impl Fn(usize) -> bool) -> f64 {
    let started = Instant::now();
    let found = (0..count).filter(|turn| lookup(*turn)).count();
    let elapsed = started.elapsed();
    assert!(black_box(found) == count, "{found} of {count} found");
    elapsed.as_nanos() as f64 / count as f64
}
