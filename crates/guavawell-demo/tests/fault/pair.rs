//! Pairs of faults: the second comes while the first lasts.

use std::time::Duration;

use guavawell_demo::fleet::FleetSettings;
use guavawell_standin::fault::FaultChange;
use smol::Timer;

use crate::env::FaultEnv;
use crate::env::outage;
use crate::env::run;
use crate::env::settings;
use crate::load::FaultLoad;

/// How long a fault lasts before it is mended, where it can be.
const LASTS: Duration = Duration::from_millis(1_200);

#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    PlatformDown,
    LostAnswers,
    RouterKilled,
    HolderPaused,
    WitnessKilled,
    ZoneCut,
}

impl Fault {
    fn begin(self, env: &mut FaultEnv) {
        match self {
            Self::PlatformDown => env.platform_faults(outage(true)),
            Self::LostAnswers => env.platform_faults(lost()),
            Self::RouterKilled => {
                let victim = env.bystander(0);
                env.fleet.kill(victim);
            }
            Self::HolderPaused => env.fleet.pause(env.holder(0)),
            Self::WitnessKilled => {
                let witness = env.witness(0);
                env.fleet.kill(witness);
            }
            Self::ZoneCut => env.fleet.isolate(1),
        }
    }
}

fn lost() -> FaultChange {
    FaultChange {
        lose_answers: Some(6),
        ..FaultChange::default()
    }
}

async fn pair(first: Fault, second: Fault) {
    let mut env = FaultEnv::start_with(FleetSettings {
        routers: 3,
        engines: 1,
        ..settings()
    })
    .await;
    let load = env.begin(FaultLoad {
        max_tries: 200,
        ..FaultLoad::default()
    });
    env.wait_ended(10).await;
    first.begin(&mut env);
    Timer::after(LASTS / 4).await;
    second.begin(&mut env);
    Timer::after(LASTS).await;
    env.platform_faults(outage(false));
    env.fleet.heal();
    load.await;
    env.assert_served(60);
    env.assert_kept().await;
}

/// One test for each pair, so that a failure names it and they run side by side.
macro_rules! pairs {
    ($($name:ident: $first:ident, $second:ident;)*) => {$(
        #[test]
        fn $name() {
            run(pair(Fault::$first, Fault::$second));
        }
    )*};
}

pairs! {
    platform_down_and_answers_lost: PlatformDown, LostAnswers;
    platform_down_and_router_killed: PlatformDown, RouterKilled;
    platform_down_and_holder_paused: PlatformDown, HolderPaused;
    platform_down_and_witness_killed: PlatformDown, WitnessKilled;
    platform_down_and_zone_cut: PlatformDown, ZoneCut;
    answers_lost_and_router_killed: LostAnswers, RouterKilled;
    answers_lost_and_holder_paused: LostAnswers, HolderPaused;
    answers_lost_and_witness_killed: LostAnswers, WitnessKilled;
    answers_lost_and_zone_cut: LostAnswers, ZoneCut;
    router_killed_and_holder_paused: RouterKilled, HolderPaused;
    router_killed_and_witness_killed: RouterKilled, WitnessKilled;
    router_killed_and_zone_cut: RouterKilled, ZoneCut;
    holder_paused_and_witness_killed: HolderPaused, WitnessKilled;
    holder_paused_and_zone_cut: HolderPaused, ZoneCut;
    witness_killed_and_zone_cut: WitnessKilled, ZoneCut;
}
