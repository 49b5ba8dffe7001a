//! Max-min fair division of a pool by announced demands.

use super::rate::PlatformRate;

/// Returns the part of `pool` for a router with demand `own`, if the other routers
/// of its zone announced `others`.
///
/// Small demands are met in full, and the rest is divided equally among the large
/// ones. What exceeds all demands is divided equally among the routers with a
/// demand. A part never grows with the demand of another router, and the parts never
/// exceed the pool in sum if all routers know the same demands.
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
    let routers = demands.len() as u64;
    let (mut rest, mut left) = (pool.as_milli(), routers);
    for demand in demands {
        let even = rest / left;
        if demand > even {
            return PlatformRate::from_milli(own.as_milli().min(even));
        }
        rest -= demand;
        left -= 1;
    }
    own.saturating_add(PlatformRate::from_milli(rest / routers))
}
