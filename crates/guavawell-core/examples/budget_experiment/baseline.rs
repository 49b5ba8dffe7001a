//! Two baselines: fixed shares per router, and leases that expire.

use crate::budget_fleet::ZONE_SIZE;
use crate::outcome::GlobalLedger;
use crate::outcome::RunOutcome;
use crate::scenario::Scenario;
use crate::workload::Arrival;
use crate::workload::BUDGETS;
use crate::workload::CRASH_AT;
use crate::workload::STEPS;
use crate::workload::ZONES;
use crate::workload::paid;

/// Steps that a lease lasts (ten seconds), and between two renewals.
const LEASE_STEPS: usize = 50;
const RENEW_STEPS: usize = 25;
/// Requests that a lease stocks, at the usual worst case.
const LEASE_STOCK: u64 = 64 * 1_100;

/// Attempts that run, by the step in which they end.
struct RunningAttempts(Vec<Vec<(Arrival, usize)>>);

impl RunningAttempts {
    fn new() -> Self {
        Self(vec![Vec::new(); STEPS + 64])
    }

    fn start(&mut self, arrival: Arrival, place: usize) {
        self.0[arrival.step + arrival.length].push((arrival, place));
    }

    fn end(&mut self, step: usize) -> Vec<(Arrival, usize)> {
        std::mem::take(&mut self.0[step])
    }
}

/// Every router owns a fixed part of each budget; a router that does not
/// cover a request asks the other one of its zone.
pub fn fixed_shares(arrivals: &[Arrival], scenario: &Scenario) -> RunOutcome {
    let routers = ZONES * ZONE_SIZE;
    let share = |budget| paid(budget) / routers as u64;
    let shares: Vec<u64> = (0..BUDGETS).map(share).collect();
    let mut rest = vec![shares; routers];
    let mut ledger = GlobalLedger::new();
    let mut running = RunningAttempts::new();
    let mut arrivals = arrivals.iter().peekable();
    for step in 0..STEPS + 64 {
        if step == CRASH_AT {
            for router in scenario.crashed() {
                ledger.outcome.frozen += rest[router].iter().sum::<u64>();
                rest[router].fill(0);
            }
        }
        for (arrival, router) in running.end(step) {
            ledger.settle(&arrival);
            if !scenario.is_down(router, step) {
                rest[router][arrival.budget] += arrival.worst - arrival.actual;
            }
        }
        while let Some(arrival) = arrivals.next_if(|arrival| arrival.step == step) {
            if scenario.is_zone_down(arrival.zone, step) {
                continue;
            }
            ledger.count();
            let first = arrival.zone * ZONE_SIZE;
            let covering = (first..first + ZONE_SIZE).find(|router| {
                !scenario.is_down(*router, step) && rest[*router][arrival.budget] >= arrival.worst
            });
            match covering {
                None => ledger.refuse(arrival),
                Some(router) => {
                    rest[router][arrival.budget] -= arrival.worst;
                    ledger.grant(arrival);
                    running.start(*arrival, router);
                }
            }
        }
    }
    ledger.finish()
}

/// One zone's lease of one budget.
#[derive(Clone, Copy, Debug, Default)]
struct BudgetLease {
    /// Tokens that the table granted and that are not reported as used.
    open: u64,
    /// Tokens in use or used, not reported yet.
    used: u64,
    ends_at: usize,
}

/// Each zone leases a stock per budget for ten seconds. The table takes back
/// what was not reported as used when the lease lapses.
pub fn expiring_leases(arrivals: &[Arrival], scenario: &Scenario) -> RunOutcome {
    let mut unspent: Vec<u64> = (0..BUDGETS).map(paid).collect();
    let mut leases = vec![vec![BudgetLease::default(); BUDGETS]; ZONES];
    let mut ledger = GlobalLedger::new();
    let mut running = RunningAttempts::new();
    let mut arrivals = arrivals.iter().peekable();
    for step in 0..STEPS + 64 {
        lapse(&mut leases, &mut unspent, step);
        for (arrival, zone) in running.end(step) {
            ledger.settle(&arrival);
            let lease = &mut leases[zone][arrival.budget];
            let unused = arrival.worst - arrival.actual;
            let pending = lease.used.min(unused);
            lease.used -= pending;
            if lease.ends_at > step {
                lease.open += unused - pending;
            }
        }
        for (zone, leases) in leases.iter_mut().enumerate() {
            if step % RENEW_STEPS == zone && scenario.reaches_table(zone, step) {
                ledger.outcome.writes += renew_all(leases, step);
            }
        }
        while let Some(arrival) = arrivals.next_if(|arrival| arrival.step == step) {
            if scenario.is_zone_down(arrival.zone, step) {
                continue;
            }
            ledger.count();
            let lease = &mut leases[arrival.zone][arrival.budget];
            let is_short = lease.open < lease.used + arrival.worst;
            if is_short && scenario.reaches_table(arrival.zone, step) {
                refill(lease, &mut unspent[arrival.budget], arrival.worst, step);
                ledger.outcome.writes += 1;
            }
            if lease.open >= lease.used + arrival.worst {
                lease.used += arrival.worst;
                ledger.grant(arrival);
                running.start(*arrival, arrival.zone);
            } else {
                ledger.refuse(arrival);
            }
        }
    }
    ledger.finish()
}

/// The table takes lapsed leases back, as far as it knows of no use.
fn lapse(leases: &mut [Vec<BudgetLease>], unspent: &mut [u64], step: usize) {
    for zone in leases {
        for (budget, lease) in zone.iter_mut().enumerate() {
            if lease.open > 0 && step >= lease.ends_at {
                unspent[budget] += lease.open;
                *lease = BudgetLease::default();
            }
        }
    }
}

/// Renews a zone's leases; the number of writes.
fn renew_all(leases: &mut [BudgetLease], step: usize) -> u64 {
    let mut writes = 0;
    for lease in leases {
        writes += u64::from(renew(lease, step));
    }
    writes
}

/// Reports the use and extends the lease; `false` if there is none.
const fn renew(lease: &mut BudgetLease, step: usize) -> bool {
    if lease.open == 0 {
        return false;
    }
    // Worst cases count as used; what they leave comes back to the lease.
    lease.open -= lease.used;
    lease.used = 0;
    lease.ends_at = step + LEASE_STEPS;
    true
}

fn refill(lease: &mut BudgetLease, unspent: &mut u64, need: u64, step: usize) {
    let share = (*unspent / (2 * ZONES as u64)).min(LEASE_STOCK);
    let missing = (lease.used + need).saturating_sub(lease.open);
    let tokens = share.max(missing).min(*unspent);
    *unspent -= tokens;
    lease.open += tokens;
    lease.ends_at = step + LEASE_STEPS;
}
