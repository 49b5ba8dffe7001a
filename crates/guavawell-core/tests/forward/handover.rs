//! Walks through all orders of events of a late attempt and a second one beside it.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::AttemptEnd;
use guavawell_core::forward::AttemptSide;
use guavawell_core::forward::ChoiceError;
use guavawell_core::forward::HandoverEvent;
use guavawell_core::forward::HandoverStep;
use guavawell_core::forward::LatenessFloor;
use guavawell_core::forward::OpenAttempts;
use guavawell_core::forward::RepeatView;
use guavawell_core::forward::RetryDenial;
use guavawell_core::forward::RetrySafety;
use guavawell_core::forward::RouteEntry;
use guavawell_core::forward::ServerTable;
use guavawell_core::forward::check_repeat;

use crate::support::choose_beside;
use crate::support::entry;
use crate::support::server;

/// Events of one walk.
const MAX_EVENTS: usize = 7;
/// Times after which attempts count as late if their route says nothing.
const FLOOR: LatenessFloor = LatenessFloor {
    plain: ClockSpan::from_millis(250),
    stream: ClockSpan::from_millis(1_200),
};

type ApplyEvent = fn(&mut OpenAttempts, HandoverEvent) -> HandoverStep;

/// The attempts that are open in fact.
#[derive(Clone, Copy, Default)]
struct OpenSides {
    first_ended: bool,
    second_open: bool,
}

impl OpenSides {
    fn is_open(self, side: AttemptSide) -> bool {
        match side {
            AttemptSide::First => !self.first_ended,
            AttemptSide::Second => self.second_open,
        }
    }

    /// The events that can happen.
    fn events(self) -> Vec<HandoverEvent> {
        let sides = [AttemptSide::First, AttemptSide::Second];
        let ends = [AttemptEnd::Lost, AttemptEnd::Rejected, AttemptEnd::Silent];
        let mut events = vec![HandoverEvent::Late];
        for side in sides.into_iter().filter(|side| self.is_open(*side)) {
            events.push(HandoverEvent::Brought(side));
            events.extend(ends.map(|end| HandoverEvent::Ended(side, end)));
        }
        events
    }

    fn end(&mut self, side: AttemptSide) {
        match side {
            AttemptSide::First => self.first_ended = true,
            AttemptSide::Second => self.second_open = false,
        }
    }
}

/// Goes through all orders of events from here. Returns the first fault.
fn walk(
    attempts: OpenAttempts,
    sides: OpenSides,
    left: usize,
    apply: ApplyEvent,
) -> Option<String> {
    if left == 0 {
        return None;
    }
    sides.events().into_iter().find_map(|event| {
        let (mut attempts, mut sides) = (attempts, sides);
        if let HandoverEvent::Ended(side, _) = event {
            sides.end(side);
        }
        let any_open = !sides.first_ended || sides.second_open;
        let step = apply(&mut attempts, event);
        let fault = |what: &str| Some(format!("{what} at {event:?}"));
        match step {
            HandoverStep::End(_) if any_open => fault("an open attempt is given up"),
            HandoverStep::Continue(side) if !sides.is_open(side) => fault("a closed one goes on"),
            HandoverStep::Continue(side) if event != HandoverEvent::Brought(side) => {
                fault("one goes on that brought nothing")
            }
            HandoverStep::End(_) | HandoverStep::Continue(_) => None,
            HandoverStep::SendSecond if sides.second_open => fault("three are open"),
            HandoverStep::SendSecond if sides.first_ended => fault("a late one had ended"),
            HandoverStep::SendSecond => {
                sides.second_open = true;
                walk(attempts, sides, left - 1, apply)
            }
            HandoverStep::Wait if !any_open => fault("nothing is waited for"),
            HandoverStep::Wait if matches!(event, HandoverEvent::Brought(_)) => {
                fault("what was brought is dropped")
            }
            HandoverStep::Wait => walk(attempts, sides, left - 1, apply),
        }
    })
}

fn walk_all(apply: ApplyEvent) -> Option<String> {
    walk(
        OpenAttempts::default(),
        OpenSides::default(),
        MAX_EVENTS,
        apply,
    )
}

#[test]
fn no_order_of_events_ends_a_request_that_an_open_attempt_could_serve() {
    assert_eq!(walk_all(OpenAttempts::apply), None);
}

