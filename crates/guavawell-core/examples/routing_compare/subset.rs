//! A zone of letter 1's size: many routers before many engines.

use super::ENGINE_RATE;
use super::world::ChoicePolicy;
use super::world::ExperimentWorld;
use super::world::SpillSetup;
use super::world::WorldFault;
use super::world::WorldSetup;

/// Routers of a zone.
const ROUTERS: [usize; 3] = [6, 48, 56];
/// Engines of a zone that serve the target: all of letter 1's, and a
/// nineteenth of them.
const ENGINES: [usize; 2] = [314, 16];
/// Engines up to which smaller subsets are tried.
const SMALL: usize = 24;
const FAULTS: [WorldFault; 5] = [
    WorldFault::None,
    WorldFault::SlowServer,
    WorldFault::Leaving,
    WorldFault::ServerLost,
    WorldFault::RoutersLost,
];

/// Prints first tokens and the spread over engines, by size of the subset;
/// other sizes than the default's only without a fault. Numbers on the command
/// line choose engines and routers, a fault's name the fault.
pub fn compare_subsets() {
    println!(
        "engines routers fault load subset | first token ms p50 p95 p99 | refused, late | sent to an engine: least, mean, most"
    );
    for engines in ENGINES
        .into_iter()
        .filter(|count| is_chosen(*count, &ENGINES))
    {
        for routers in ROUTERS
            .into_iter()
            .filter(|count| is_chosen(*count, &ROUTERS))
        {
            for fault in FAULTS.into_iter().filter(|fault| is_named(*fault)) {
                compare_sizes(engines, routers, fault);
            }
        }
    }
}

/// Whether a number is on the command line, or none of its kind is.
fn is_chosen(number: usize, kind: &[usize]) -> bool {
    let numbers: Vec<usize> = std::env::args()
        .filter_map(|word| word.parse().ok())
        .collect();
    let named = kind.iter().any(|other| numbers.contains(other));
    !named || numbers.contains(&number)
}

/// Whether a fault is named on the command line, or none is.
fn is_named(fault: WorldFault) -> bool {
    let known: Vec<_> = FAULTS.iter().map(|fault| format!("{fault:?}")).collect();
    let named: Vec<_> = std::env::args()
        .filter(|word| known.contains(word))
        .collect();
    named.is_empty() || named.contains(&format!("{fault:?}"))
}

fn compare_sizes(engines: usize, routers: usize, fault: WorldFault) {
    let sizes: &[usize] = match (fault, engines > SMALL) {
        (WorldFault::None, true) => &[0, 12, 24, 48],
        (WorldFault::None, false) => &[0, 4, 8, 12],
        _ => &[0, 12],
    };
    for load in [0.8, 0.95] {
        for &subset in sizes {
            run(engines, routers, fault, load, subset);
        }
    }
}

fn run(engines: usize, routers: usize, fault: WorldFault, load: f64, subset: usize) {
    let rate = ENGINE_RATE * f64::from(u32::try_from(engines).expect("small"));
    let setup = WorldSetup {
        policy: ChoicePolicy::Guavawell,
        fault,
        engines,
        zones: 1,
        routers,
        subset,
        spill: SpillSetup::default(),
        rates: vec![rate * load],
    };
    let result = ExperimentWorld::run(setup);
    let first = result.first_token[0].summary();
    let (refused, late) = (result.refused[0], result.late_work);
    let least = result.sent.iter().min().expect("engines");
    let most = result.sent.iter().max().expect("engines");
    let mean = result.sent.iter().sum::<u32>() / u32::try_from(engines).expect("small");
    let label = format!("{engines} {routers} {fault:?} {load} {subset}");
    println!("{label:<32} | {first} | {refused} {late} | {least} {mean} {most}");
}

/// One zone of seven is offered more than it has, the others less; reports
/// stay in their zone.
pub fn compare_spills() {
    println!(
        "load hot-percent told | first token ms p50 p95 p99 | refused | sent to an engine: hot zone, others least and most"
    );
    for (load, hot_percent) in [(0.5, 43), (0.7, 31), (0.85, 25)] {
        for told in [false, true] {
            spill(load, SpillSetup { hot_percent, told });
        }
    }
}

fn spill(load: f64, spill: SpillSetup) {
    const ENGINES: u32 = 7 * 16;
    let setup = WorldSetup {
        policy: ChoicePolicy::Guavawell,
        fault: WorldFault::None,
        engines: ENGINES as usize,
        zones: 7,
        routers: 7 * 6,
        subset: 12,
        spill,
        rates: vec![ENGINE_RATE * f64::from(ENGINES) * load],
    };
    let result = ExperimentWorld::run(setup);
    let first = result.first_token[0].summary();
    let of_zone = |zone: usize| result.sent.iter().skip(zone).step_by(7).sum::<u32>() / 16;
    let others: Vec<_> = (1..7).map(of_zone).collect();
    let least = others.iter().min().expect("zones");
    let most = others.iter().max().expect("zones");
    let label = format!("{load} {} {}", spill.hot_percent, spill.told);
    println!(
        "{label:<20} | {first} | {} | {} {least} {most}",
        result.refused[0],
        of_zone(0),
    );
}
