//! A store, three instances that read from it and from each other, and a faulty
//! instance that sends false versions.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ConfigAction;
use guavawell_core::forward::VersionTracker;

/// Number of correct instances.
const INSTANCES: usize = 3;
/// Set in false versions; versions of the store are even.
const FALSE_BIT: u64 = 1;

/// A fault in the rules that the simulations must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    None,
    /// A response confirms a version as of the time at which it was read.
    CountsAgeFromReceipt,
    /// A version received from another instance is sent to further ones.
    SendsUnconfirmed,
    /// A late response puts an older version into force again.
    AppliesOlder,
    /// A row that cannot be decoded is ignored.
    IgnoresUnreadable,
    /// A version that the store does not have stays in force.
    KeepsFalseVersion,
}

/// One version of the store's row.
#[derive(Clone, Copy)]
struct StoredVersion {
    version: u64,
    readable: bool,
    at: ClockTime,
}

/// Content of a response.
#[derive(Clone, Copy)]
enum PollResponse {
    /// The store's newest row.
    Row(StoredVersion),
    /// Nothing has changed since the version that the poll named.
    Unchanged,
    /// Another instance's version and its age.
    Instance(u64, ClockSpan),
}

/// A poll that was sent, with its response once there is one.
struct OpenPoll {
    instance: usize,
    boot: u32,
    sent_at: ClockTime,
    /// Newest version that the sender had read from the store.
    known_version: Option<u64>,
    /// The polled instance; `None` for the store.
    target: Option<usize>,
    response: Option<PollResponse>,
}

/// One instance.
#[derive(Default)]
struct InstanceState {
    tracker: VersionTracker,
    boot: u32,
    /// Newest version read from the store since the last restart, decodable or
    /// not.
    known_version: Option<u64>,
    /// Highest version in force since the last restart, without versions that
    /// the store turned out not to have.
    highest_version: Option<u64>,
    /// When the version in force was applied.
    applied_at: ClockTime,
    /// Whether the faulty instance was polled since the last restart.
    polled_faulty: bool,
    violation: Option<String>,
}

/// The simulated store and instances.
pub struct FleetWorld {
    fault: InjectedFault,
    now: ClockTime,
    stored: Vec<StoredVersion>,
    instances: Vec<InstanceState>,
    open_polls: Vec<OpenPoll>,
}

impl FleetWorld {
    pub fn new(fault: InjectedFault) -> Self {
        let first = StoredVersion {
            version: 2,
            readable: true,
            at: ClockTime::from_millis(1_000),
        };
        Self {
            fault,
            now: first.at,
            stored: vec![first],
            instances: (0..INSTANCES).map(|_| InstanceState::default()).collect(),
            open_polls: Vec::new(),
        }
    }

    /// Takes one random step.
    pub fn step(&mut self, random: &mut fastrand::Rng) {
        self.now = self.now + ClockSpan::from_millis(random.u64(1..40));
        match random.u32(..16) {
            0 => self.change_config(random),
            1 if random.u32(..6) == 0 => self.restart(random.usize(..INSTANCES)),
            2..=5 => self.send_poll(random.usize(..INSTANCES), None),
            6 | 7 => {
                let sender = random.usize(..INSTANCES);
                // One past the last instance is the faulty one.
                let target = random.usize(..=INSTANCES);
                if target != sender {
                    self.send_poll(sender, Some(target));
                }
            }
            8..=11 => self.add_response(random),
            12..=14 => self.deliver_response(random),
            _ => {
                let lost = random.usize(..=self.open_polls.len());
                if lost < self.open_polls.len() {
                    self.open_polls.swap_remove(lost);
                }
            }
        }
    }

    fn newest_row(&self) -> StoredVersion {
        *self.stored.last().expect("a first version")
    }

    fn change_config(&mut self, random: &mut fastrand::Rng) {
        let stored = StoredVersion {
            version: self.newest_row().version + 2 * random.u64(1..4),
            readable: random.u32(..5) > 0,
            at: self.now,
        };
        self.stored.push(stored);
    }

    fn restart(&mut self, index: usize) {
        let boot = self.instances[index].boot + 1;
        self.instances[index] = InstanceState {
            boot,
            ..InstanceState::default()
        };
    }

    fn send_poll(&mut self, instance: usize, target: Option<usize>) {
        let state = &mut self.instances[instance];
        state.polled_faulty |= target == Some(INSTANCES);
        self.open_polls.push(OpenPoll {
            instance,
            boot: state.boot,
            sent_at: self.now,
            known_version: state.known_version,
            target,
            response: None,
        });
    }

    fn add_response(&mut self, random: &mut fastrand::Rng) {
        let waiting: Vec<usize> = (0..self.open_polls.len())
            .filter(|index| self.open_polls[*index].response.is_none())
            .collect();
        let Some(index) = random.choice(waiting) else {
            return;
        };
        let newest_row = self.newest_row();
        let poll = &self.open_polls[index];
        let response = match poll.target {
            None if poll.known_version == Some(newest_row.version) => Some(PollResponse::Unchanged),
            None => Some(PollResponse::Row(newest_row)),
            Some(INSTANCES) => {
                let version = (newest_row.version + random.u64(..6)) | FALSE_BIT;
                Some(PollResponse::Instance(version, ClockSpan::ZERO))
            }
            Some(target) => self.response_of(target),
        };
        self.open_polls[index].response = response;
    }

