//! Slow callers, in a model: servers that cut off what stays unread, callers that take a
//! little a second, and the memory between them.
//!
//! Guards against answers that are lost because they are read from a server only as fast
//! as their caller takes them, and against the opposite: an instance whose memory slow
//! callers fill up.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::AdmissionSettings;
use guavawell_core::forward::MemoryUse;
use guavawell_core::forward::ReadAheadSettings;
use guavawell_core::forward::ResponseEnd;
use guavawell_core::forward::WaitingResponse;
use guavawell_core::forward::admit;
use guavawell_core::forward::admits_connection;
use guavawell_core::forward::paused_responses_to_end;

use crate::support::START;

/// Memory for requests and responses of an instance that has 88 MB.
const MEMORY: usize = 88 * 1024 * 1024 / 5;
/// Length of a step.
const STEP: ClockSpan = ClockSpan::from_millis(100);
/// What is read of a response in a step.
const READ_BYTES: usize = 8_192;
/// What a slow caller takes in a step: a kilobyte a second.
const SLOW_BYTES: usize = 100;
/// For how long a response may stay unread before its server cuts it off.
const UNREAD_LIMIT: ClockSpan = ClockSpan::from_millis(2_000);

/// A response in the model.
#[derive(Clone, Copy)]
struct ModelResponse {
    /// Bytes that were not read from the server yet.
    unread: usize,
    /// What the caller takes in a step.
    speed: usize,
    /// When something was last read from the server.
    read_at: ClockTime,
    waiting: WaitingResponse,
    end: Option<ModelEnd>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ModelEnd {
    Complete,
    /// The server cut it off.
    Cut,
    Given(ResponseEnd),
}

struct Model {
    settings: ReadAheadSettings,
    responses: Vec<ModelResponse>,
    /// Bytes of request bodies.
    bodies: usize,
    now: ClockTime,
    most_held: usize,
}

impl Model {
    fn new(settings: ReadAheadSettings) -> Self {
        Self {
            settings,
            responses: Vec::new(),
            bodies: 0,
            now: START,
            most_held: 0,
        }
    }

    fn add(&mut self, count: usize, bytes: usize, speed: usize) {
        let response = ModelResponse {
            unread: bytes,
            speed,
            read_at: self.now,
            waiting: WaitingResponse {
                held: 0,
                taken_at: self.now,
            },
            end: None,
        };
        self.responses.extend(vec![response; count]);
    }

    fn memory(&self) -> MemoryUse {
        let running = self.responses.iter().filter(|other| other.end.is_none());
        let responses: usize = running.map(|response| response.waiting.held).sum();
        MemoryUse {
            limit: MEMORY,
            held: responses + self.bodies,
        }
    }

    /// Runs one step. Returns whether each fast response was read in it.
    fn step(&mut self) -> bool {
        self.now = self.now + STEP;
        let mut fast_went_on = true;
        for place in 0..self.responses.len() {
            if self.responses[place].end.is_some() {
                continue;
            }
            let memory = self.memory();
            let response = &mut self.responses[place];
            let is_fast = response.speed >= READ_BYTES;
            if response.unread > 0 {
                if self.settings.may_read(memory, response.waiting.held) {
                    let read = response.unread.min(READ_BYTES);
                    response.unread -= read;
                    if response.waiting.held == 0 {
                        response.waiting.taken_at = self.now;
                    }
                    response.waiting.held += read;
                    response.read_at = self.now;
                } else {
                    fast_went_on &= !is_fast;
                }
            }
            let taken = response.waiting.held.min(response.speed);
            response.waiting.held -= taken;
            if taken > 0 {
                response.waiting.taken_at = self.now;
            }
            if response.unread == 0 && response.waiting.held == 0 {
                response.end = Some(ModelEnd::Complete);
            } else if response.unread > 0 && self.now.since(response.read_at) >= UNREAD_LIMIT {
                response.end = Some(ModelEnd::Cut);
            }
        }
        self.end_responses();
        self.most_held = self.most_held.max(self.memory().held);
        fast_went_on
    }

    fn end_responses(&mut self) {
        let running =
            |response: &&mut ModelResponse| response.end.is_none() && response.waiting.held > 0;
        let memory = self.memory();
        let mut running: Vec<_> = self.responses.iter_mut().filter(running).collect();
        let waiting: Vec<_> = running.iter().map(|response| response.waiting).collect();
        for (place, end) in paused_responses_to_end(&self.settings, memory, &waiting, self.now) {
            running[place].end = Some(ModelEnd::Given(end));
        }
    }

