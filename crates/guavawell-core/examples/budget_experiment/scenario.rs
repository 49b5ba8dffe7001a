//! What goes wrong in one run, and how the fleet is laid out.

use guavawell_core::clock::ClockSpan;

use crate::budget_fleet::ZONE_SIZE;
use crate::workload::CRASH_AT;
use crate::workload::CUT_AT;
use crate::workload::STEP_MILLIS;
use crate::workload::STEPS;

/// A zone cut off from the platform and from the other zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneCut {
    pub zone: usize,
    pub from: usize,
    pub steps: usize,
}

impl ZoneCut {
    pub const fn holds(&self, step: usize) -> bool {
        step >= self.from && step < self.from + self.steps
    }
}

/// What goes wrong in one run, and how the fleet is laid out.
#[derive(Clone, Debug, PartialEq, Eq)]
#[expect(clippy::struct_excessive_bools, reason = "each is a fault of its own")]
pub struct Scenario {
    /// Availability zones.
    pub zones: usize,
    /// Whether most requests go to the first zone and few to the last.
    pub skewed: bool,
    /// Slots in each zone.
    pub shards: usize,
    pub cuts: Vec<ZoneCut>,
    /// Whether one instance crashes for good.
    pub crashes: bool,
    /// Whether a whole zone crashes for good.
    pub zone_dies: bool,
    /// Whether each small budget is topped up while a zone is cut off.
    pub tops_up: bool,
    /// How long the table takes to answer.
    pub table_lag: ClockSpan,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            zones: 3,
            skewed: false,
            shards: 1,
            cuts: Vec::new(),
            crashes: false,
            zone_dies: false,
            tops_up: false,
            table_lag: ClockSpan::from_millis(0),
        }
    }
}

impl Scenario {
    /// Cuts the last zone off for this many seconds.
    pub fn cut(mut self, seconds: u64) -> Self {
        let steps = usize::try_from(seconds * 1_000 / STEP_MILLIS).unwrap_or(STEPS);
        if steps > 0 {
            self.cuts.push(ZoneCut {
                zone: self.zones - 1,
                from: CUT_AT,
                steps,
            });
        }
        self
    }

    /// Cuts the zone before the last off, a minute after the first cut.
    pub fn cut_again(mut self, seconds: u64) -> Self {
        let former = self.cuts.last().map_or(CUT_AT, |cut| cut.from + cut.steps);
        let steps = usize::try_from(seconds * 1_000 / STEP_MILLIS).unwrap_or(STEPS);
        self.cuts.push(ZoneCut {
            zone: self.zones - 2,
            from: former + 300,
            steps,
        });
        self
    }

    pub fn is_cut(&self, zone: usize, step: usize) -> bool {
        self.cuts
            .iter()
            .any(|cut| cut.zone == zone && cut.holds(step))
    }

    /// The cut that holds now.
    pub fn cut_now(&self, step: usize) -> Option<&ZoneCut> {
        self.cuts.iter().find(|cut| cut.holds(step))
    }

    /// Parts in a hundred of all requests that a zone gets.
    pub const fn zone_weight(&self, zone: usize) -> u64 {
        match (self.skewed, zone) {
            (true, 0) => 6,
            (true, 1) => 3,
            _ => 1,
        }
    }

    /// Instances that crash at [`CRASH_AT`].
    pub fn crashed(&self) -> Vec<usize> {
        if self.zone_dies {
            (0..ZONE_SIZE).collect()
        } else if self.crashes {
            vec![0]
        } else {
            Vec::new()
        }
    }

    pub fn is_down(&self, instance: usize, step: usize) -> bool {
        step >= CRASH_AT && self.crashed().contains(&instance)
    }

    pub const fn is_zone_down(&self, zone: usize, step: usize) -> bool {
        self.zone_dies && zone == 0 && step >= CRASH_AT
    }

    pub fn reaches_table(&self, zone: usize, step: usize) -> bool {
        !self.is_cut(zone, step) && !self.is_zone_down(zone, step)
    }
}
