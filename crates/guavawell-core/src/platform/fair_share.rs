//! Who gets how much of what lies idle: max-min fairness over announced demands.

use super::rate::PlatformRate;

/// The part of `pool` that a router with demand `own` may borrow, where the
/// others of its zone announced `others`.
///
/// Small demands are met whole, and the rest is divided alike among the large
/// ones; what nobody asked for is divided alike among all that borrow. A part
/// never grows with the demand of another: with one picture of the demands the
/// parts sum up to the pool at most.
#[must_use]
pub fn fair_share(pool: PlatformRate, own: PlatformRate, others: &[PlatformRate]) -> PlatformRate {
    if own == PlatformRate::ZERO {
        return PlatformRate::ZERO;
    }
    let mut demands: Vec<u64> = others
        .iter()
        .map(|demand| demand.as_milli())
        .filter(|demand| *demand > 0)
        .collect();
    demands.push(own.as_milli());
    demands.sort_unstable();
    let borrowers = demands.len() as u64;
    let (mut rest, mut left) = (pool.as_milli(), borrowers);
    for demand in demands {
        let even = rest / left;
        if demand > even {
            return PlatformRate::from_milli(own.as_milli().min(even));
        }
        rest -= demand;
        left -= 1;
    }
    own.saturating_add(PlatformRate::from_milli(rest / borrowers))
}
