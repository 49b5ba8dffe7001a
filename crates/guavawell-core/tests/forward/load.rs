//! Replays of heavy loads, compared with simpler choices of a server: half of
//! the servers unresponsive, and one prompt with most of the requests.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::forward::ServerTable;

use crate::support::START;
use crate::support::TestRequest;
use crate::support::choose;
use crate::support::server;
use crate::support::table;

/// Prompt tokens that a server prefills per millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 80;
/// Number of servers.
const SERVERS: usize = 18;

/// Results of a replay.
#[derive(Default)]
struct ReplayOutcome {
    /// Times to the first token, in milliseconds.
    waits: Vec<u64>,
    /// Shared tokens that were prefilled again.
    repeated_tokens: u64,
    /// Requests that were sent to an unresponsive server.
    lost: usize,
}

impl ReplayOutcome {
    fn p95(&mut self) -> u64 {
        self.waits.sort_unstable();
        self.waits[self.waits.len() * 95 / 100]
    }
}

/// Servers that prefill prompts one after another and cache their shared parts.
struct ServerReplay {
    table: ServerTable,
    free_at: Vec<ClockTime>,
    cached: Vec<Vec<u64>>,
    unresponsive: Vec<bool>,
    /// Requests that are not prefilled yet: the time when they will be, the
    /// server, the predicted prefill tokens and the cache tokens.
    pending: Vec<(ClockTime, ServerIncarnation, u64, u64)>,
}

impl ServerReplay {
    fn new(unresponsive: usize) -> Self {
        Self {
            table: table(SERVERS),
            free_at: vec![START; SERVERS],
            cached: vec![Vec::new(); SERVERS],
            unresponsive: (0..SERVERS).map(|number| number < unresponsive).collect(),
            pending: Vec::new(),
        }
    }

    fn finish_prefills(&mut self, now: ClockTime) {
        let (done, pending): (Vec<_>, Vec<_>) = self
            .pending
            .drain(..)
            .partition(|(prefilled_at, ..)| *prefilled_at <= now);
        self.pending = pending;
        for (prefilled_at, id, predicted_prefill, cache) in done {
            let entry = self.table.get_mut(&id).expect("listed");
            entry.health.last_received_at = entry.health.last_received_at.max(prefilled_at);
            entry.finish(predicted_prefill, cache);
        }
    }

    fn send(
        &mut self,
        request: TestRequest,
        target: &ServerIncarnation,
        predicted_prefill: u64,
        now: ClockTime,
        outcome: &mut ReplayOutcome,
    ) {
        let number = (0..SERVERS)
            .find(|number| server(*number) == *target)
            .expect("listed");
        let cache = request.input;
        let entry = self.table.get_mut(target).expect("listed");
        entry.begin(now, predicted_prefill, cache);
        if self.unresponsive[number] {
            outcome.lost += 1;
            return;
        }
        let is_cached = self.cached[number].contains(&request.part);
        if !is_cached {
            if self
                .cached
                .iter()
                .any(|parts| parts.contains(&request.part))
            {
                outcome.repeated_tokens += request.shared;
            }
            self.cached[number].push(request.part);
        }
        let prefill = if is_cached {
            request.input - request.shared
        } else {
            request.input
        };
        let prefilled_at =
            self.free_at[number].max(now) + ClockSpan::from_millis(prefill / PREFILL_TOKENS_PER_MS);
        self.free_at[number] = prefilled_at;
        outcome.waits.push(prefilled_at.since(now).as_millis());
        self.pending
            .push((prefilled_at, target.clone(), predicted_prefill, cache));
    }
}

/// Ten seconds of requests, one every 25 ms.
fn replay(
    unresponsive: usize,
    part_of: impl Fn(&mut fastrand::Rng) -> u64,
    pick: impl Fn(&ServerTable, TestRequest, ClockTime, &mut fastrand::Rng) -> (ServerIncarnation, u64),
) -> ReplayOutcome {
    let mut random = fastrand::Rng::with_seed(11);
    let mut replay = ServerReplay::new(unresponsive);
    let mut outcome = ReplayOutcome::default();
    for millis in (0..10_000).step_by(25) {
        let now = START + ClockSpan::from_millis(millis);
        replay.finish_prefills(now);
        let request = TestRequest {
            part: part_of(&mut random),
            shared: 5_000,
            input: 5_000 + random.u64(2_000..12_000),
        };
        let (target, predicted_prefill) = pick(&replay.table, request, now, &mut random);
        replay.send(request, &target, predicted_prefill, now, &mut outcome);
    }
    outcome
}

fn chosen_server(
    table: &ServerTable,
    request: TestRequest,
    now: ClockTime,
    _: &mut fastrand::Rng,
) -> (ServerIncarnation, u64) {
    let pick = choose(table, request, now).expect("a server");
    (pick.server, pick.prefill_tokens)
}

/// The server with the fewest requests of this instance.
fn least_loaded_server(
    table: &ServerTable,
    request: TestRequest,
    _: ClockTime,
    random: &mut fastrand::Rng,
) -> (ServerIncarnation, u64) {
    let start = random.usize(..SERVERS);
    let entries = (0..SERVERS).map(|step| &table.servers()[(start + step) % SERVERS]);
    let best = entries.min_by_key(|entry| entry.load.in_flight);
    (best.expect("a server").incarnation.clone(), request.input)
}

#[test]
fn half_of_the_servers_unresponsive_costs_a_few_requests_each() {
    let spread = |random: &mut fastrand::Rng| random.u64(..214);
    let chosen = replay(SERVERS / 2, spread, chosen_server);
    let random_pick = replay(SERVERS / 2, spread, |_, request, _, random| {
        (server(random.usize(..SERVERS)), request.input)
    });
    println!(
        "lost: {} of 400, {} with random choice",
        chosen.lost, random_pick.lost
    );
    assert!(chosen.lost * 4 < random_pick.lost);
}

#[test]
fn shared_parts_are_seldom_prefilled_again_and_waits_stay_short() {
    let spread = |random: &mut fastrand::Rng| random.u64(..60);
    let mut chosen = replay(0, spread, chosen_server);
    let mut least = replay(0, spread, least_loaded_server);
    let (p95, least_p95) = (chosen.p95(), least.p95());
    println!(
        "prefilled again: {} and {} tokens",
        chosen.repeated_tokens, least.repeated_tokens
    );
    println!("p95: {p95} and {least_p95} ms");
    assert!(chosen.repeated_tokens * 5 < least.repeated_tokens);
    assert!(p95 <= least_p95 * 3 / 2);
}

#[test]
fn a_popular_prompt_overflows_to_other_servers() {
    let popular = |random: &mut fastrand::Rng| {
        if random.u32(..10) < 8 {
            1
        } else {
            random.u64(..60)
        }
    };
    let mut chosen = replay(0, popular, chosen_server);
    let mut preferred_only = replay(0, popular, |table, request, now, _| {
        let idle = crate::support::table(SERVERS);
        let preferred = choose(&idle, request, now).expect("a server");
        let _ = table;
        (preferred.server, preferred.prefill_tokens)
    });
    println!(
        "p95 {} ms, {} ms with the preferred server alone",
        chosen.p95(),
        preferred_only.p95()
    );
    assert!(chosen.p95() * 3 < preferred_only.p95());
}
