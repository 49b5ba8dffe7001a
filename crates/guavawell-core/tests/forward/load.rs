//! Replays of the worst loads against baselines: half of the servers dark, and
//! one prompt that gets much of the traffic.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::forward::ServerTable;

use crate::support::Ask;
use crate::support::START;
use crate::support::choose;
use crate::support::server;
use crate::support::table;

/// Prompt tokens that a server of the replay reads in a millisecond.
const READ_PER_MS: u64 = 80;
/// Servers of the replay.
const SERVERS: usize = 18;

/// What a replay found.
#[derive(Default)]
struct Outcome {
    /// Times to the first token, in milliseconds.
    waits: Vec<u64>,
    /// Shared tokens read again.
    reread: u64,
    /// Requests that reached a dark server.
    lost: usize,
}

impl Outcome {
    fn p95(&mut self) -> u64 {
        self.waits.sort_unstable();
        self.waits[self.waits.len() * 95 / 100]
    }
}

/// Servers that read prompts one after another and keep shared parts.
struct Replay {
    table: ServerTable,
    free_at: Vec<ClockTime>,
    kept: Vec<Vec<u64>>,
    dark: Vec<bool>,
    /// Requests that are still to begin: when, where, how many tokens.
    open: Vec<(ClockTime, ServerIncarnation, u64, u64)>,
}

impl Replay {
    fn new(dark: usize) -> Self {
        Self {
            table: table(SERVERS),
            free_at: vec![START; SERVERS],
            kept: vec![Vec::new(); SERVERS],
            dark: (0..SERVERS).map(|number| number < dark).collect(),
            open: Vec::new(),
        }
    }

    fn settle(&mut self, now: ClockTime) {
        let (done, open): (Vec<_>, Vec<_>) =
            self.open.drain(..).partition(|(begins, ..)| *begins <= now);
        self.open = open;
        for (begins, id, unread, memory) in done {
            let entry = self.table.get_mut(&id).expect("listed");
            entry.health.last_received_at = entry.health.last_received_at.max(begins);
            entry.finish(unread, memory);
        }
    }

    fn send(
        &mut self,
        ask: Ask,
        to: &ServerIncarnation,
        unread: u64,
        now: ClockTime,
        out: &mut Outcome,
    ) {
        let number = (0..SERVERS)
            .find(|number| server(*number) == *to)
            .expect("listed");
        let memory = ask.input;
        let entry = self.table.get_mut(to).expect("listed");
        entry.begin(now, unread, memory);
        if self.dark[number] {
            out.lost += 1;
            return;
        }
        let known = self.kept[number].contains(&ask.part);
        if !known {
            if self.kept.iter().any(|parts| parts.contains(&ask.part)) {
                out.reread += ask.shared;
            }
            self.kept[number].push(ask.part);
        }
        let read = if known {
            ask.input - ask.shared
        } else {
            ask.input
        };
        let begins = self.free_at[number].max(now) + ClockSpan::from_millis(read / READ_PER_MS);
        self.free_at[number] = begins;
        out.waits.push(begins.since(now).as_millis());
        self.open.push((begins, to.clone(), unread, memory));
    }
}

/// Ten seconds of drafts, one every 25 ms.
fn replay(
    dark: usize,
    part_of: impl Fn(&mut fastrand::Rng) -> u64,
    pick: impl Fn(&ServerTable, Ask, ClockTime, &mut fastrand::Rng) -> (ServerIncarnation, u64),
) -> Outcome {
    let mut random = fastrand::Rng::with_seed(11);
    let mut replay = Replay::new(dark);
    let mut out = Outcome::default();
    for millis in (0..10_000).step_by(25) {
        let now = START + ClockSpan::from_millis(millis);
        replay.settle(now);
        let ask = Ask {
            part: part_of(&mut random),
            shared: 5_000,
            input: 5_000 + random.u64(2_000..12_000),
        };
        let (to, unread) = pick(&replay.table, ask, now, &mut random);
        replay.send(ask, &to, unread, now, &mut out);
    }
    out
}

fn ours(
    table: &ServerTable,
    ask: Ask,
    now: ClockTime,
    _: &mut fastrand::Rng,
) -> (ServerIncarnation, u64) {
    let pick = choose(table, ask, now).expect("a server");
    (pick.server, pick.prefill_tokens)
}

/// The server with the fewest requests of this instance.
fn least_load(
    table: &ServerTable,
    ask: Ask,
    _: ClockTime,
    random: &mut fastrand::Rng,
) -> (ServerIncarnation, u64) {
    let start = random.usize(..SERVERS);
    let entries = (0..SERVERS).map(|step| &table.servers()[(start + step) % SERVERS]);
    let best = entries.min_by_key(|entry| entry.load.in_flight);
    (best.expect("a server").incarnation.clone(), ask.input)
}

#[test]
fn half_of_the_servers_dark_costs_a_few_requests_each() {
    let spread = |random: &mut fastrand::Rng| random.u64(..214);
    let chosen = replay(SERVERS / 2, spread, ours);
    let random_pick = replay(SERVERS / 2, spread, |_, ask, _, random| {
        (server(random.usize(..SERVERS)), ask.input)
    });
    println!(
        "lost: {} of 400, {} at random",
        chosen.lost, random_pick.lost
    );
    assert!(chosen.lost * 4 < random_pick.lost);
}

#[test]
fn shared_parts_are_read_again_seldom_and_nobody_waits_longer() {
    let spread = |random: &mut fastrand::Rng| random.u64(..60);
    let mut chosen = replay(0, spread, ours);
    let mut least = replay(0, spread, least_load);
    let (p95, least_p95) = (chosen.p95(), least.p95());
    println!("read again: {} and {} tokens", chosen.reread, least.reread);
    println!("p95: {p95} and {least_p95} ms");
    assert!(chosen.reread * 5 < least.reread);
    assert!(p95 <= least_p95 * 3 / 2);
}

#[test]
fn a_hot_prompt_spills_to_other_servers() {
    let hot = |random: &mut fastrand::Rng| {
        if random.u32(..10) < 8 {
            1
        } else {
            random.u64(..60)
        }
    };
    let mut chosen = replay(0, hot, ours);
    let mut stuck = replay(0, hot, |table, ask, now, _| {
        let calm = crate::support::table(SERVERS);
        let home = choose(&calm, ask, now).expect("a server");
        let _ = table;
        (home.server, home.prefill_tokens)
    });
    println!("p95 {} ms, {} ms at home alone", chosen.p95(), stuck.p95());
    assert!(chosen.p95() * 3 < stuck.p95());
}