    /// The response of an instance to another one.
    fn response_of(&self, target: usize) -> Option<PollResponse> {
        let tracker = &self.instances[target].tracker;
        let version = match self.fault {
            InjectedFault::SendsUnconfirmed => tracker.version(),
            _ => tracker.confirmed_version(),
        };
        Some(PollResponse::Instance(
            version?,
            tracker.age().at(self.now)?,
        ))
    }

    fn deliver_response(&mut self, random: &mut fastrand::Rng) {
        let with_response: Vec<usize> = (0..self.open_polls.len())
            .filter(|index| self.open_polls[*index].response.is_some())
            .collect();
        let Some(index) = random.choice(with_response) else {
            return;
        };
        let poll = self.open_polls.swap_remove(index);
        if self.instances[poll.instance].boot == poll.boot {
            self.apply_response(&poll);
        }
    }

    fn apply_response(&mut self, poll: &OpenPoll) {
        let fault = self.fault;
        let now = self.now;
        let state = &mut self.instances[poll.instance];
        let sent_at = match fault {
            InjectedFault::CountsAgeFromReceipt => now,
            _ => poll.sent_at,
        };
        let tracker = &mut state.tracker;
        let apply_row = |tracker: &mut VersionTracker, row: StoredVersion, sent_at| {
            // In the simulation, rows have the version as their revision.
            tracker.store_answered(row.version, row.version, sent_at, now)
        };
        let action = match poll.response.expect("a response") {
            PollResponse::Row(row) => {
                state.known_version = state.known_version.max(Some(row.version));
                match row.readable {
                    true if fault == InjectedFault::AppliesOlder => {
                        let action = apply_row(tracker, row, sent_at);
                        if action == ConfigAction::Keep {
                            *tracker = VersionTracker::default();
                            apply_row(tracker, row, sent_at);
                        }
                        action
                    }
                    true if fault == InjectedFault::KeepsFalseVersion => {
                        // A poll sent before the version in force was
                        // applied never reverts it.
                        apply_row(tracker, row, ClockTime::default())
                    }
                    true => apply_row(tracker, row, sent_at),
                    false if fault == InjectedFault::IgnoresUnreadable => ConfigAction::Keep,
                    false => {
                        tracker.store_unreadable(row.version);
                        ConfigAction::Keep
                    }
                }
            }
            PollResponse::Unchanged => tracker.store_unchanged(sent_at, now),
            PollResponse::Instance(version, age) => {
                tracker.instance_answered(version, age, sent_at, now)
            }
        };
        self.check_response(poll, action);
    }

    /// Checks the effect of a response.
    fn check_response(&mut self, poll: &OpenPoll, action: ConfigAction) {
        let stored = &self.stored;
        let exists = |version: u64| stored.iter().any(|held| held.version == version);
        let state = &mut self.instances[poll.instance];
        let version = state.tracker.version();
        if action == ConfigAction::Revert {
            if state.highest_version.is_some_and(exists) {
                state.violation = Some("a version that the store has was rejected".into());
            }
            state.highest_version = version;
            state.applied_at = self.now;
        }
        if version < state.highest_version {
            state.violation = Some("an older version came back into force".into());
        }
        if version != state.highest_version {
            state.applied_at = self.now;
        }
        state.highest_version = version;
        if let (None, Some(PollResponse::Row(row))) = (poll.target, poll.response) {
            if row.readable && version < Some(row.version) {
                state.violation = Some("the version read from the store is not in force".into());
            }
            let sent_since = poll.sent_at > state.applied_at;
            if row.readable && sent_since && version.is_some_and(|held| !exists(held)) {
                state.violation =
                    Some("a version that the store does not have stays in force".into());
            }
        }
    }

    /// Checks the guarantees at every instance.
    pub fn check(&self) -> Result<(), String> {
        for (index, state) in self.instances.iter().enumerate() {
            let fail = |violation: &str| Err(format!("instance {index}: {violation}"));
            if let Some(violation) = &state.violation {
                return fail(violation);
            }
            let tracker = &state.tracker;
            let is_false = |version: u64| version & FALSE_BIT != 0;
            if tracker.confirmed_version().is_some_and(is_false) {
                return fail("a false version counts as read from the store");
            }
            if tracker.version().is_some_and(is_false) && !state.polled_faulty {
                return fail("a false version was passed on by a correct instance");
            }
            let (Some(version), Some(age)) =
                (tracker.confirmed_version(), tracker.age().at(self.now))
            else {
                continue;
            };
            let confirmed_at = self.now.as_millis() - age.as_millis();
            let confirmed_at = ClockTime::from_millis(confirmed_at);
            let newer = |held: &&StoredVersion| held.version > version && held.at < confirmed_at;
            if self.stored.iter().any(|held| newer(&held)) {
                return fail("the version counts as the newest at a time when it was not");
            }
        }
        Ok(())
    }
}
