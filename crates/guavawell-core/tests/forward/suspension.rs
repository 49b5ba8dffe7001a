//! Suspended processes and busy ones, as the clock and the system show them.
//!
//! Guards against requests that are sent by what was read before a suspension, and
//! against requests that all wait for the store while the processor is full.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ProcessorTime;
use guavawell_core::forward::SuspensionWatch;
use guavawell_core::forward::ZoneDoubt;

use crate::support::START;

/// Interval of observations while nothing is late, in milliseconds.
const INTERVAL_MS: u64 = 20;

/// A process with a thread that is observed.
#[derive(Default)]
struct ModelProcess {
    watch: SuspensionWatch,
    passed: u64,
    used: u64,
    waited: u64,
}

impl ModelProcess {
    /// A process that was observed once.
    fn start() -> Self {
        let mut process = Self::default();
        assert_eq!(process.observe(), None);
        process
    }

    /// Lets the thread sleep, run and wait for a processor, in milliseconds.
    fn pass(&mut self, [idle, used, waited]: [u64; 3]) -> &mut Self {
        self.passed += idle + used + waited;
        self.used += used;
        self.waited += waited;
        self
    }

    fn now(&self) -> ClockTime {
        START + ClockSpan::from_millis(self.passed)
    }

    fn observe(&mut self) -> Option<u64> {
        let time = ProcessorTime {
            used: ClockSpan::from_millis(self.used),
            waited: ClockSpan::from_millis(self.waited),
        };
        let idle = self.watch.observe(self.now(), time);
        idle.map(ClockSpan::as_millis)
    }
}

#[test]
fn a_suspended_process_notices_it_though_it_was_idle_or_busy_before() {
    for busy in [[0, 0, 0], [0, 150, 0], [0, 5, 900]] {
        let mut process = ModelProcess::start();
        process.pass([INTERVAL_MS, 1, 2]).observe();
        process.pass(busy).pass([500, 0, 0]).pass([0, 1, 30]);
        assert!(process.watch.is_late(process.now()));
        assert_eq!(process.observe(), Some(500), "{busy:?}");
        assert_eq!(process.pass([INTERVAL_MS, 1, 0]).observe(), None);
    }
}

// Guards against requests that all wait for the store because timers are late.
#[test]
fn a_full_processor_is_no_suspension() {
    // The share of the processor that the thread gets, in percent.
    for share in [1, 12, 50, 100] {
        let mut process = ModelProcess::start();
        for length in [100, 400, 900, 5_000, 60_000] {
            let used = length * share / 100;
            process.pass([INTERVAL_MS, used, length - used]);
            assert_eq!(process.observe(), None, "{share}% for {length} ms");
        }
    }
}

// An instance whose limit of processor time is kept by suspending it.
#[test]
fn short_suspensions_do_not_add_up() {
    let mut process = ModelProcess::start();
    for _ in 0..100 {
        process.pass([90, 10, 0]);
        assert!(!process.watch.is_late(process.now()));
        assert_eq!(process.observe(), None);
    }
}

#[test]
fn a_process_that_is_observed_for_the_first_time_was_not_suspended() {
    let mut process = ModelProcess::default();
    process.pass([10_000, 0, 0]);
    assert!(!process.watch.is_late(process.now()));
    assert_eq!(process.observe(), None);
}

fn at(millis: u64) -> ClockTime {
    START + ClockSpan::from_millis(millis)
}

// Guards against a response from before a suspension that is read after it.
#[test]
fn only_a_response_to_a_later_query_ends_a_doubt() {
    let mut doubt = ZoneDoubt::default();
    assert_eq!(doubt.since(at(0)), None);
    assert!(!doubt.confirm(at(0)));
    doubt.begin(at(500));
    assert!(!doubt.confirm(at(499)));
    assert_eq!(doubt.since(at(520)), Some(at(500)));
    assert!(doubt.confirm(at(500)));
    assert_eq!(doubt.since(at(520)), None);
}

// Guards against requests that wait for a store that does not respond.
#[test]
fn a_doubt_ends_without_a_response() {
    let mut doubt = ZoneDoubt::default();
    doubt.begin(at(500));
    assert_eq!(doubt.left(at(600)), ClockSpan::from_millis(150));
    assert_eq!(doubt.left(at(750)), ClockSpan::ZERO);
    assert_eq!(doubt.since(at(750)), None);
}
