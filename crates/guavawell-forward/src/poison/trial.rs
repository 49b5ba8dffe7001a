//! Tries requests with refused parts at the first judge of each part.

use std::rc::Rc;

use guavawell_core::grant::spread_over_zones;
use guavawell_core::poison::RequestFingerprint;
use guavawell_fleet::event::EventDraft;

use super::parts::PartCrash;
use crate::router::ForwardRouter;

/// A request that is let through although a part of its prompt is refused, until it is
/// dropped.
#[derive(Debug)]
pub(crate) struct TrialPermit {
    router: Rc<ForwardRouter>,
    part: RequestFingerprint,
}

impl TrialPermit {
    /// A permit for a request with a refused part; `None` if it must not be sent now. Only
    /// one instance of the fleet tries a part.
    pub(crate) fn take(router: &Rc<ForwardRouter>, part: RequestFingerprint) -> Option<Self> {
        if !is_first_judge(router, part) {
            return None;
        }
        let now = router.clock.now();
        if !router.parts.trials.borrow_mut().begin(part, now) {
            return None;
        }
        note_trial(router, part, "begun");
        Some(Self {
            router: Rc::clone(router),
            part,
        })
    }

    /// The part.
    pub(crate) const fn part(&self) -> RequestFingerprint {
        self.part
    }
}

impl Drop for TrialPermit {
    fn drop(&mut self) {
        self.router.parts.trials.borrow_mut().end(self.part);
    }
}

fn is_first_judge(router: &ForwardRouter, part: RequestFingerprint) -> bool {
    let members = router.peers.members();
    let order = spread_over_zones(&members, part.short());
    order.first().copied() == Some(&router.settings.instance)
}

/// Counts an answer that goes on well, and clears its parts that were answered well often
/// enough.
pub(super) fn note_good_trials(router: &ForwardRouter, parts: &[RequestFingerprint]) {
    let now = router.clock.now();
    for part in parts {
        let Some(good) = router.parts.trials.borrow_mut().answered_well(*part) else {
            continue;
        };
        if good < router.parts.table.borrow().clearing_answers(*part, now) {
            continue;
        }
        note_trial(router, *part, "cleared");
        router.parts.table.borrow_mut().acquit(*part);
        router.parts.trials.borrow_mut().forget(*part);
        router.poison.clear_part(*part);
    }
}

/// Ends the trials of a part for a time after a server crashed under it, and tells all
/// instances that it is still refused.
pub(super) fn note_crashed_trial(router: &ForwardRouter, crash: &PartCrash) {
    let now = router.clock.now();
    let is_refused = router.poison.refused_for(crash.part).is_some();
    if is_refused && router.parts.trials.borrow_mut().crashed(crash.part, now) {
        note_trial(router, crash.part, "crashed");
        router.poison.convict_part(crash.part, crash.organisation);
    }
}

fn note_trial(router: &ForwardRouter, part: RequestFingerprint, step: &'static str) {
    metrics::counter!("guavawell_forward_part_trials_total", "step" => step).increment(1);
    let draft = EventDraft::new("poison.part_tried")
        .field("part", part)
        .field("step", step);
    router.log.emit(draft);
}