    fn count(&self, end: ModelEnd) -> usize {
        let ends = self.responses.iter().map(|response| response.end);
        ends.filter(|other| *other == Some(end)).count()
    }
}

/// Settings under which nothing is read ahead: a response is read as its caller takes it.
fn off() -> ReadAheadSettings {
    ReadAheadSettings {
        response_bytes: 0,
        ..ReadAheadSettings::default()
    }
}

/// Streams of 24 kB: 300 for slow callers, and 100 new ones for fast callers each second.
/// Returns the model, and whether the fast ones were never held up.
fn run_slow_beside_fast(settings: ReadAheadSettings) -> (Model, bool) {
    let mut model = Model::new(settings);
    model.add(300, 24_000, SLOW_BYTES);
    let mut went_on = true;
    for step in 0..300 {
        if step % 10 == 0 && step < 250 {
            model.add(100, 24_000, READ_BYTES);
        }
        went_on &= model.step();
    }
    (model, went_on)
}

#[test]
fn slow_callers_get_whole_responses_beside_fast_ones() {
    let (model, fast_went_on) = run_slow_beside_fast(ReadAheadSettings::default());
    assert!(fast_went_on);
    assert_eq!(model.count(ModelEnd::Cut), 0);
    assert_eq!(model.count(ModelEnd::Complete), model.responses.len());
    assert!(admits_connection(&admission(), 400, model.most_held));
}

// What is read only as its caller takes it is lost, though it was ready.
#[test]
fn without_reading_ahead_slow_callers_lose_their_responses() {
    let (model, fast_went_on) = run_slow_beside_fast(off());
    assert!(fast_went_on);
    assert_eq!(model.count(ModelEnd::Cut), 300);
    assert_eq!(model.most_held, 300 * READ_BYTES - 300 * SLOW_BYTES);
}

fn admission() -> AdmissionSettings {
    AdmissionSettings {
        body_bytes: MEMORY,
        ..AdmissionSettings::default()
    }
}

// More than fits: what is held stays within its part, and requests are still admitted.
#[test]
fn responses_that_do_not_fit_leave_room_for_requests() {
    let mut model = Model::new(ReadAheadSettings::default());
    model.add(1_000, 200_000, SLOW_BYTES);
    let mut fast_went_on = true;
    for step in 0..100 {
        if step % 10 == 0 {
            model.add(100, 20_000, READ_BYTES);
        }
        fast_went_on &= model.step();
        let held = model.memory().held;
        let time_left = ClockSpan::from_millis(1_000);
        assert_eq!(admit(&admission(), 1_100, held, time_left), Ok(()));
        assert!(admits_connection(&admission(), 1_100, held));
    }
    assert!(fast_went_on);
    assert_eq!(model.count(ModelEnd::Complete), 1_000);
    assert_eq!(model.count(ModelEnd::Given(ResponseEnd::NoMemory)), 0);
}

#[test]
fn a_caller_that_takes_nothing_is_given_up_alone() {
    let mut model = Model::new(ReadAheadSettings::default());
    model.add(1, 24_000, 0);
    model.add(50, 24_000, SLOW_BYTES);
    for _ in 0..100 {
        model.step();
    }
    assert_eq!(model.responses[0].end, None, "it may take nothing for 10 s");
    model.step();
    let given = ModelEnd::Given(ResponseEnd::NotTaken);
    assert_eq!(model.responses[0].end, Some(given));
    for _ in 0..199 {
        model.step();
    }
    assert_eq!(model.count(given), 1);
    assert_eq!(model.count(ModelEnd::Complete), 50);
}

// Request bodies fill the memory. Callers that take something keep their responses.
#[test]
fn while_memory_is_short_the_largest_and_longest_pause_is_ended_first() {
    let mut model = Model::new(ReadAheadSettings::default());
    model.add(1, 30_000, 0);
    model.add(1, 60_000, 0);
    model.add(200, 24_000, SLOW_BYTES);
    for _ in 0..35 {
        model.step();
    }
    assert!(
        model
            .responses
            .iter()
            .all(|response| response.end.is_none())
    );
    // Just short: one of the two is enough.
    let short = MEMORY * 90 / 100;
    model.bodies = short + 20_000 - model.memory().held;
    model.step();
    let given = Some(ModelEnd::Given(ResponseEnd::NoMemory));
    assert_eq!(model.responses[1].end, given, "it holds most");
    assert_eq!(model.responses[0].end, None);
    model.bodies = MEMORY;
    model.step();
    assert_eq!(model.responses[0].end, given);
    for _ in 0..10 {
        model.step();
    }
    assert_eq!(model.count(ModelEnd::Given(ResponseEnd::NoMemory)), 2);
}

// A caller that reads slowly seems to take nothing until its kernel has room for a packet.
#[test]
fn a_caller_may_take_nothing_for_ten_seconds_while_memory_is_not_short() {
    let settings = ReadAheadSettings::default();
    let memory = MemoryUse {
        limit: MEMORY,
        held: MEMORY / 2,
    };
    let response = WaitingResponse {
        held: 24_000,
        taken_at: START,
    };
    let ends = |millis| {
        let now = START + ClockSpan::from_millis(millis);
        paused_responses_to_end(&settings, memory, &[response], now)
    };
    for millis in [300, 2_500, 6_000, 9_999] {
        assert_eq!(ends(millis), vec![], "{millis}");
    }
    assert_eq!(ends(10_000), vec![(0, ResponseEnd::NotTaken)]);
}
