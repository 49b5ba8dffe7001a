//! Trials of refused parts: when requests are let through again, and how many.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::poison::PartTrials;
use guavawell_core::poison::RequestFingerprint;
use guavawell_core::poison::TrialSettings;

const START: ClockTime = ClockTime::from_millis(1_000_000);
/// Time between two requests with the part.
const STEP: ClockSpan = ClockSpan::from_millis(100);
const PART: RequestFingerprint = RequestFingerprint::new(7);

fn span(millis: u64) -> ClockSpan {
    ClockSpan::from_millis(millis)
}

/// Sends requests for some time while each answer is good, or each one crashes its
/// server. Returns how many were let through.
fn run(trials: &mut PartTrials, from: ClockTime, time: ClockSpan, crashes: bool) -> usize {
    let mut tried = 0;
    let mut now = from;
    while now < from + time {
        now = now + STEP;
        if !trials.begin(PART, now) {
            continue;
        }
        tried += 1;
        if crashes {
            trials.crashed(PART, now);
        } else {
            trials.answered_well(PART);
        }
        trials.end(PART);
    }
    tried
}

// Guards against a part that is refused for as long as it is asked for.
#[test]
fn a_refused_part_is_tried_though_requests_with_it_never_pause() {
    let mut trials = PartTrials::default();
    let first = TrialSettings::default().first_pause;
    assert_eq!(run(&mut trials, START, first, false), 0);
    assert!(run(&mut trials, START + first, span(3_000), false) >= 20);
}

// Guards against trials that cost more crashes than the limit for a known part: three.
#[test]
fn a_part_that_crashes_each_server_costs_two_trials_in_two_minutes() {
    let mut trials = PartTrials::default();
    assert_eq!(run(&mut trials, START, span(120_000), true), 2);
    let hour = span(3_600_000);
    assert!(run(&mut trials, START + span(120_000), hour, true) <= 12);
}

#[test]
fn one_request_is_tried_at_a_time_until_answers_are_good() {
    let mut trials = PartTrials::default();
    assert!(!trials.begin(PART, START));
    let now = START + TrialSettings::default().first_pause;
    assert!(trials.begin(PART, now));
    assert!(!trials.begin(PART, now));
    // One that was neither answered nor crashed a server says nothing.
    trials.end(PART);
    assert!(trials.begin(PART, now));
    assert_eq!(trials.answered_well(PART), Some(1));
    assert!(trials.begin(PART, now));
    assert!(!trials.begin(PART, now));
    assert!(trials.crashed(PART, now));
    trials.end(PART);
    trials.end(PART);
    assert!(!trials.begin(PART, now + span(50_000)));
    assert!(trials.begin(PART, now + span(60_000)));
    assert!(!trials.begin(PART, now + span(60_000)));
}

// Guards against many requests in the first trial because of answers to earlier ones.
#[test]
fn answers_from_before_the_refusal_do_not_count() {
    let mut trials = PartTrials::default();
    assert!(!trials.begin(PART, START));
    assert_eq!(trials.answered_well(PART), None);
    let now = START + TrialSettings::default().first_pause;
    assert!(trials.begin(PART, now));
    assert!(!trials.begin(PART, now));
}

// Guards against a long pause because of requests that were sent before the refusal.
#[test]
fn crashes_before_the_first_trial_do_not_delay_it() {
    let mut trials = PartTrials::default();
    let now = START + TrialSettings::default().first_pause;
    assert!(!trials.begin(PART, START));
    assert!(!trials.crashed(PART, START + STEP));
    assert!(trials.begin(PART, now));
    // Of several reports of one crash the first one counts.
    assert!(trials.crashed(PART, now));
    assert!(!trials.crashed(PART, now + STEP));
    trials.end(PART);
    assert!(trials.begin(PART, now + span(60_000)));
}

#[test]
fn no_more_parts_are_tried_than_allowed() {
    let settings = TrialSettings {
        first_pause: ClockSpan::ZERO,
        max_parts: 2,
        ..TrialSettings::default()
    };
    let mut trials = PartTrials::new(settings);
    let parts = [1, 2, 3].map(RequestFingerprint::new);
    let begun = parts.map(|part| trials.begin(part, START));
    assert_eq!(begun, [true, true, false]);
    trials.forget(parts[0]);
    assert!(trials.begin(parts[2], START));
    // Parts without trials make room.
    trials.end(parts[1]);
    trials.end(parts[2]);
    assert!(trials.begin(parts[0], START + settings.retention));
}
