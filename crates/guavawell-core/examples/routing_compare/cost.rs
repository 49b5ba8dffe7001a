//! Time per choice, by the wall clock.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use guavawell_core::backend::BackendTable;
use guavawell_core::backend::ChoiceRequest;
use guavawell_core::backend::PrefixHash;
use guavawell_core::backend::RouteTarget;
use guavawell_core::backend::RoutingSettings;
use guavawell_core::clock::ClockTime;

use super::sample::RandomDraws;
use super::world;

const ROUNDS: u64 = 1_000_000;

/// Prints nanoseconds per choice, begin and drop included, at 20 and 2,200
/// servers.
pub fn print_cost() {
    for servers in [20, 2_200] {
        let specs = (0..servers).map(|number| world::spec(number, 7)).collect();
        let settings = RoutingSettings::default();
        let table = Arc::new(BackendTable::new(settings, specs, ClockTime::default()));
        let target = RouteTarget::Model("m".parse().expect("model"));
        let zone = world::spec(0, 7).zone;
        let now = ClockTime::from_millis(60_000);
        let mut draws = RandomDraws(3);
        let begun = Instant::now();
        for round in 0..ROUNDS {
            let ask = ChoiceRequest {
                target: &target,
                version: None,
                adapter: None,
                zone: &zone,
                prefix: Some(PrefixHash::new(round % 100 * 0x9e37_79b9_7f4a)),
                exclude: &[],
                draw: draws.next(),
                now,
            };
            let pick = table.choose(&ask).expect("pick");
            black_box(pick.begin(now).expect("lease"));
        }
        let nanos = begun.elapsed().as_nanos() / u128::from(ROUNDS);
        println!("cost per choice and begin, {servers:>4} servers: {nanos} ns");
    }
}
