//! Records what concurrent threads call and hear, for the checker.

use std::sync::Mutex;

use todc_utils::Action;
use todc_utils::History;
use todc_utils::Specification;
use todc_utils::WGLChecker;

/// One call, to be answered once; the checker takes each for a process.
#[derive(Clone, Copy, Debug)]
pub struct CallNumber(usize);

/// Calls and answers in the order in which they were seen.
#[derive(Debug)]
pub struct CallRecord<T>(Mutex<RecordState<T>>);

#[derive(Debug)]
struct RecordState<T> {
    events: Vec<RecordEvent<T>>,
    /// Answers of calls whose effect may come at any later time, or never.
    open: Vec<RecordEvent<T>>,
    calls: usize,
}

#[derive(Clone, Debug)]
struct RecordEvent<T> {
    call: CallNumber,
    answer: Option<T>,
}

impl<T> Default for CallRecord<T> {
    fn default() -> Self {
        Self(Mutex::new(RecordState {
            events: Vec::new(),
            open: Vec::new(),
            calls: 0,
        }))
    }
}

impl<T: Clone> CallRecord<T> {
    /// A call begins.
    pub fn call(&self) -> CallNumber {
        let mut state = self.0.lock().unwrap();
        let call = CallNumber(state.calls);
        state.calls += 1;
        state.events.push(RecordEvent { call, answer: None });
        call
    }

    /// Calls so far.
    pub fn calls(&self) -> usize {
        self.0.lock().unwrap().calls
    }

    /// Answers of a kind so far, those without a clear one included.
    pub fn count(&self, is_kind: impl Fn(&T) -> bool) -> usize {
        let state = self.0.lock().unwrap();
        let events = state.events.iter().chain(&state.open);
        let answers = events.filter_map(|event| event.answer.as_ref());
        answers.filter(|answer| is_kind(answer)).count()
    }

    /// A call was answered, and its effect came before the answer.
    pub fn answer(&self, call: CallNumber, answer: T) {
        let answer = Some(answer);
        let mut state = self.0.lock().unwrap();
        state.events.push(RecordEvent { call, answer });
    }

    /// A call whose effect may come at any later time, or never.
    pub fn leave_open(&self, call: CallNumber, answer: T) {
        let answer = Some(answer);
        let mut state = self.0.lock().unwrap();
        state.open.push(RecordEvent { call, answer });
    }

    /// Whether some order of the calls, each between its begin and its answer,
    /// obeys the specification.
    pub fn is_linearizable<S: Specification<Operation = T>>(&self) -> bool {
        let state = self.0.lock().unwrap();
        let events = state.events.iter().chain(&state.open);
        let answers = events.clone().filter(|event| event.answer.is_some());
        let answer_of = |call: CallNumber| {
            let mut answers = answers.clone().filter(|event| event.call.0 == call.0);
            let answer = answers.next().and_then(|event| event.answer.clone());
            answer.expect("every call was answered")
        };
        let actions = events.map(|event| {
            let action = match &event.answer {
                Some(answer) => Action::Response(answer.clone()),
                None => Action::Call(answer_of(event.call)),
            };
            (event.call.0, action)
        });
        WGLChecker::<S>::is_linearizable(History::from_actions(actions.collect()))
    }
}
