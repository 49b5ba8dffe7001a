//! A fleet of instances before servers: requests run, servers crash, and what
//! one instance saw reaches the others late, twice or never.

use std::collections::BTreeMap;

use fastrand::Rng;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::BirthTime;
use guavawell_core::forward::ServerLife;
use guavawell_core::poison::MarkChange;
use guavawell_core::poison::OrganisationTag;
use guavawell_core::poison::PoisonSettings;
use guavawell_core::poison::PoisonTable;
use guavawell_core::poison::PoisonVerdict;
use guavawell_core::poison::RequestFingerprint;
use guavawell_core::poison::ServerTag;
use guavawell_core::poison::SharedSuspicion;
use guavawell_core::poison::SuspicionMark;

/// Time between two steps, in milliseconds.
pub const STEP_MS: u64 = 10;
/// Time from a day's begin in which nothing fails: a popular request is answered
/// before the first crash. Of one that is new nothing tells it from the killer
/// until its first answer.
const QUIET_MS: u64 = 3_000;
/// Time in which all instances know what one of them saw, in milliseconds.
pub const SPREAD_MS: u64 = 3_000;
/// The request that crashes each server which begins to run it.
pub const CRASHER: RequestFingerprint = RequestFingerprint::new(1);
/// A request that comes by the hundred and harms nobody.
pub const POPULAR: RequestFingerprint = RequestFingerprint::new(2);

const INSTANCES: usize = 6;
const SERVERS: usize = 12;
/// Servers of one rack.
const RACK: usize = 4;
/// Times that a caller sends a request which fails.
const MAX_TRIES: u32 = 2;
/// Attempts of one request.
const MAX_ATTEMPTS: u32 = 2;
/// The longest and shortest time that a request takes, in milliseconds.
const RUN_MS: std::ops::Range<u64> = 50..2_500;
/// The same until the killer crashes its server.
const CRASHER_RUN_MS: std::ops::Range<u64> = 40..900;
/// The same until a server is back.
const RESTART_MS: std::ops::Range<u64> = 2_000..5_000;
/// The same until a message of another instance arrives.
const MESSAGE_MS: std::ops::Range<u64> = 2..300;
/// The same until an instance reads a row that was written.
const ROW_MS: std::ops::Range<u64> = 10..600;
/// One message in so many is lost, and one in so many comes twice.
const UNRELIABLE_ONE_IN: u32 = 4;

/// A fault that is planted into the rules or the carriers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// None.
    NoFault,
    /// An answer clears nothing.
    AnswerClearsNothing,
    /// Nobody is told anything.
    NothingPublished,
    /// No rows are kept, so that a process that starts knows nothing.
    RowsNotStored,
}

/// What happens on a day, each as a mean time between two events in
/// milliseconds; 0 is never.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub fault: InjectedFault,
    pub crasher_ms: u64,
    pub popular_ms: u64,
    pub harmless_ms: u64,
    pub crash_ms: u64,
    pub rack_ms: u64,
    pub restart_ms: u64,
    /// When the popular request comes first.
    pub popular_from_ms: u64,
    /// When all servers of one rack crash at one moment; 0 is never.
    pub rack_at_ms: u64,
    /// How long the day lasts.
    pub length_ms: u64,
}

/// What came of a day.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Servers that crashed under the killer.
    pub crashed_servers: usize,
    /// Servers that got it later than [`SPREAD_MS`] after the third of them.
    pub late: usize,
    /// Other requests that were refused.
    pub refused: usize,
    /// Other requests that were answered.
    pub answered: usize,
}

struct Attempt {
    fingerprint: RequestFingerprint,
    instance: usize,
    server: usize,
    mark_at_start: SuspicionMark,
    ends_at: u64,
    attempts: u32,
    tries: u32,
}

struct Server {
    up_at: u64,
}

/// A request that waits for a verdict.
struct HeldRequest {
    until: u64,
    fingerprint: RequestFingerprint,
    tries: u32,
}

struct Message {
    arrives_at: u64,
    to: usize,
    suspicion: SharedSuspicion,
}

/// A row that was written, and when each instance reads it.
struct RowRead {
    reads_at: u64,
    to: usize,
    entries: Vec<SharedSuspicion>,
}

pub struct FleetSimulation {
    scenario: Scenario,
    random: Rng,
    now: u64,
    next_fingerprint: u128,
    tables: Vec<PoisonTable>,
    servers: Vec<Server>,
    running: Vec<Attempt>,
    held: Vec<HeldRequest>,
    messages: Vec<Message>,
    rows: BTreeMap<usize, Vec<SharedSuspicion>>,
    row_reads: Vec<RowRead>,
    third_crash_at: Option<u64>,
    outcome: Outcome,
}

fn tag() -> OrganisationTag {
    OrganisationTag::of(None)
}

/// Far enough from zero for ages.
fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(10_000_000 + millis)
}

