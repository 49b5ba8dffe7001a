//! What the world is made of: nodes, letters, granted attempts and steps.

use std::hash::Hash;

use guavawell_core::budget::ChangeKey;
use guavawell_core::budget::GrantView;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::ReportKey;
use guavawell_core::budget::ReserveGrant;
use guavawell_core::budget::SlotHolder;
use guavawell_core::budget::SlotRow;
use guavawell_core::budget::SlotWitness;
use guavawell_core::budget::TableFailure;
use guavawell_core::budget::TableIntent;
use guavawell_core::budget::WitnessMessage;
use guavawell_core::id::SlotEpoch;
use guavawell_core::id::TokenCount;

/// How often each disturbance may happen in one run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct WorldLimits {
    pub asks: u8,
    pub ticks: u8,
    pub crashes: u8,
    pub witness_changes: u8,
    pub takeovers: u8,
    pub settles: u8,
    pub repeats: u8,
    /// Asks by a second attempt of the last request that was asked.
    pub joins: u8,
    /// The last request's first attempt asked again, of any holder.
    pub agains: u8,
    pub releases: u8,
    pub lapses: u8,
}

/// One transition of the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorldStep {
    Deliver(usize),
    Tick(usize),
    Ask(usize),
    Repeat(usize),
    Join(usize),
    Again(usize),
    Settle(usize),
    /// A granted attempt, given back to an instance.
    Release(usize, usize),
    TakeOver(usize),
    ChangeWitness(usize, usize),
    Crash(usize),
    Lapse(usize),
}

/// Something on its way: to an instance, or from it to the table.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Letter {
    pub node: usize,
    pub life: InstanceIncarnation,
    pub body: LetterBody,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LetterBody {
    Witness(WitnessMessage),
    Intent(SlotEpoch, TableIntent),
    Slot(SlotRow),
    Grant(ChangeKey, Result<GrantView, TableFailure>),
    Report(ReportKey, Result<(), TableFailure>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    pub life: InstanceIncarnation,
    pub holders: Vec<SlotHolder>,
    pub witness: SlotWitness,
    /// The witness as it was before a takeover; used by planted faults.
    pub shadow: Option<SlotWitness>,
}

/// How far a release has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ReleaseState {
    #[default]
    Unasked,
    /// Asked at least once: the attempt does not run.
    Asked,
    Answered,
}

/// An attempt that was granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GrantedAttempt {
    pub request: usize,
    pub attempt: u8,
    pub node: usize,
    pub grant: ReserveGrant,
    pub charged: Option<TokenCount>,
    pub release: ReleaseState,
}

/// What asks that were not granted heard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HeardAnswers {
    /// Witnessed attempts that others were told to join.
    pub joined: Vec<(usize, u8)>,
    /// Attempts whose own ask was refused, so that they never ran.
    pub refused: Vec<(usize, u8)>,
    /// Asks, each with an attempt whose release was answered before it began.
    pub late: Vec<((usize, u8), (usize, u8))>,
    /// One of these was told to join that attempt.
    pub is_joined_late: bool,
}

impl HeardAnswers {
    pub fn join(&mut self, attempt: (usize, u8)) {
        note(&mut self.joined, attempt);
    }

    pub fn begin_late(&mut self, asker: (usize, u8), released: (usize, u8)) {
        note(&mut self.late, (asker, released));
    }

    pub fn refuse(&mut self, attempt: (usize, u8)) {
        note(&mut self.refused, attempt);
    }
}

fn note<T: Ord>(heard: &mut Vec<T>, news: T) {
    if let Err(place) = heard.binary_search(&news) {
        heard.insert(place, news);
    }
}
