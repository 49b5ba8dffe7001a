//! Simulation of a fleet of instances and servers: requests run, servers crash,
//! and suspicions reach other instances late, twice or never.

use std::collections::BTreeMap;

use fastrand::Rng;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::forward::StartTime;
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
/// Time at the start without failures, in milliseconds, so that a popular request
/// is answered before the first crash. Until its first answer, a new request
/// cannot be told apart from one that crashes servers.
const QUIET_MS: u64 = 3_000;
/// Time in which a suspicion reaches all instances, in milliseconds.
pub const SPREAD_MS: u64 = 3_000;
/// The request that crashes each server that runs it.
pub const CRASHER: RequestFingerprint = RequestFingerprint::new(1);
/// A harmless request that is sent hundreds of times.
pub const POPULAR: RequestFingerprint = RequestFingerprint::new(2);

const INSTANCES: usize = 6;
const SERVERS: usize = 12;
/// Servers per rack.
const RACK: usize = 4;
/// Most times that a client sends a failing request.
const MAX_TRIES: u32 = 2;
/// Most attempts that an instance makes for one request.
const MAX_ATTEMPTS: u32 = 2;
/// Running time of a harmless request, in milliseconds.
const RUN_MS: std::ops::Range<u64> = 50..2_500;
/// Time until the crashing request crashes its server, in milliseconds.
const CRASHER_RUN_MS: std::ops::Range<u64> = 40..900;
/// Time until a crashed server is up again, in milliseconds.
const RESTART_MS: std::ops::Range<u64> = 2_000..5_000;
/// Delay of a message between instances, in milliseconds.
const MESSAGE_MS: std::ops::Range<u64> = 2..300;
/// Delay until an instance reads a written row, in milliseconds.
const ROW_MS: std::ops::Range<u64> = 10..600;
/// One message in this many is lost, and one in this many arrives twice.
const UNRELIABLE_ONE_IN: u32 = 4;

/// A fault that is injected into the rules or the exchange of suspicions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// No fault.
    NoFault,
    /// Answers do not reset crashes.
    AnswerClearsNothing,
    /// Suspicions are neither sent nor stored.
    NothingPublished,
    /// Rows are not stored, so that a restarted instance starts with an empty table.
    RowsNotStored,
}

/// The events of a run. Fields without a comment are the mean time between two
/// such events in milliseconds, where 0 means never.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub fault: InjectedFault,
    pub crasher_ms: u64,
    pub popular_ms: u64,
    pub harmless_ms: u64,
    pub crash_ms: u64,
    pub rack_ms: u64,
    pub restart_ms: u64,
    /// When the popular request is first sent.
    pub popular_from_ms: u64,
    /// When all servers of one rack crash at once; 0 means never.
    pub rack_at_ms: u64,
    /// Length of the run.
    pub length_ms: u64,
}

/// The result of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Servers that the crashing request crashed.
    pub crashed_servers: usize,
    /// Attempts of the crashing request later than [`SPREAD_MS`] after the third
    /// crash.
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

/// A request that is held until others had time to send a reset.
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

/// A written row that one instance will read.
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

/// A time far enough from zero to subtract ages from it.
fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(10_000_000 + millis)
}

/// Runs a scenario with the given random seed.
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

    /// A request arrives at a random instance.
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
        let all_informed = self
            .third_crash_at
            .is_some_and(|at| self.now > at + SPREAD_MS);
        if fingerprint == CRASHER && all_informed {
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

    /// A random server. For a suspected request, a server on which this instance runs
    /// no other suspected one if possible, ranked alike by all instances.
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

    /// A server crashes, and all its attempts fail.
    fn crash(&mut self, server: usize) {
        let server_tag = ServerTag::of(&ServerIncarnation {
            id: format!("s{server}").parse().expect("an id"),
            born: Some(StartTime::from_millis(self.servers[server].up_at)),
        });
        self.servers[server].up_at = self.now + self.random.u64(RESTART_MS);
        let lost = self
            .running
            .extract_if(.., |attempt| attempt.server == server);
        for attempt in lost.collect::<Vec<Attempt>>() {
            let table = &mut self.tables[attempt.instance];
            let now = at(self.now);
            let change = table.crashed(
                attempt.fingerprint,
                tag(),
                attempt.mark_at_start,
                server_tag,
                now,
            );
            self.publish(attempt.instance, change);
            self.continue_after_crash(&attempt);
        }
    }

    /// Retries an attempt whose server crashed, or lets the client send the request
    /// again.
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
        if attempts < MAX_ATTEMPTS && !refused && self.tables[instance].may_retry(fingerprint) {
            self.send(fingerprint, instance, attempts + 1, tries);
        } else if tries < MAX_TRIES {
            self.receive(fingerprint, 1, tries + 1);
        }
    }

    /// Sends a change to all other instances and writes the sender's row.
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
            let entries = self.tables[from].published_entries(at(self.now));
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

    /// Publishes a change by `learn` that differs from the received mark.
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
        let due_reads = self.row_reads.extract_if(.., |held| held.reads_at <= now);
        for row in due_reads.collect::<Vec<RowRead>>() {
            for suspicion in row.entries {
                let change = self.tables[row.to].learn(suspicion, false, at(now));
                self.publish_reply(row.to, suspicion, change);
            }
        }
    }

    /// Restarts an instance: it loses its attempts and pending messages, and loads
    /// its table from the stored rows.
    fn restart(&mut self) {
        let instance = self.random.usize(..INSTANCES);
        self.running.retain(|attempt| attempt.instance != instance);
        self.messages.retain(|message| message.to != instance);
        self.row_reads.retain(|read| read.to != instance);
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