/// Plays a day.
pub fn run_scenario(scenario: Scenario, seed: u64) -> Outcome {
    let mut simulation = FleetSimulation {
        scenario,
        random: Rng::with_seed(seed),
        now: 0,
        next_fingerprint: 1_000,
        tables: (0..INSTANCES).map(|_| new_table()).collect(),
        servers: (0..SERVERS).map(|_| Server { up_at: 0 }).collect(),
        running: Vec::new(),
        held: Vec::new(),
        messages: Vec::new(),
        rows: BTreeMap::new(),
        row_reads: Vec::new(),
        third_crash_at: None,
        outcome: Outcome::default(),
    };
    while simulation.now < scenario.length_ms {
        simulation.step();
        simulation.now += STEP_MS;
    }
    simulation.outcome
}

fn new_table() -> PoisonTable {
    PoisonTable::new(PoisonSettings::default())
}

impl FleetSimulation {
    fn step(&mut self) {
        self.deliver();
        let now = self.now;
        let held = self.held.extract_if(.., |held| held.until <= now);
        for request in held.collect::<Vec<HeldRequest>>() {
            self.receive(request.fingerprint, 1, request.tries);
        }
        let scenario = self.scenario;
        if self.now >= scenario.popular_from_ms && self.happens(scenario.popular_ms) {
            self.receive(POPULAR, 1, 1);
        }
        if self.happens(scenario.harmless_ms) {
            self.next_fingerprint += 1;
            self.receive(RequestFingerprint::new(self.next_fingerprint), 1, 1);
        }
        if self.now >= QUIET_MS {
            self.inject_events();
        }
        self.end_attempts();
    }

    fn inject_events(&mut self) {
        let scenario = self.scenario;
        if self.happens(scenario.crasher_ms) {
            self.receive(CRASHER, 1, MAX_TRIES);
        }
        if self.happens(scenario.crash_ms) {
            let server = self.random.usize(..SERVERS);
            self.crash(server);
        }
        if self.happens(scenario.rack_ms)
            || (scenario.rack_at_ms > 0 && self.now == scenario.rack_at_ms)
        {
            let first = self.random.usize(..SERVERS / RACK) * RACK;
            (first..first + RACK).for_each(|server| self.crash(server));
        }
        if self.happens(scenario.restart_ms) {
            self.restart();
        }
    }

    fn happens(&mut self, mean_ms: u64) -> bool {
        mean_ms > 0 && self.random.u64(..mean_ms) < STEP_MS
    }

    /// A request comes to some instance.
    fn receive(&mut self, fingerprint: RequestFingerprint, attempts: u32, tries: u32) {
        let instance = self.random.usize(..INSTANCES);
        let verdict = self.tables[instance].verdict(fingerprint, at(self.now));
        if let PoisonVerdict::Undecided(span) = verdict {
            self.held.push(HeldRequest {
                until: self.now + span.as_millis(),
                fingerprint,
                tries,
            });
            return;
        }
        if matches!(verdict, PoisonVerdict::Refused(_)) {
            self.tables[instance].refused(fingerprint, at(self.now));
            if fingerprint != CRASHER {
                self.outcome.refused += 1;
            }
            return;
        }
        self.send(fingerprint, instance, attempts, tries);
    }

    fn send(
        &mut self,
        fingerprint: RequestFingerprint,
        instance: usize,
        attempts: u32,
        tries: u32,
    ) {
        let Some(server) = self.choose_server(fingerprint, instance) else {
            return;
        };
        let spans = if fingerprint == CRASHER {
            CRASHER_RUN_MS
        } else {
            RUN_MS
        };
        let third = self
            .third_crash_at
            .is_some_and(|at| self.now > at + SPREAD_MS);
        if fingerprint == CRASHER && third {
            self.outcome.late += 1;
        }
        self.running.push(Attempt {
            fingerprint,
            instance,
            server,
            mark_at_start: self.tables[instance].mark(fingerprint),
            ends_at: self.now + self.random.u64(spans),
            attempts,
            tries,
        });
    }

