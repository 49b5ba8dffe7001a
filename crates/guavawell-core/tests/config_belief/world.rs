//! A store, three instances that follow it and each other, and one more that
//! tells false versions.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ConfigAction;
use guavawell_core::forward::VersionTracker;

/// Instances that keep to the rules.
const INSTANCES: usize = 3;
/// A version that the store never holds is odd.
const FALSE_BIT: u64 = 1;

/// A fault in the rules, which the walks must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    None,
    /// An answer counts from when it was read.
    CountsFromReading,
    /// What another instance told is told on.
    HandsOnHearsay,
    /// A late answer takes an older version back into force.
    TakesOlder,
    /// A row that cannot be read is passed over.
    PassesOverUnreadable,
    /// What the store does not have stays in force.
    KeepsFalseVersion,
}

/// One version of the store's row.
#[derive(Clone, Copy)]
struct StoredVersion {
    version: u64,
    readable: bool,
    at: ClockTime,
}

/// What an answer tells.
#[derive(Clone, Copy)]
enum ToldAnswer {
    /// The store's newest version, and whether it can be read.
    Row(StoredVersion),
    /// Nothing has changed since the version that the asker knew.
    Unchanged,
    /// Another instance's version and its age.
    Instance(u64, ClockSpan),
}

/// A question on its way, or its answer.
struct OpenQuestion {
    instance: usize,
    life: u32,
    asked: ClockTime,
    /// The store's version that the asker knew.
    since: Option<u64>,
    /// Whom it asks: an instance, or the store.
    whom: Option<usize>,
    answer: Option<ToldAnswer>,
}

/// One instance.
#[derive(Default)]
struct Follower {
    belief: VersionTracker,
    life: u32,
    /// The last version that the store told this life, readable or not.
    since: Option<u64>,
    /// The highest version in force in this life, unless it was disowned.
    highest: Option<u64>,
    /// When the version in force was taken.
    taken_at: ClockTime,
    /// Whether this life asked the instance that tells false versions.
    was_misled: bool,
    broken: Option<String>,
}

/// All of it.
pub struct World {
    plant: Plant,
    now: ClockTime,
    stored: Vec<StoredVersion>,
    followers: Vec<Follower>,
    open: Vec<OpenQuestion>,
}

impl World {
    pub fn new(plant: Plant) -> Self {
        let first = StoredVersion {
            version: 2,
            readable: true,
            at: ClockTime::from_millis(1_000),
        };
        Self {
            plant,
            now: first.at,
            stored: vec![first],
            followers: (0..INSTANCES).map(|_| Follower::default()).collect(),
            open: Vec::new(),
        }
    }

    /// Takes one step at random.
    pub fn step(&mut self, random: &mut fastrand::Rng) {
        self.now = self.now + ClockSpan::from_millis(random.u64(1..40));
        match random.u32(..16) {
            0 => self.change(random),
            1 if random.u32(..6) == 0 => self.restart(random.usize(..INSTANCES)),
            2..=5 => self.ask(random.usize(..INSTANCES), None),
            6 | 7 => {
                let asker = random.usize(..INSTANCES);
                // The one after the last tells false versions.
                let whom = random.usize(..=INSTANCES);
                if whom != asker {
                    self.ask(asker, Some(whom));
                }
            }
            8..=11 => self.answer(random),
            12..=14 => self.deliver(random),
            _ => {
                let lost = random.usize(..=self.open.len());
                if lost < self.open.len() {
                    self.open.swap_remove(lost);
                }
            }
        }
    }

    fn newest(&self) -> StoredVersion {
        *self.stored.last().expect("a first version")
    }

    fn change(&mut self, random: &mut fastrand::Rng) {
        let stored = StoredVersion {
            version: self.newest().version + 2 * random.u64(1..4),
            readable: random.u32(..5) > 0,
            at: self.now,
        };
        self.stored.push(stored);
    }

    fn restart(&mut self, place: usize) {
        let life = self.followers[place].life + 1;
        self.followers[place] = Follower {
            life,
            ..Follower::default()
        };
    }

    fn ask(&mut self, instance: usize, whom: Option<usize>) {
        let follower = &mut self.followers[instance];
        follower.was_misled |= whom == Some(INSTANCES);
        self.open.push(OpenQuestion {
            instance,
            life: follower.life,
            asked: self.now,
            since: follower.since,
            whom,
            answer: None,
        });
    }

    fn answer(&mut self, random: &mut fastrand::Rng) {
        let waiting: Vec<usize> = (0..self.open.len())
            .filter(|place| self.open[*place].answer.is_none())
            .collect();
        let Some(place) = random.choice(waiting) else {
            return;
        };
        let newest = self.newest();
        let question = &self.open[place];
        let answer = match question.whom {
            None if question.since == Some(newest.version) => Some(ToldAnswer::Unchanged),
            None => Some(ToldAnswer::Row(newest)),
            Some(INSTANCES) => {
                let version = (newest.version + random.u64(..6)) | FALSE_BIT;
                Some(ToldAnswer::Instance(version, ClockSpan::ZERO))
            }
            Some(whom) => self.tell(whom),
        };
        self.open[place].answer = answer;
    }

