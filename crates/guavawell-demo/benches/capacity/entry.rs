//! The entry path: processor time of a request and of a token, and memory of
//! an open stream, with the whole router between callers and engines.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use guavawell_core::clock::ClockSpan;
use guavawell_core::id::TokenCount;
use guavawell_demo::fleet::DemoFleet;
use guavawell_demo::fleet::FleetSettings;
use guavawell_demo::fleet::organisation_key;
use guavawell_load::LoadHooks;
use guavawell_load::LoadPlan;
use guavawell_load::plan::ArrivalMode;
use guavawell_load::plan::CallKind;
use guavawell_load::plan::ChatCall;
use guavawell_load::plan::RequestProfile;
use guavawell_load::plan::SizeRange;
use guavawell_load::plan::TargetKind;

use crate::measure::resident_kib;
use crate::measure::thread_seconds;

/// Threads of routers; the event loop's own thread serves all alike.
const ROUTER_THREADS: [&str; 2] = ["router", "peer"];
/// Time between two tokens, as letter 1 allows it.
const TOKEN_TIME: ClockSpan = ClockSpan::from_millis(30);
/// Tokens of a mean answer: 980,000 over 3,100.
const TOKENS: u32 = 316;
/// Open streams; 80 is a node's share of 31,100, which is 3,100 a second for
/// 10 s each.
const STREAMS: [usize; 3] = [80, 320, 1_200];
/// Time for which the idle fleet is watched.
const IDLE: Duration = Duration::from_secs(3);
/// When the memory of open streams is looked at.
const IN_THE_MIDDLE: Duration = Duration::from_secs(5);

pub fn run() {
    short_requests();
    streams();
}

fn settings(token_time: ClockSpan) -> FleetSettings {
    FleetSettings {
        zones: 1,
        routers: 2,
        engines: 2,
        services: 0,
        organisations: 4,
        paid: TokenCount::new(1_000_000_000_000),
        engine_slots: 4_096,
        token_time,
        ..FleetSettings::default()
    }
}

fn start(token_time: ClockSpan) -> DemoFleet {
    smol::block_on(DemoFleet::start(settings(token_time))).expect("the fleet starts")
}

/// The router's processor time a second while nothing is asked of it.
fn idle_seconds() -> f64 {
    let before = thread_seconds(&ROUTER_THREADS);
    thread::sleep(IDLE);
    (thread_seconds(&ROUTER_THREADS) - before) / IDLE.as_secs_f64()
}

fn plan(fleet: &DemoFleet, tag: &str, connections: usize, tokens: u32) -> LoadPlan {
    let profile = |index| RequestProfile {
        key: organisation_key(index).into(),
        call: CallKind::Chat(ChatCall {
            model: "draft-7b".parse().expect("a good id"),
            prompt_bytes: SizeRange::exactly(400),
            max_tokens: SizeRange::exactly(tokens),
            stream: true,
        }),
        ..RequestProfile::default()
    };
    LoadPlan {
        targets: fleet.caller_addresses().into(),
        arrival: ArrivalMode::Closed { connections },
        tag: tag.into(),
        threads: 2,
        profiles: (0..fleet.settings.organisations).map(profile).collect(),
        ..LoadPlan::default()
    }
}

/// What one run cost.
struct RunCost {
    answered: f64,
    tokens: f64,
    /// Processor time of the routers, idle time taken off.
    seconds: f64,
    resident_kib: f64,
}

fn measure(plan: LoadPlan, idle: f64) -> RunCost {
    let started = Instant::now();
    let before = thread_seconds(&ROUTER_THREADS);
    let load = thread::spawn(move || guavawell_load::run(plan, LoadHooks::default()));
    let mut resident = 0.0;
    while !load.is_finished() {
        thread::sleep(Duration::from_millis(20));
        if started.elapsed() < IN_THE_MIDDLE {
            resident = resident_kib();
        }
    }
    let spent = thread_seconds(&ROUTER_THREADS) - before;
    let report = load.join().expect("the load ends").expect("a good plan");
    if report.counts.answered != report.counts.requests {
        println!("not all answered: {:?}", report.counts.ends);
    }
    RunCost {
        answered: report.counts.answered as f64,
        tokens: report.counts.completion_tokens as f64,
        seconds: spent - idle * started.elapsed().as_secs_f64(),
        resident_kib: resident,
    }
}

/// Requests of one token, as many as go through.
fn short_requests() {
    let mut fleet = start(ClockSpan::from_millis(0));
    let idle = idle_seconds();
    println!("two idle routers: {:.2} % of a core", idle * 1e2);
    for connections in [1, 16, 64] {
        let tag = format!("short-{connections}");
        let plan = LoadPlan {
            duration: Some(ClockSpan::from_millis(4_000)),
            ..plan(&fleet, &tag, connections, 1)
        };
        let cost = measure(plan, idle);
        println!(
            "requests of 1 token, {connections} connections: {:.0} answered, {:.1} us a request",
            cost.answered,
            cost.seconds * 1e6 / cost.answered,
        );
    }
    fleet.stop();
}

/// Answers of the mean length at the pace of letter 1.
fn streams() {
    let mut fleet = start(TOKEN_TIME);
    let idle = idle_seconds();
    println!("streams  us a token  us a request besides  router KiB a stream");
    for streams in STREAMS {
        let requests = Some(streams as u64);
        let run = |tag: &str, tokens| {
            let plan = LoadPlan {
                duration: None,
                requests,
                ..plan(&fleet, &format!("{tag}-{streams}"), streams, tokens)
            };
            measure(plan, idle)
        };
        let short = run("one", 1);
        let resting = resident_kib();
        let long = run("long", TOKENS);
        let per_token = (long.seconds - short.seconds) / (long.tokens - short.tokens);
        let direct = direct_memory(&fleet, streams);
        let memory = long.resident_kib - resting - direct;
        println!(
            "{streams:>7}  {:>10.2}  {:>20.1}  {:>19.1}",
            per_token * 1e6,
            (short.seconds - per_token * short.tokens) * 1e6 / short.answered,
            memory / streams as f64,
        );
    }
    fleet.stop();
}

/// KiB that the same streams take without a router in between.
fn direct_memory(fleet: &DemoFleet, streams: usize) -> f64 {
    let resting = resident_kib();
    let engines = fleet
        .engines
        .iter()
        .map(guavawell_standin::engine::Engine::address);
    let tag = format!("direct-{streams}");
    let plan = LoadPlan {
        targets: engines.collect(),
        target_kind: TargetKind::Engine,
        duration: None,
        requests: Some(streams as u64),
        ..plan(fleet, &tag, streams, TOKENS)
    };
    measure(plan, 0.0).resident_kib - resting
}