    /// Any server; for a suspect one at which this instance has no other one, the
    /// same at each instance.
    fn choose_server(&mut self, fingerprint: RequestFingerprint, instance: usize) -> Option<usize> {
        let up = |server: &usize| self.servers[*server].up_at <= self.now;
        let up: Vec<usize> = (0..SERVERS).filter(up).collect();
        let table = &self.tables[instance];
        if table.verdict(fingerprint, at(self.now)) != PoisonVerdict::Suspect {
            return self.random.choice(up);
        }
        let others = |server: &usize| {
            self.running.iter().any(|attempt| {
                attempt.instance == instance
                    && attempt.server == *server
                    && attempt.fingerprint != fingerprint
                    && attempt.mark_at_start.crashes > 0
            })
        };
        let server_rank = |server: &usize| {
            let mixed =
                (fingerprint.short() ^ (*server as u64 + 1)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            (!others(server), mixed ^ (mixed >> 29))
        };
        up.into_iter().max_by_key(server_rank)
    }

    fn end_attempts(&mut self) {
        let now = self.now;
        let due = self
            .running
            .extract_if(.., |attempt| attempt.ends_at <= now);
        for attempt in due.collect::<Vec<Attempt>>() {
            if attempt.fingerprint == CRASHER {
                self.running.push(attempt);
                let server = self.running.last().expect("just pushed").server;
                self.outcome.crashed_servers += 1;
                if self.outcome.crashed_servers == 3 {
                    self.third_crash_at = Some(now);
                }
                self.crash(server);
            } else {
                self.outcome.answered += 1;
                let table = &mut self.tables[attempt.instance];
                if self.scenario.fault != InjectedFault::AnswerClearsNothing {
                    let change = table.answered(attempt.fingerprint, at(now));
                    self.publish(attempt.instance, change);
                }
            }
        }
    }

    /// A server crashes with all that it runs.
    fn crash(&mut self, server: usize) {
        let life = ServerTag::of(&ServerLife {
            id: format!("s{server}").parse().expect("an id"),
            born: Some(BirthTime::from_millis(self.servers[server].up_at)),
        });
        self.servers[server].up_at = self.now + self.random.u64(RESTART_MS);
        let lost = self
            .running
            .extract_if(.., |attempt| attempt.server == server);
        for attempt in lost.collect::<Vec<Attempt>>() {
            let table = &mut self.tables[attempt.instance];
            let now = at(self.now);
            let change =
                table.crashed(attempt.fingerprint, tag(), attempt.mark_at_start, life, now);
            self.publish(attempt.instance, change);
            self.continue_after_crash(&attempt);
        }
    }

    /// What a request or its caller does after its server crashed.
    fn continue_after_crash(&mut self, attempt: &Attempt) {
        let Attempt {
            fingerprint,
            instance,
            attempts,
            tries,
            ..
        } = *attempt;
        let refused = matches!(
            self.tables[instance].verdict(fingerprint, at(self.now)),
            PoisonVerdict::Refused(_) | PoisonVerdict::Undecided(_)
        );
        if attempts < MAX_ATTEMPTS && !refused && self.tables[instance].may_repeat(fingerprint) {
            self.send(fingerprint, instance, attempts + 1, tries);
        } else if tries < MAX_TRIES {
            self.receive(fingerprint, 1, tries + 1);
        }
    }

    /// Tells a change to all others, and writes the own row.
    fn publish(&mut self, from: usize, change: Option<MarkChange>) {
        let Some(change) =
            change.filter(|_| self.scenario.fault != InjectedFault::NothingPublished)
        else {
            return;
        };
        let suspicion = self.tables[from].shared(change.fingerprint, at(self.now));
        for to in (0..INSTANCES).filter(|to| *to != from) {
            let copies = match self.random.u32(..UNRELIABLE_ONE_IN) {
                0 => 0,
                1 => 2,
                _ => 1,
            };
            for _ in 0..copies {
                self.messages.push(Message {
                    arrives_at: self.now + self.random.u64(MESSAGE_MS),
                    to,
                    suspicion: suspicion.expect("it just changed"),
                });
            }
        }
        if self.scenario.fault != InjectedFault::RowsNotStored {
            let entries = self.tables[from].told(at(self.now));
            self.rows.insert(from, entries.clone());
            for to in 0..INSTANCES {
                self.row_reads.push(RowRead {
                    reads_at: self.now + self.random.u64(ROW_MS),
                    to,
                    entries: entries.clone(),
                });
            }
        }
    }

    /// What was told was answered by what is known here.
    fn publish_reply(
        &mut self,
        from: usize,
        suspicion: SharedSuspicion,
        change: Option<MarkChange>,
    ) {
        self.publish(from, change.filter(|change| change.mark != suspicion.mark));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let messages = self.messages.extract_if(.., |held| held.arrives_at <= now);
        for message in messages.collect::<Vec<Message>>() {
            let suspicion = message.suspicion;
            let change = self.tables[message.to].learn(suspicion, false, at(now));
            self.publish_reply(message.to, suspicion, change);
        }
        let news = self.row_reads.extract_if(.., |held| held.reads_at <= now);
        for row in news.collect::<Vec<RowRead>>() {
            for suspicion in row.entries {
                let change = self.tables[row.to].learn(suspicion, false, at(now));
                self.publish_reply(row.to, suspicion, change);
            }
        }
    }

    /// An instance ends with all that it held and sent, and starts again with
    /// what the rows say.
    fn restart(&mut self) {
        let instance = self.random.usize(..INSTANCES);
        self.running.retain(|attempt| attempt.instance != instance);
        self.messages.retain(|message| message.to != instance);
        self.row_reads.retain(|news| news.to != instance);
        let mut table = new_table();
        for (owner, entries) in &self.rows {
            for suspicion in entries {
                let suspicion = SharedSuspicion {
                    age: ClockSpan::default(),
                    ..*suspicion
                };
                table.learn(suspicion, *owner == instance, at(self.now));
            }
        }
        self.tables[instance] = table;
    }
}