    /// What an instance tells another one.
    fn tell(&self, whom: usize) -> Option<ToldAnswer> {
        let belief = &self.followers[whom].belief;
        let version = match self.plant {
            Plant::HandsOnHearsay => belief.version(),
            _ => belief.confirmed_version(),
        };
        Some(ToldAnswer::Instance(version?, belief.age().at(self.now)?))
    }

    fn deliver(&mut self, random: &mut fastrand::Rng) {
        let answered: Vec<usize> = (0..self.open.len())
            .filter(|place| self.open[*place].answer.is_some())
            .collect();
        let Some(place) = random.choice(answered) else {
            return;
        };
        let question = self.open.swap_remove(place);
        if self.followers[question.instance].life == question.life {
            self.take(&question);
        }
    }

    fn take(&mut self, question: &OpenQuestion) {
        let plant = self.plant;
        let now = self.now;
        let follower = &mut self.followers[question.instance];
        let asked = match plant {
            Plant::CountsFromReading => now,
            _ => question.asked,
        };
        let belief = &mut follower.belief;
        let tell = |belief: &mut VersionTracker, row: StoredVersion, asked| {
            // Versions rise with the rows that hold them.
            belief.store_answered(row.version, row.version, asked, now)
        };
        let step = match question.answer.expect("an answer") {
            ToldAnswer::Row(row) => {
                follower.since = follower.since.max(Some(row.version));
                match row.readable {
                    true if plant == Plant::TakesOlder => {
                        let step = tell(belief, row, asked);
                        if step == ConfigAction::Keep {
                            *belief = VersionTracker::default();
                            tell(belief, row, asked);
                        }
                        step
                    }
                    true if plant == Plant::KeepsFalseVersion => {
                        // Without the time at which it was asked nothing is disowned.
                        tell(belief, row, ClockTime::default())
                    }
                    true => tell(belief, row, asked),
                    false if plant == Plant::PassesOverUnreadable => ConfigAction::Keep,
                    false => {
                        belief.store_unreadable(row.version);
                        ConfigAction::Keep
                    }
                }
            }
            ToldAnswer::Unchanged => belief.store_unchanged(asked, now),
            ToldAnswer::Instance(version, age) => {
                belief.instance_answered(version, age, asked, now)
            }
        };
        self.judge(question, step);
    }

    /// Looks at what an answer did.
    fn judge(&mut self, question: &OpenQuestion, step: ConfigAction) {
        let stored = &self.stored;
        let exists = |version: u64| stored.iter().any(|held| held.version == version);
        let follower = &mut self.followers[question.instance];
        let version = follower.belief.version();
        if step == ConfigAction::Revert {
            if follower.highest.is_some_and(exists) {
                follower.broken = Some("a version that the store has was disowned".into());
            }
            follower.highest = version;
            follower.taken_at = self.now;
        }
        if version < follower.highest {
            follower.broken = Some("an older version came back into force".into());
        }
        if version != follower.highest {
            follower.taken_at = self.now;
        }
        follower.highest = version;
        if let (None, Some(ToldAnswer::Row(row))) = (question.whom, question.answer) {
            if row.readable && version < Some(row.version) {
                follower.broken = Some("what the store told is not in force".into());
            }
            let asked_since = question.asked > follower.taken_at;
            if row.readable && asked_since && version.is_some_and(|held| !exists(held)) {
                follower.broken = Some("what the store does not have stays in force".into());
            }
        }
    }

    /// The promises, of every instance.
    pub fn check(&self) -> Result<(), String> {
        for (place, follower) in self.followers.iter().enumerate() {
            let told = |broken: &str| Err(format!("instance {place}: {broken}"));
            if let Some(broken) = &follower.broken {
                return told(broken);
            }
            let belief = &follower.belief;
            let is_false = |version: u64| version & FALSE_BIT != 0;
            if belief.confirmed_version().is_some_and(is_false) {
                return told("a false version counts as the store's");
            }
            if belief.version().is_some_and(is_false) && !follower.was_misled {
                return told("a false version came on from an instance that heard it");
            }
            let (Some(version), Some(age)) =
                (belief.confirmed_version(), belief.age().at(self.now))
            else {
                continue;
            };
            let checked = self.now.as_millis() - age.as_millis();
            let checked = ClockTime::from_millis(checked);
            let newer = |held: &&StoredVersion| held.version > version && held.at < checked;
            if self.stored.iter().any(|held| newer(&held)) {
                return told("it counts as the newest at a time at which it was not");
            }
        }
        Ok(())
    }
}
