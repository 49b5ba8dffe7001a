//! Callers that take a little of their responses for ever.
//!
//! Guards against memory that such callers keep for as long as they like, while new
//! requests are refused for want of it.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::MemoryUse;
use guavawell_core::forward::ReadAheadSettings;
use guavawell_core::forward::ResponseEnd;
use guavawell_core::forward::TakingPace;
use guavawell_core::forward::WaitingResponse;
use guavawell_core::forward::responses_to_end;

use crate::support::START;

/// Memory for requests and responses, in bytes.
const MEMORY: usize = 1_000_000;
/// Time between two reviews.
const STEP: ClockSpan = ClockSpan::from_millis(500);
/// What a caller takes a second that takes a little for ever, in bytes.
const LITTLE: usize = 300;
/// What a caller takes a second that is slow, in bytes.
const ENOUGH: usize = 1_000;

struct Caller {
    /// Bytes that it takes a second.
    speed: usize,
    waiting: WaitingResponse,
    pace: TakingPace,
    end: Option<ResponseEnd>,
}

/// Callers whose responses wait, and what else is held.
struct Model {
    callers: Vec<Caller>,
    others: usize,
    now: ClockTime,
}

impl Model {
    fn new(callers: &[(usize, usize)], others: usize) -> Self {
        let callers = callers.iter().map(|(held, speed)| Caller {
            speed: *speed,
            waiting: WaitingResponse {
                held: *held,
                taken_at: START,
            },
            pace: TakingPace::new(START),
            end: None,
        });
        Self {
            callers: callers.collect(),
            others,
            now: START,
        }
    }

    fn memory(&self) -> MemoryUse {
        let running = self.callers.iter().filter(|caller| caller.end.is_none());
        MemoryUse {
            limit: MEMORY,
            held: self.others + running.map(|caller| caller.waiting.held).sum::<usize>(),
        }
    }

    /// Runs for a span, in seconds: callers take what they do, and responses are reviewed.
    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 2 {
            self.now = self.now + STEP;
            for caller in &mut self.callers {
                let taken = (caller.speed / 2).min(caller.waiting.held);
                caller.waiting.held -= taken;
                caller.pace.note_taken(taken as u64);
                if taken > 0 {
                    caller.waiting.taken_at = self.now;
                }
            }
            self.review();
        }
    }

    fn review(&mut self) {
        let (memory, now) = (self.memory(), self.now);
        let settings = ReadAheadSettings::default();
        let running = |caller: &&mut Caller| caller.end.is_none();
        let mut running: Vec<_> = self.callers.iter_mut().filter(running).collect();
        let waiting: Vec<_> = running.iter().map(|caller| caller.waiting).collect();
        let slow = running.iter_mut();
        let slow: Vec<_> = slow
            .map(|caller| caller.pace.review(&settings, now))
            .collect();
        for (place, end) in responses_to_end(&settings, memory, &waiting, &slow, now) {
            running[place].end = Some(end);
        }
    }

    fn ends(&self) -> Vec<Option<ResponseEnd>> {
        self.callers.iter().map(|caller| caller.end).collect()
    }
}

// Guards against a caller that keeps its memory for ever because it takes a little.
#[test]
fn a_caller_that_takes_too_little_for_long_is_ended_while_memory_is_short() {
    let mut model = Model::new(&[(100_000, LITTLE), (100_000, ENOUGH)], 800_000);
    model.run(19);
    assert_eq!(model.ends(), [None, None], "it is not yet known");
    model.run(1);
    assert_eq!(model.ends(), [Some(ResponseEnd::TooSlow), None]);
}

// Guards against a slow caller that loses its response although there is room for it.
#[test]
fn a_caller_that_takes_a_little_keeps_its_response_while_memory_is_not_short() {
    let mut model = Model::new(&[(100_000, LITTLE)], 700_000);
    model.run(300);
    assert_eq!(model.ends(), [None]);
    model.others = 900_000;
    model.run(1);
    assert_eq!(model.ends(), [Some(ResponseEnd::TooSlow)]);
}

// Guards against one that takes a packet now and then outliving one that only pauses, and
// against more ends than the memory needs.
#[test]
fn callers_that_take_too_little_are_ended_before_those_that_pause() {
    let callers = [(50_000, LITTLE), (100_000, LITTLE), (200_000, ENOUGH)];
    let mut model = Model::new(&callers, 500_000);
    model.run(20);
    model.callers[2].speed = 0;
    model.run(4);
    assert_eq!(model.ends(), [None, None, None]);
    model.others = 620_000;
    model.run(1);
    let slow = Some(ResponseEnd::TooSlow);
    assert_eq!(model.ends(), [None, slow, None], "one is enough");
    model.others = 900_000;
    model.run(1);
    assert_eq!(model.ends(), [slow, slow, Some(ResponseEnd::NoMemory)]);
}

// Guards against a caller that is held to what it took once, although it takes more now.
#[test]
fn a_caller_that_makes_up_for_it_is_not_slow_any_more() {
    let mut model = Model::new(&[(200_000, LITTLE)], 100_000);
    model.run(25);
    model.callers[0].speed = 5_000;
    model.run(3);
    model.others = 900_000;
    model.run(10);
    assert_eq!(model.ends(), [None]);
}
