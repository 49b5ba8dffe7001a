//! Replay of a large fleet in which one popular prompt causes much of the load.
//!
//! 95 instances send about one request per second each to 24 servers. An
//! instance gets a load report from a server only every twenty seconds or so,
//! and has sent none of the requests that keep the server busy.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::forward::ServerTable;

use crate::support::START;
use crate::support::TestRequest;
use crate::support::choose;
use crate::support::server;
use crate::support::table;

const INSTANCES: usize = 95;
const SERVERS: usize = 24;
/// Requests that a server runs at once.
const SLOTS: usize = 8;
/// Running time of a request.
const RUN_MS: u64 = 1_200;
/// Time between two requests of the fleet.
const STEP_MS: u64 = 11;
/// Length of the replay.
const LENGTH_MS: u64 = 40_000;
/// Time at the start that is not measured.
const WARMUP_MS: u64 = 10_000;
/// Longest wait that callers accept.
const LATE_MS: u64 = 800;
/// Age up to which a load report counts in full.
const FRESH_REPORT_AGE: ClockSpan = ClockSpan::from_millis(1_500);
/// Percentage of requests with the popular prompt.
const POPULAR_PERCENT: u64 = 28;

/// A request that waits at its server or runs there.
struct SimRequest {
    instance: usize,
    server: usize,
    sent: ClockTime,
    started: Option<ClockTime>,
    prefill: u64,
    cache: u64,
}

struct FleetReplay {
    tables: Vec<ServerTable>,
    requests: Vec<SimRequest>,
    waits: Vec<u64>,
}

impl FleetReplay {
    fn running(&self, server: usize) -> usize {
        let at_server = self
            .requests
            .iter()
            .filter(|request| request.server == server);
        at_server
            .filter(|request| request.started.is_some())
            .count()
    }

    fn waiting(&self, server: usize) -> usize {
        let at_server = self
            .requests
            .iter()
            .filter(|request| request.server == server);
        at_server
            .filter(|request| request.started.is_none())
            .count()
    }

    /// Ends requests that have run, and starts waiting ones; their responses
    /// report the server's load.
    fn step(&mut self, now: ClockTime) {
        let run = ClockSpan::from_millis(RUN_MS);
        let ended = |request: &SimRequest| {
            request
                .started
                .is_some_and(|started| now.since(started) >= run)
        };
        for request in self.requests.extract_if(.., |request| ended(request)) {
            let entry = self.tables[request.instance].get_mut(&server(request.server));
            entry
                .expect("listed")
                .finish(request.prefill, request.cache);
        }
        for index in 0..self.requests.len() {
            let number = self.requests[index].server;
            if self.requests[index].started.is_some() || self.running(number) >= SLOTS {
                continue;
            }
            self.requests[index].started = Some(now);
            self.waits
                .push(now.since(self.requests[index].sent).as_millis());
            let counts = (self.running(number), self.waiting(number));
            let table = &mut self.tables[self.requests[index].instance];
            let entry = table.get_mut(&server(number)).expect("listed");
            entry.health.last_received_at = now;
            let count = |value: usize| u32::try_from(value).expect("small");
            entry.report(now, count(counts.0), count(counts.1));
        }
    }

    fn send(&mut self, instance: usize, request: TestRequest, now: ClockTime) {
        let table = &mut self.tables[instance];
        let Some(pick) = choose(table, request, now) else {
            return;
        };
        let entry = table.get_mut(&pick.server).expect("listed");
        entry.begin(now, pick.prefill_tokens, request.input);
        let incarnation = |number: &usize| -> ServerIncarnation { server(*number) };
        let number = (0..SERVERS).find(|number| incarnation(number) == pick.server);
        self.requests.push(SimRequest {
            instance,
            server: number.expect("listed"),
            sent: now,
            started: None,
            prefill: pick.prefill_tokens,
            cache: request.input,
        });
    }

    /// Models an instance that ignores old load reports.
    fn forget_old_reports(&mut self, instance: usize, now: ClockTime) {
        for number in 0..SERVERS {
            let entry = self.tables[instance].get_mut(&server(number));
            let load = &mut entry.expect("listed").load;
            load.reported_at = load
                .reported_at
                .filter(|at| now.since(*at) <= FRESH_REPORT_AGE);
        }
    }
}

/// The percentage of requests that waited longer than callers accept.
fn late_percent(forgets_old: bool) -> usize {
    let mut random = fastrand::Rng::with_seed(5);
    let mut fleet = FleetReplay {
        tables: (0..INSTANCES).map(|_| table(SERVERS)).collect(),
        requests: Vec::new(),
        waits: Vec::new(),
    };
    let step = usize::try_from(STEP_MS).expect("small");
    for millis in (0..LENGTH_MS).step_by(step) {
        let now = START + ClockSpan::from_millis(millis);
        if millis == WARMUP_MS / STEP_MS * STEP_MS {
            fleet.waits.clear();
        }
        fleet.step(now);
        let popular = random.u64(..100) < POPULAR_PERCENT;
        let request = TestRequest {
            part: if popular { 1 } else { random.u64(2..200) },
            shared: 1_500,
            input: 3_000,
        };
        let instance = random.usize(..INSTANCES);
        if forgets_old {
            fleet.forget_old_reports(instance, now);
        }
        fleet.send(instance, request, now);
    }
    let late = fleet.waits.iter().filter(|wait| **wait > LATE_MS).count();
    late * 100 / fleet.waits.len()
}

#[test]
fn old_load_reports_keep_requests_from_a_server_with_a_popular_prompt() {
    let (ours, forgetful) = (late_percent(false), late_percent(true));
    println!("late: {ours} %, {forgetful} % if old reports are ignored");
    assert!(ours * 2 < forgetful, "{ours} and {forgetful}");
}
