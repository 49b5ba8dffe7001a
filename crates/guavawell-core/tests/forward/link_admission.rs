//! Replays of callers that send more than the link of one instance carries, without a
//! network: 400 requests a second on a link that carries about 250.
//!
//! Guards against a link that fills: what is answered then falls far below what the link
//! carries, as all requests are late.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::LinkAdmission;
use guavawell_core::forward::LinkRequest;
use guavawell_core::forward::LinkSettings;
use guavawell_core::forward::RouteCosts;

/// Rate of the link, in bytes per second.
const RATE: f64 = 1_250_000.0;
/// Bytes of a usual request.
const BODY: u64 = 800;
/// Bytes of a response; a request and its response are 5,000.
const RESPONSE: u64 = 4_200;
/// How long the load lasts, in milliseconds.
const LENGTH: u64 = 20_000;
/// Time for which a response lasts, in milliseconds.
const STREAM: u64 = 1_000;

/// A kind of request.
struct Kind {
    route: &'static str,
    organisation: &'static str,
    priority: u8,
    bytes: u64,
    /// Of 100 requests.
    share: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    offered: u64,
    accepted: u64,
    longest_refused: u64,
    refused_in_row: u64,
}

impl Counts {
    fn share(&self) -> f64 {
        ratio(self.accepted, self.offered)
    }
}

#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole as f64
}

/// What a replay brought.
struct Outcome {
    counts: Vec<Counts>,
    /// Bytes of accepted requests with their responses, in one direction.
    carried: u64,
    /// Most bytes that waited on the link, in milliseconds of its rate.
    queue_ms: f64,
    retries: Vec<ClockSpan>,
}

fn link() -> LinkAdmission {
    let rate = "10".parse().expect("a valid rate");
    LinkAdmission::new(LinkSettings::default(), rate)
}

/// Offers `per_second` requests in a second. The body goes out at once, the response over
/// [`STREAM`].
fn replay(kinds: &[Kind], per_second: u64) -> Outcome {
    let mut link = link();
    let mut outcome = Outcome {
        counts: vec![Counts::default(); kinds.len()],
        carried: 0,
        queue_ms: 0.0,
        retries: Vec::new(),
    };
    let mut running: Vec<(u64, usize, f64)> = Vec::new();
    let mut queue = 0.0;
    let mut random = fastrand::Rng::with_seed(7);
    let mut due = 0;
    for millis in 0..LENGTH {
        let now = ClockTime::from_millis(millis);
        let (ended, rest): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|(end, ..)| *end <= millis);
        running = rest;
        for (_, kind, expected) in ended {
            link.settle(kinds[kind].route, expected, RESPONSE, true);
        }
        due += per_second;
        while due >= 1_000 {
            due -= 1_000;
            let mut draw = random.u64(..100);
            let kind = kinds
                .iter()
                .position(|kind| {
                    let is_drawn = draw < kind.share;
                    draw = draw.saturating_sub(kind.share);
                    is_drawn
                })
                .expect("shares add up to 100");
            let request = LinkRequest {
                route: kinds[kind].route,
                organisation: kinds[kind].organisation,
                priority: kinds[kind].priority,
                bytes: kinds[kind].bytes,
            };
            let counts = &mut outcome.counts[kind];
            counts.offered += 1;
            match link.admit(&request, random.f64(), now) {
                Ok(expected) => {
                    counts.accepted += 1;
                    counts.refused_in_row = 0;
                    outcome.carried += kinds[kind].bytes + RESPONSE;
                    queue += bytes(kinds[kind].bytes);
                    running.push((millis + STREAM, kind, expected));
                }
                Err(span) => {
                    counts.refused_in_row += 1;
                    counts.longest_refused = counts.longest_refused.max(counts.refused_in_row);
                    outcome.retries.push(span);
                }
            }
        }
        queue += ratio(RESPONSE, STREAM) * ratio(u64::try_from(running.len()).unwrap_or(0), 1);
        queue = (queue - RATE / 1_000.0).max(0.0);
        outcome.queue_ms = outcome.queue_ms.max(queue / (RATE / 1_000.0));
    }
    outcome
}

#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn bytes(count: u64) -> f64 {
    count as f64
}

fn usual(route: &'static str, priority: u8, share: u64) -> Kind {
    Kind {
        route,
        organisation: "large",
        priority,
        bytes: BODY,
        share,
    }
}

#[test]
fn a_link_carries_nearly_as_much_as_it_can_under_more_than_it_can() {
    let outcome = replay(&[usual("one", 1, 100)], 400);
    // The bodies of refused requests arrive as well, and take their part of the link.
    let seconds = ratio(LENGTH, 1_000);
    let possible = (RATE - 400.0 * bytes(BODY)) * seconds / bytes(RESPONSE);
    let goodput = bytes(outcome.counts[0].accepted) / possible;
    assert!(goodput >= 0.9, "goodput {goodput}");
    assert!(goodput <= 1.0, "outstanding {goodput} of the link");
    assert!(
        outcome.queue_ms < 500.0,
        "{} ms waited on the link",
        outcome.queue_ms
    );
}

