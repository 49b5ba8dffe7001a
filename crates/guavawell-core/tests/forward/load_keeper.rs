//! Replays the callers of one organisation who fill the link of each small instance that
//! they come to, while no instance reaches the store for some seconds.
//!
//! Guards against a load that moves on from instances with tokens to instances that can
//! get none and refuse all of it.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::KeeperSettings;
use guavawell_core::forward::KeeperView;
use guavawell_core::forward::LinkReadiness;
use guavawell_core::forward::LoadKeeper;
use guavawell_core::forward::ReadinessSettings;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::TokenCount;

/// Interval between two looks, in milliseconds.
const STEP: usize = 100;
/// Tokens that the requests of one step need.
const STEP_TOKENS: u64 = 50_000;
/// Requests in one step.
const STEP_REQUESTS: u64 = 23;
/// Tokens that an instance gets from the store for its callers.
const GRANT: u64 = 3_000_000;
/// Time after which an instance with the load has them, in milliseconds.
const GRANT_DELAY: u64 = 300;
/// Time after which the load balancer no longer uses an instance that is not ready.
const BALANCER_DELAY: u64 = 2_200;
/// Time after which it uses one that is ready again.
const RETURN_DELAY: u64 = 1_000;
/// Demand of the load in parts of a link.
const DEMAND: f64 = 1.1;

fn organisation(name: &str) -> OrganisationId {
    name.parse().expect("a valid name")
}

fn millis(count: u64) -> ClockSpan {
    ClockSpan::from_millis(count)
}

struct Instance {
    readiness: LinkReadiness,
    keeper: LoadKeeper,
    tokens: u64,
    load_since: Option<u64>,
    /// Since when the instance says whether it is ready, and what the balancer believes.
    said: (u64, bool),
    is_used: bool,
}

impl Instance {
    fn new() -> Self {
        Self {
            readiness: LinkReadiness::new(ReadinessSettings::default()),
            keeper: LoadKeeper::new(KeeperSettings::default()),
            tokens: 0,
            load_since: None,
            said: (0, true),
            is_used: true,
        }
    }

    fn see(&mut self, at: u64) {
        let (since, ready) = self.said;
        let delay = if ready { RETURN_DELAY } else { BALANCER_DELAY };
        if at >= since + delay {
            self.is_used = ready;
        }
    }

    /// One step; returns the tokens of the requests that were served.
    fn step(&mut self, has_load: bool, outage: Option<ClockSpan>, keeps: bool, at: u64) -> u64 {
        let now = ClockTime::from_millis(at);
        let mut served = 0;
        if has_load {
            let since = *self.load_since.get_or_insert(at);
            if outage.is_none() && at >= since + GRANT_DELAY {
                self.tokens = self.tokens.max(GRANT);
            }
            for _ in 0..STEP_REQUESTS {
                self.readiness.note_connection();
                let tokens = TokenCount::new(STEP_TOKENS / STEP_REQUESTS);
                self.keeper
                    .note_request(&organisation("large"), tokens, now);
            }
            served = STEP_TOKENS.min(self.tokens);
            self.tokens -= served;
        } else {
            self.load_since = None;
        }
        if keeps {
            if self.readiness.is_demand_high() {
                self.keeper.note_full(now);
            }
            let view = KeeperView {
                store_outage: outage,
                tokens: self.tokens,
                is_demand_high: self.readiness.is_demand_high(),
                is_away: self.readiness.is_away(),
            };
            let kept = self.keeper.decide(&view, now);
            self.readiness.set_load_kept(kept, now);
        }
        let demand = if has_load { DEMAND } else { 0.0 };
        self.readiness.observe(demand, true, now);
        if self.readiness.is_ready() != self.said.1 {
            self.said = (at, self.readiness.is_ready());
        }
        served
    }
}

/// Part of the load that 14 instances serve while the store is away from second 10 to 18.
/// `keeps` tells whether they keep loads.
fn served_in_outage(keeps: bool) -> f64 {
    let mut instances: Vec<Instance> = (0..14).map(|_| Instance::new()).collect();
    let (mut served, mut asked) = (0, 0);
    for at in (0..18_000).step_by(STEP) {
        let outage = (at >= 10_000).then(|| millis(at - 10_000));
        for instance in &mut instances {
            instance.see(at);
        }
        let holder = instances.iter().position(|instance| instance.is_used);
        for (index, instance) in instances.iter_mut().enumerate() {
            let tokens = instance.step(holder == Some(index), outage, keeps, at);
            if outage.is_some() {
                served += tokens;
            }
        }
        if outage.is_some() {
            asked += STEP_TOKENS;
        }
    }
    ratio(served, asked)
}

#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole as f64
}

#[test]
fn a_load_stays_where_tokens_are_while_the_store_is_away() {
    let before = served_in_outage(false);
    assert!(before < 0.35, "{before} served by a load that moves on");
    let after = served_in_outage(true);
    assert!(after > 0.75, "{after} served by a load that is kept");
}

/// An instance that had the load of `STEP_TOKENS` in each step for two seconds.
fn loaded() -> LoadKeeper {
    let mut keeper = LoadKeeper::new(KeeperSettings::default());
    for at in (0..4_000).step_by(100) {
        let now = ClockTime::from_millis(at);
        let tokens = TokenCount::new(STEP_TOKENS);
        keeper.note_request(&organisation("large"), tokens, now);
        keeper.note_full(now);
    }
    keeper
}

