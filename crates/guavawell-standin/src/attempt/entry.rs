//! One attempt and its progress.

use std::future::poll_fn;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use futures::task::AtomicWaker;
use guavawell_core::id::AttemptId;
use http_types::Request;
use serde::Deserialize;
use serde::Serialize;

use crate::lock::lock;

/// Where an attempt stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptPhase {
    /// Waits for a slot.
    Queued,
    /// Generates tokens.
    Running,
    /// Generated its last token.
    Done,
    /// Was cancelled, perhaps before it was ever seen.
    Cancelled,
}

/// The record that a backend server gives of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// The attempt.
    pub attempt: AttemptId,
    /// Where it stands.
    pub state: AttemptPhase,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated so far.
    pub completion_tokens: u64,
}

/// Where an attempt comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AttemptSource {
    pub attempt: AttemptId,
    pub request: Option<Box<str>>,
    pub organisation: Option<Box<str>>,
}

impl AttemptSource {
    /// Reads the headers; an attempt without a readable id gets one of its own.
    pub(crate) fn from_headers(request: &Request) -> Self {
        let header = |name: &str| request.header(name).map(|value| value.as_str());
        let attempt = header("x-guavawell-attempt").and_then(|text| text.parse().ok());
        Self {
            attempt: attempt.unwrap_or_else(|| AttemptId::new(fastrand::u128(..))),
            request: header("x-guavawell-request").map(Box::from),
            organisation: header("x-guavawell-organisation").map(Box::from),
        }
    }
}

/// What a stream sees of an attempt at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptView {
    pub phase: AttemptPhase,
    pub produced: u64,
}

/// One attempt; its answer is a function of `seed`, so no text is kept.
#[derive(Debug)]
pub(crate) struct AttemptEntry {
    pub source: AttemptSource,
    /// The model, or the path of a plain service.
    pub target: Box<str>,
    pub seed: u64,
    pub prompt_tokens: u64,
    /// Tokens of the whole answer.
    pub total: u64,
    /// The caller's limit of tokens.
    pub max_tokens: u64,
    /// True if the stream ends with the usage.
    pub with_usage: bool,
    prefix_cached: AtomicBool,
    /// Wakes the task that generates the tokens.
    cancelling: AtomicWaker,
    progress: Mutex<AttemptProgress>,
}

#[derive(Debug)]
struct AttemptProgress {
    phase: AttemptPhase,
    produced: u64,
    wakers: Vec<Waker>,
}

impl AttemptEntry {
    /// An attempt that waits to be run, with an empty answer.
    pub(crate) fn new(source: AttemptSource, target: Box<str>) -> Self {
        Self {
            source,
            target,
            seed: 0,
            prompt_tokens: 0,
            total: 0,
            max_tokens: 0,
            with_usage: false,
            prefix_cached: AtomicBool::new(false),
            cancelling: AtomicWaker::new(),
            progress: Mutex::new(AttemptProgress {
                phase: AttemptPhase::Queued,
                produced: 0,
                wakers: Vec::new(),
            }),
        }
    }

    /// The mark of an attempt that was cancelled before it was seen.
    pub(crate) fn cancelled_mark(attempt: AttemptId) -> Self {
        let source = AttemptSource {
            attempt,
            request: None,
            organisation: None,
        };
        let entry = Self::new(source, Box::default());
        entry.cancel();
        entry
    }

    /// True if the prompt's prefix was cached when the attempt arrived.
    pub(crate) fn is_prefix_cached(&self) -> bool {
        self.prefix_cached.load(Ordering::Relaxed)
    }

    pub(crate) fn set_prefix_cached(&self, cached: bool) {
        self.prefix_cached.store(cached, Ordering::Relaxed);
    }

    pub(crate) fn view(&self) -> AttemptView {
        let progress = lock(&self.progress);
        AttemptView {
            phase: progress.phase,
            produced: progress.produced,
        }
    }

    pub(crate) fn record(&self) -> AttemptRecord {
        let view = self.view();
        AttemptRecord {
            attempt: self.source.attempt,
            state: view.phase,
            prompt_tokens: self.prompt_tokens,
            completion_tokens: view.produced,
        }
    }

    /// Begins to run; false if the attempt was cancelled before.
    pub(crate) fn begin(&self) -> bool {
        let mut progress = lock(&self.progress);
        let waiting = progress.phase == AttemptPhase::Queued;
        if waiting {
            progress.phase = AttemptPhase::Running;
        }
        waiting
    }

    /// Adds generated tokens; false once there is nothing more to generate.
    pub(crate) fn advance(&self, tokens: u64) -> bool {
        let mut progress = lock(&self.progress);
        if progress.phase != AttemptPhase::Running {
            return false;
        }
        progress.produced = self.total.min(progress.produced + tokens);
        if progress.produced == self.total {
            progress.phase = AttemptPhase::Done;
        }
        wake_all(&mut progress);
        progress.phase == AttemptPhase::Running
    }

    /// Cancels an attempt that is not done.
    pub(crate) fn cancel(&self) {
        let mut progress = lock(&self.progress);
        if progress.phase != AttemptPhase::Done {
            progress.phase = AttemptPhase::Cancelled;
        }
        wake_all(&mut progress);
        drop(progress);
        self.cancelling.wake();
    }

    /// Waits for progress past `produced` tokens, or for the end.
    pub(crate) fn poll_past(&self, produced: u64, context: &mut Context<'_>) -> Poll<AttemptView> {
        let mut progress = lock(&self.progress);
        let ended = matches!(progress.phase, AttemptPhase::Done | AttemptPhase::Cancelled);
        if ended || progress.produced > produced {
            return Poll::Ready(AttemptView {
                phase: progress.phase,
                produced: progress.produced,
            });
        }
        let waker = context.waker();
        if !progress.wakers.iter().any(|known| known.will_wake(waker)) {
            progress.wakers.push(waker.clone());
        }
        Poll::Pending
    }

    /// Waits for the cancellation; for the one task that generates the tokens.
    pub(crate) async fn cancelled(&self) {
        poll_fn(|context| {
            self.cancelling.register(context.waker());
            if self.view().phase == AttemptPhase::Cancelled {
                return Poll::Ready(());
            }
            Poll::Pending
        })
        .await;
    }

    /// Waits for the last token or the cancellation.
    pub(crate) async fn ended(&self) -> AttemptView {
        poll_fn(|context| self.poll_past(u64::MAX, context)).await
    }
}

fn wake_all(progress: &mut AttemptProgress) {
    for waker in progress.wakers.drain(..) {
        waker.wake();
    }
}
