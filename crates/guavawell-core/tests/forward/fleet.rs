//! Replay of one prompt that gets much of a large fleet's traffic.
//!
//! The load: 95 instances, each with a request a second, and 24 servers. An
//! instance hears from a server every twenty seconds or so, and holds none of
//! the requests that keep it busy.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::forward::ServerTable;

use crate::support::Ask;
use crate::support::START;
use crate::support::choose;
use crate::support::server;
use crate::support::table;

const INSTANCES: usize = 95;
const SERVERS: usize = 24;
/// Requests that a server runs at once.
const SLOTS: usize = 8;
/// How long a request runs, in milliseconds.
const RUN_MS: u64 = 1_200;
/// Time between two requests, in milliseconds.
const STEP: u64 = 11;
/// Length of the replay, in milliseconds.
const LENGTH: u64 = 40_000;
/// What comes before is not looked at, in milliseconds.
const SETTLED: u64 = 10_000;
/// Longest wait that callers like, in milliseconds.
const LATE_MS: u64 = 800;
/// A report up to this age counts in full.
const RECENT: ClockSpan = ClockSpan::from_millis(1_500);
/// Part of the requests that have the popular prompt, in hundredths.
const POPULAR: u64 = 28;

/// A request that waits for its server or runs there.
struct OpenRequest {
    instance: usize,
    server: usize,
    sent: ClockTime,
    begun: Option<ClockTime>,
    unread: u64,
    memory: u64,
}

struct Fleet {
    tables: Vec<ServerTable>,
    open: Vec<OpenRequest>,
    waits: Vec<u64>,
}

impl Fleet {
    fn running(&self, server: usize) -> usize {
        let held = self.open.iter().filter(|open| open.server == server);
        held.filter(|open| open.begun.is_some()).count()
    }

    fn waiting(&self, server: usize) -> usize {
        let held = self.open.iter().filter(|open| open.server == server);
        held.filter(|open| open.begun.is_none()).count()
    }

    /// Ends what has run, begins what waited; answers tell the load.
    fn step(&mut self, now: ClockTime) {
        let run = ClockSpan::from_millis(RUN_MS);
        let ended = |open: &OpenRequest| open.begun.is_some_and(|begun| now.since(begun) >= run);
        for open in self.open.extract_if(.., |open| ended(open)) {
            let entry = self.tables[open.instance].get_mut(&server(open.server));
            entry.expect("listed").finish(open.unread, open.memory);
        }
        for place in 0..self.open.len() {
            let number = self.open[place].server;
            if self.open[place].begun.is_some() || self.running(number) >= SLOTS {
                continue;
            }
            self.open[place].begun = Some(now);
            self.waits
                .push(now.since(self.open[place].sent).as_millis());
            let figures = (self.running(number), self.waiting(number));
            let table = &mut self.tables[self.open[place].instance];
            let entry = table.get_mut(&server(number)).expect("listed");
            entry.health.last_received_at = now;
            let count = |value: usize| u32::try_from(value).expect("small");
            entry.report(now, count(figures.0), count(figures.1));
        }
    }

    fn send(&mut self, instance: usize, ask: Ask, now: ClockTime) {
        let table = &mut self.tables[instance];
        let Some(pick) = choose(table, ask, now) else {
            return;
        };
        let entry = table.get_mut(&pick.server).expect("listed");
        entry.begin(now, pick.prefill_tokens, ask.input);
        let listed = |number: &usize| -> ServerIncarnation { server(*number) };
        let number = (0..SERVERS).find(|number| listed(number) == pick.server);
        self.open.push(OpenRequest {
            instance,
            server: number.expect("listed"),
            sent: now,
            begun: None,
            unread: pick.prefill_tokens,
            memory: ask.input,
        });
    }

    /// An instance that takes an old report for none.
    fn forget_old_reports(&mut self, instance: usize, now: ClockTime) {
        for number in 0..SERVERS {
            let entry = self.tables[instance].get_mut(&server(number));
            let load = &mut entry.expect("listed").load;
            load.reported_at = load.reported_at.filter(|at| now.since(*at) <= RECENT);
        }
    }
}

/// How many requests of a hundred waited longer than their caller would like.
fn late_percent(forgets: bool) -> usize {
    let mut random = fastrand::Rng::with_seed(5);
    let mut fleet = Fleet {
        tables: (0..INSTANCES).map(|_| table(SERVERS)).collect(),
        open: Vec::new(),
        waits: Vec::new(),
    };
    let step = usize::try_from(STEP).expect("small");
    for millis in (0..LENGTH).step_by(step) {
        let now = START + ClockSpan::from_millis(millis);
        if millis == SETTLED / STEP * STEP {
            fleet.waits.clear();
        }
        fleet.step(now);
        let popular = random.u64(..100) < POPULAR;
        let ask = Ask {
            part: if popular { 1 } else { random.u64(2..200) },
            shared: 1_500,
            input: 3_000,
        };
        let instance = random.usize(..INSTANCES);
        if forgets {
            fleet.forget_old_reports(instance, now);
        }
        fleet.send(instance, ask, now);
    }
    let late = fleet.waits.iter().filter(|wait| **wait > LATE_MS).count();
    late * 100 / fleet.waits.len()
}

#[test]
fn a_server_that_a_popular_prompt_keeps_busy_is_left_alone_between_answers() {
    let (ours, forgetful) = (late_percent(false), late_percent(true));
    println!("late: {ours} of a hundred, {forgetful} where old reports are forgotten");
    assert!(ours * 2 < forgetful, "{ours} and {forgetful}");
}
