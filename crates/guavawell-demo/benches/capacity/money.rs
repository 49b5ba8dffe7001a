//! Table writes of budgets: refills and reports by rate, and the closing of
//! former tenures after a takeover.

use guavawell_core::budget::HolderSettings;
use guavawell_core::clock::ClockSpan;
use guavawell_core::platform::PlatformRate;
use guavawell_core::platform::background_rate;

use crate::rig::SlotRig;

/// Budgets of the simulated slot.
const BUDGETS: usize = 200;
/// Simulated time between two ticks.
const TICK: ClockSpan = ClockSpan::from_millis(1_000);
/// Budgets of one slot at letter 1's size: 700,000 over 128 shards.
const FULL_SLOT: usize = 5_469;
/// Slots of the fleet: 128 shards in 7 zones.
const SLOTS: u64 = 896;
/// The fleet's writes a second, as the settings have it by default.
const BUDGET: u64 = 400;
const DAY: ClockSpan = ClockSpan::from_millis(86_400_000);
const HOUR_SECONDS: f64 = 3_600.0;

/// How often each budget is used, and for how long that is simulated.
struct UseRate {
    about: &'static str,
    per_second: f64,
    seconds: u32,
}

const RATES: [UseRate; 4] = [
    UseRate {
        about: "2.3 an hour (all 700,000 alike, in each of 7 zones)",
        per_second: 3_100.0 / 700_000.0 / 7.0,
        seconds: 172_800,
    },
    UseRate {
        about: "16 an hour (all 700,000 alike, in one zone each)",
        per_second: 3_100.0 / 700_000.0,
        seconds: 172_800,
    },
    UseRate {
        about: "0.5 a second",
        per_second: 0.5,
        seconds: 900,
    },
    UseRate {
        about: "20 a second",
        per_second: 20.0,
        seconds: 120,
    },
];

pub fn run() {
    println!("use of each budget  ->  table writes a 1,000 requests, and a budget an hour");
    let report_after = HolderSettings::default().report_after;
    for rate in &RATES {
        refills(rate, report_after, None);
    }
    println!("the first two rows with charges reported after a day");
    for rate in &RATES[..2] {
        refills(rate, DAY, None);
    }
    println!("all rows with reports paced to an eighth of a budget of {BUDGET} writes/s");
    for rate in &RATES {
        refills(rate, report_after, Some(paced_reports()));
    }
    takeover();
}

/// What the simulated budgets have of the fleet's reports: they are so many
/// of those of one of the slots.
fn paced_reports() -> PlatformRate {
    let all = background_rate(PlatformRate::per_second(BUDGET));
    let slot = all.fraction(1, SLOTS);
    slot.fraction(BUDGETS as u64, FULL_SLOT as u64)
}

fn refills(rate: &UseRate, report_after: ClockSpan, pace: Option<PlatformRate>) {
    let settings = HolderSettings {
        retained_most: 1_000,
        report_after,
        ..HolderSettings::default()
    };
    let mut rig = SlotRig::new(BUDGETS, settings);
    rig.holder.pace_reports(pace, rig.now);
    let mut due = 0.0;
    let mut requests = 0_u64;
    for _ in 0..rate.seconds {
        due += rate.per_second * BUDGETS as f64;
        while due >= 1.0 {
            due -= 1.0;
            requests += 1;
            let budget = scattered(requests) % BUDGETS;
            rig.request(requests, budget);
        }
        rig.tick(TICK);
    }
    let writes = rig.counts.changes as f64;
    println!(
        "{:<52}  {:>6.1}  {:>6.2}",
        rate.about,
        writes * 1e3 / requests as f64,
        writes / BUDGETS as f64 / (f64::from(rate.seconds) / HOUR_SECONDS),
    );
}

/// A budget for each request in scattered order, the same in every run.
fn scattered(number: u64) -> usize {
    let mixed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
    usize::try_from(mixed).unwrap_or_default()
}

/// Changes of grants that a new holder sends before any is answered, and in
/// all.
fn takeover() {
    let mut rig = SlotRig::new(FULL_SLOT, HolderSettings::default());
    rig.open_all();
    rig.add_witness();
    rig.tick(TICK);
    rig.take_over(HolderSettings::default());
    rig.counts.changes = 0;
    rig.is_table_up = false;
    rig.tick(ClockSpan::from_millis(25));
    let at_once = rig.counts.changes;
    println!("takeover of {FULL_SLOT} budgets: {at_once} table changes on their way at once");
}
