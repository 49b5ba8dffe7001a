//! The random events of a run.

use proptest::prelude::*;

use crate::budget_fleet::ZONE_SIZE;

pub const ZONES: usize = 3;
pub const BUDGETS: usize = 2;

/// One random event.
#[derive(Clone, Debug)]
pub enum FleetStep {
    Reserve(usize, usize, u64),
    Repeat(usize),
    Settle(usize, u64),
    Release(usize),
    Tick(u64),
    Cut(usize),
    Heal(usize),
    TableDown,
    TableUp,
    Lossy(u64),
    TakeOver(usize),
    ChangeWitnesses(bool),
    Crash(usize),
    Restart(usize),
    Seize(usize),
    TopUp(usize, u64, u64),
    SetBase(usize, u64),
}

pub fn fleet_step() -> impl Strategy<Value = FleetStep> {
    let zone = 0..ZONES;
    let budget = 0..BUDGETS;
    let instance = 0..ZONES * ZONE_SIZE;
    let place = 0..1_000_usize;
    prop_oneof![
        20 => (zone.clone(), budget.clone(), 1..60_u64)
            .prop_map(|(zone, budget, amount)| FleetStep::Reserve(zone, budget, amount)),
        4 => place.clone().prop_map(FleetStep::Repeat),
        10 => (place.clone(), 0..80_u64).prop_map(|(place, used)| FleetStep::Settle(place, used)),
        3 => place.prop_map(FleetStep::Release),
        10 => (1..1_500_u64).prop_map(FleetStep::Tick),
        2 => zone.clone().prop_map(FleetStep::Cut),
        2 => zone.clone().prop_map(FleetStep::Heal),
        1 => Just(FleetStep::TableDown),
        2 => Just(FleetStep::TableUp),
        1 => (0..40_u64).prop_map(FleetStep::Lossy),
        2 => zone.clone().prop_map(FleetStep::TakeOver),
        1 => any::<bool>().prop_map(FleetStep::ChangeWitnesses),
        1 => instance.clone().prop_map(FleetStep::Crash),
        2 => instance.prop_map(FleetStep::Restart),
        1 => zone.prop_map(FleetStep::Seize),
        1 => (budget.clone(), 0..5_u64, 1..200_u64)
            .prop_map(|(budget, id, tokens)| FleetStep::TopUp(budget, id, tokens)),
        1 => (budget, 0..600_u64).prop_map(|(budget, base)| FleetStep::SetBase(budget, base)),
    ]
}