/// What an instance sees whose link is little used.
fn view(outage: u64, tokens: u64) -> KeeperView {
    KeeperView {
        store_outage: (outage > 0).then(|| millis(outage)),
        tokens,
        is_demand_high: false,
        is_away: true,
    }
}

#[test]
fn a_load_moves_while_the_store_answers_or_rejects_single_calls() {
    let mut keeper = loaded();
    let now = ClockTime::from_millis(4_000);
    assert!(!keeper.decide(&view(0, GRANT), now));
    assert!(!keeper.decide(&view(400, GRANT), now));
    assert!(keeper.decide(&view(500, GRANT), now));
    assert!(!keeper.decide(&view(0, GRANT), now));
}

#[test]
fn a_load_moves_on_once_the_tokens_for_it_are_spent() {
    let mut keeper = loaded();
    let now = ClockTime::from_millis(4_000);
    assert!(!keeper.decide(&view(2_000, STEP_TOKENS * 9), now));
    assert!(!keeper.decide(&view(0, STEP_TOKENS * 9), now));
    assert!(keeper.decide(&view(2_000, STEP_TOKENS * 11), now));
    assert!(keeper.decide(&view(2_000, STEP_TOKENS * 2), now));
    assert!(!keeper.decide(&view(2_000, STEP_TOKENS / 2), now));
}

#[test]
fn a_grant_that_is_at_hand_by_turns_does_not_draw_the_load() {
    let mut keeper = loaded();
    let now = ClockTime::from_millis(4_000);
    assert!(!keeper.decide(&view(100, 0), now));
    for outage in (600..7_000).step_by(1_200) {
        assert!(!keeper.decide(&view(outage, GRANT), now));
        assert!(!keeper.decide(&view(outage + 600, 0), now));
    }
    assert!(!keeper.decide(&view(0, GRANT), now));
    assert!(keeper.decide(&view(600, GRANT), now));
}

#[test]
fn a_load_moves_from_a_link_that_delays_calls_to_the_store() {
    let mut keeper = loaded();
    let now = ClockTime::from_millis(4_000);
    let full = KeeperView {
        is_demand_high: true,
        ..view(2_000, GRANT)
    };
    assert!(!keeper.decide(&full, now));
    keeper.note_connect(millis(900), now);
    assert!(!keeper.decide(&full, now));
    keeper.note_connect(millis(300), now);
    assert!(!keeper.decide(&full, ClockTime::from_millis(5_000)));
    keeper.note_connect(millis(300), ClockTime::from_millis(5_000));
    assert!(keeper.decide(&full, ClockTime::from_millis(5_100)));
    // Once it is kept, a full link changes nothing.
    assert!(keeper.decide(&full, ClockTime::from_millis(9_000)));
}

#[test]
fn the_load_is_that_of_the_organisation_that_sends_most() {
    let mut keeper = loaded();
    let now = ClockTime::from_millis(4_000);
    keeper.note_request(&organisation("small"), TokenCount::new(1_000_000), now);
    keeper.note_full(now);
    let load = keeper.load().expect("the link was full");
    assert_eq!(load.organisation, organisation("large"));
    let per_second = 500_000.0;
    assert!(
        (load.tokens_per_second / per_second - 1.0).abs() < 0.1,
        "{load:?}"
    );
}

#[test]
fn an_instance_without_requests_for_tokens_keeps_nothing() {
    let mut keeper = LoadKeeper::new(KeeperSettings::default());
    keeper.note_full(ClockTime::from_millis(1_000));
    assert_eq!(keeper.load(), None);
    assert!(!keeper.decide(&view(5_000, GRANT), ClockTime::from_millis(1_000)));
}

/// An instance whose link was full at 0 and which is not ready.
fn stepped_aside() -> LinkReadiness {
    let mut readiness = LinkReadiness::new(ReadinessSettings::default());
    for at in (0..400).step_by(100) {
        readiness.note_connection();
        readiness.observe(1.2, true, ClockTime::from_millis(at));
    }
    assert!(!readiness.is_ready());
    readiness
}

#[test]
fn an_instance_that_keeps_its_load_is_ready_and_ends_no_connections() {
    let mut readiness = stepped_aside();
    let now = ClockTime::from_millis(3_000);
    readiness.set_load_kept(true, now);
    readiness.observe(1.2, true, now);
    assert!(readiness.is_ready());
    assert!(readiness.is_full());
    assert!(!readiness.ends_kept_connections(now));
    assert_eq!(readiness.time_until_moved(now), None);
}

#[test]
fn an_instance_that_no_longer_keeps_its_load_is_not_ready_for_its_whole_time_away() {
    let mut readiness = stepped_aside();
    readiness.set_load_kept(true, ClockTime::from_millis(3_000));
    for at in (3_000..30_000).step_by(100) {
        readiness.note_connection();
        readiness.observe(1.2, true, ClockTime::from_millis(at));
        assert!(readiness.is_ready());
    }
    readiness.set_load_kept(false, ClockTime::from_millis(30_000));
    for at in (30_000..49_000).step_by(100) {
        readiness.observe(0.1, true, ClockTime::from_millis(at));
        assert!(!readiness.is_ready(), "at {at}");
    }
    readiness.observe(0.1, true, ClockTime::from_millis(90_000));
    assert!(readiness.is_ready());
}

// Guards against an instance that keeps a load of long ago, though nothing fills its link.
#[test]
fn a_load_that_no_longer_fills_the_link_is_not_kept() {
    let mut keeper = loaded();
    let quiet = KeeperView {
        is_away: false,
        ..view(2_000, GRANT)
    };
    assert!(!keeper.decide(&quiet, ClockTime::from_millis(600_000)));
}