#[test]
fn the_walk_finds_attempts_that_are_given_up_early() {
    let gives_up_when_late: ApplyEvent = |attempts, event| match event {
        HandoverEvent::Late => HandoverStep::End(AttemptEnd::Silent),
        _ => attempts.apply(event),
    };
    let ends_with_the_second: ApplyEvent = |attempts, event| match event {
        HandoverEvent::Ended(AttemptSide::Second, end) => HandoverStep::End(end),
        _ => attempts.apply(event),
    };
    let ends_with_the_first: ApplyEvent = |attempts, event| match event {
        HandoverEvent::Ended(AttemptSide::First, end) => HandoverStep::End(end),
        _ => attempts.apply(event),
    };
    let sends_a_third: ApplyEvent = |attempts, event| match event {
        HandoverEvent::Late => HandoverStep::SendSecond,
        _ => attempts.apply(event),
    };
    let waits_for_nothing: ApplyEvent = |attempts, event| match attempts.apply(event) {
        HandoverStep::End(_) => HandoverStep::Wait,
        step => step,
    };
    let faults = [
        gives_up_when_late,
        ends_with_the_second,
        ends_with_the_first,
        sends_a_third,
        waits_for_nothing,
    ];
    for (number, apply) in faults.into_iter().enumerate() {
        assert!(walk_all(apply).is_some(), "planted fault {number}");
    }
}

fn route(streaming: bool, target: u64, pause: Option<u64>) -> RouteEntry {
    RouteEntry {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        shares: Box::default(),
        retry_safety: RetrySafety::Idempotent,
        streaming,
        time_limit: ClockSpan::from_millis(6_000),
        target: ClockSpan::from_millis(target),
        pause_target: pause.map(ClockSpan::from_millis),
        attempts: 2,
        priority: 0,
        public: false,
        homes: Box::default(),
    }
}

#[test]
fn an_attempt_is_late_by_what_its_callers_accept() {
    let left = ClockSpan::from_millis(6_000);
    let late = |route: &RouteEntry, begun| route.late_after(begun, left, FLOOR).as_millis();
    assert_eq!(late(&route(false, 400, None), false), 600);
    assert_eq!(late(&route(false, 100, None), false), 250);
    assert_eq!(late(&route(true, 400, Some(300)), true), 1_200);
    assert_eq!(late(&route(true, 2_000, Some(300)), false), 2_000);
    assert_eq!(late(&route(true, 400, None), true), 1_200);
}

// Guards against requests that are late only when nothing is left of their time.
#[test]
fn an_attempt_is_late_while_another_server_still_has_time() {
    let left = ClockSpan::from_millis(600);
    let late = route(false, 400, None).late_after(false, left, FLOOR);
    assert_eq!(late.as_millis(), 300);
}

#[test]
fn a_request_is_repeated_within_its_limits_only() {
    let view = RepeatView {
        retry_safety: RetrySafety::Idempotent,
        has_not_run: false,
        sent: 1,
        attempts: 2,
        left: ClockSpan::from_millis(1_000),
        is_suspect: false,
    };
    let once = RepeatView {
        retry_safety: RetrySafety::Once,
        ..view
    };
    let denials = [
        (view, Ok(())),
        (once, Err(RetryDenial::Once)),
        (
            RepeatView {
                has_not_run: true,
                ..once
            },
            Ok(()),
        ),
        (RepeatView { sent: 2, ..view }, Err(RetryDenial::Attempts)),
        (
            RepeatView {
                left: ClockSpan::from_millis(14),
                ..view
            },
            Err(RetryDenial::Time),
        ),
        (
            RepeatView {
                is_suspect: true,
                ..view
            },
            Err(RetryDenial::Suspicion),
        ),
    ];
    for (view, expected) in denials {
        assert_eq!(check_repeat(&view), expected, "{view:?}");
    }
}

/// A table with one server that has sent nothing since the returned time, and one that
/// last sent something at `heard_ms`; both run requests.
fn table_with_busy(heard_ms: u64) -> (ServerTable, ClockTime) {
    let quiet_since = ClockTime::from_millis(1_000);
    let mut table = ServerTable::default();
    for (number, heard_ms) in [(0, 1_000), (1, heard_ms)] {
        let mut entry = entry(server(number));
        entry.begin(quiet_since, 0, 0);
        entry.record_received(ClockTime::from_millis(heard_ms));
        table.upsert(entry);
    }
    (table, quiet_since)
}

// Guards against streams of silent servers that are all sent to other silent ones.
#[test]
fn a_late_request_goes_over_only_to_a_server_that_is_heard() {
    let now = ClockTime::from_millis(2_300);
    let (silent, quiet_since) = table_with_busy(900);
    let chosen = choose_beside(&silent, quiet_since, now);
    assert_eq!(chosen.unwrap_err(), ChoiceError::Unknown);
    let (heard, quiet_since) = table_with_busy(2_200);
    let pick = choose_beside(&heard, quiet_since, now).expect("a server");
    assert_eq!(pick.server, server(1));
}

// Guards against a server that gets all requests of those that fell silent at once.
#[test]
fn a_server_takes_over_one_late_request_at_a_time() {
    let now = ClockTime::from_millis(2_300);
    let (mut table, quiet_since) = table_with_busy(2_200);
    let entry = table.get_mut(&server(1)).expect("an entry");
    entry.load.taken_over = 1;
    let chosen = choose_beside(&table, quiet_since, now);
    assert_eq!(chosen.unwrap_err(), ChoiceError::Unknown);
}
