//! What goes wrong in one run.

use crate::budget_fleet::ZONE_SIZE;
use crate::workload::CRASH_AT;
use crate::workload::CUT_AT;
use crate::workload::CUT_ZONE;

/// What goes wrong in one run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Scenario {
    /// Steps for which a zone is cut off from platform and other zones.
    pub cut_steps: usize,
    /// Whether one instance crashes for good.
    pub crashes: bool,
    /// Whether a whole zone crashes for good.
    pub zone_dies: bool,
}

impl Scenario {
    pub const fn is_cut(&self, zone: usize, step: usize) -> bool {
        zone == CUT_ZONE && step >= CUT_AT && step < CUT_AT + self.cut_steps
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

    pub const fn reaches_table(&self, zone: usize, step: usize) -> bool {
        !self.is_cut(zone, step) && !self.is_zone_down(zone, step)
    }
}