#[test]
fn a_burst_into_an_idle_link_does_not_overshoot() {
    let mut link = link();
    let now = ClockTime::from_millis(1_000);
    let request = LinkRequest {
        route: "one",
        organisation: "large",
        priority: 0,
        bytes: BODY,
    };
    let accepted = (0..1_000).filter(|_| link.admit(&request, 0.0, now).is_ok());
    let accepted = u64::try_from(accepted.count()).expect("a small count");
    let outstanding = bytes(accepted * BODY) / (RATE / 1_000.0);
    assert!(outstanding <= 650.0, "{outstanding} ms of bodies alone");
    assert!(accepted >= 100, "only {accepted} accepted");
}

#[test]
fn urgent_requests_go_first_and_no_route_or_small_organisation_starves() {
    let kinds = [
        usual("urgent", 0, 40),
        usual("usual", 1, 30),
        usual("patient", 2, 20),
        Kind {
            organisation: "small",
            ..usual("patient", 2, 2)
        },
        Kind {
            bytes: 8_000,
            ..usual("long", 2, 8)
        },
    ];
    let outcome = replay(&kinds, 300);
    let [urgent, usual, patient, small, long] = &outcome.counts[..] else {
        panic!("five kinds");
    };
    assert!(urgent.share() >= 0.98, "urgent {}", urgent.share());
    assert!(urgent.share() >= usual.share() && usual.share() >= patient.share());
    assert!(small.share() >= 0.3, "small organisation {}", small.share());
    assert!(patient.share() > 0.05, "patient {}", patient.share());
    assert!(long.share() > 0.05, "long {}", long.share());
    assert!(long.longest_refused <= 60, "{}", long.longest_refused);
}

#[test]
fn nothing_is_refused_below_what_the_link_carries() {
    let outcome = replay(&[usual("one", 3, 100)], 200);
    assert_eq!(outcome.retries.len(), 0);
}

#[test]
fn refused_callers_come_back_spread_over_time() {
    let outcome = replay(&[usual("one", 1, 100)], 400);
    let shortest = outcome.retries.iter().min().expect("some are refused");
    let longest = outcome.retries.iter().max().expect("some are refused");
    assert!(shortest.as_millis() > 0);
    assert!(
        longest.as_millis() >= shortest.as_millis() + 900,
        "{shortest:?} to {longest:?}"
    );
}

#[test]
fn refused_requests_alone_do_not_keep_a_link_closed() {
    let mut link = link();
    let request = LinkRequest {
        route: "one",
        organisation: "large",
        priority: 3,
        bytes: 72_000,
    };
    for millis in 0..5_000 {
        let _ = link.admit(&request, 0.0, ClockTime::from_millis(millis));
    }
    let later = ClockTime::from_millis(6_500);
    let small = LinkRequest {
        bytes: BODY,
        ..request
    };
    assert!(link.admit(&small, 0.0, later).is_ok());
}

#[test]
fn names_of_the_past_make_room_for_present_ones() {
    let mut link = link();
    let mut refuse = |route: &str, millis| {
        let request = LinkRequest {
            route,
            organisation: "large",
            priority: 3,
            bytes: 72_000,
        };
        let now = ClockTime::from_millis(millis);
        link.admit(&request, 0.0, now).is_err()
    };
    while !refuse("first", 1_000) {}
    for index in 0..300 {
        refuse(&format!("past-{index}"), 1_000);
    }
    let refused = (0..100).take_while(|_| refuse("present", 1_001)).count();
    assert!(refused <= 8, "{refused} refusals of a route in a row");
}

#[test]
fn costs_of_routes_that_are_gone_are_forgotten() {
    let mut costs = RouteCosts::default();
    costs.learn("gone", 50_000);
    let unknown = costs.response("unknown");
    for index in 0..2_000 {
        costs.learn(&format!("route-{index}"), 100);
    }
    costs.learn("route-1999", 100);
    assert!((costs.response("gone") - unknown).abs() < f64::EPSILON);
    assert!((costs.response("route-1999") - 100.0).abs() < f64::EPSILON);
}

#[test]
fn settings_without_ranks_treat_all_alike() {
    let settings = LinkSettings {
        ranks: 0,
        ..LinkSettings::default()
    };
    let mut link = LinkAdmission::new(settings, "10".parse().expect("a valid rate"));
    let request = LinkRequest {
        route: "one",
        organisation: "large",
        priority: 3,
        bytes: BODY,
    };
    assert!(link.admit(&request, 0.0, ClockTime::from_millis(1)).is_ok());
}
