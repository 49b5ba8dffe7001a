//! The events of a stream, and the faults that spoil them.

use std::io::Write;

use guavawell_core::id::AttemptId;

use crate::attempt::AttemptEntry;
use crate::engine::content::token_text;
use crate::fault::FaultSwitches;

/// Writes the events of one attempt.
#[derive(Debug)]
pub(super) struct FrameWriter {
    seed: u64,
    attempt: Box<str>,
    chunk_head: Box<str>,
}

/// The faults of one stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct FrameFaults {
    /// Replays a frame of this attempt first.
    pub late: Option<AttemptId>,
    /// Carries a frame of this attempt before the given sequence number.
    pub crossed: Option<(AttemptId, u64)>,
    /// Leaves out this sequence number.
    pub skipped: Option<u64>,
}

impl FrameFaults {
    /// Takes the faults that are switched on for the next streams.
    pub(super) fn take(faults: &FaultSwitches, entry: &AttemptEntry) -> Self {
        let attempt = entry.source.attempt.get();
        let middle = entry.total / 2;
        let late = faults.take_late_frame();
        let crossed = faults.take_crossed_frame();
        let skipped = faults.take_skipped_frame();
        Self {
            late: late.then(|| AttemptId::new(attempt.wrapping_sub(1))),
            crossed: crossed.then(|| (AttemptId::new(attempt.wrapping_add(1)), middle)),
            skipped: skipped.then_some(middle),
        }
    }
}

impl FrameWriter {
    /// Writes the events of `entry` itself.
    pub(super) fn own(entry: &AttemptEntry) -> Self {
        Self::new(entry.source.attempt, entry.seed, &entry.target)
    }

    /// Writes events of another attempt, whose answer differs.
    pub(super) fn foreign(attempt: AttemptId, entry: &AttemptEntry) -> Self {
        Self::new(attempt, !entry.seed, &entry.target)
    }

    fn new(attempt: AttemptId, seed: u64, model: &str) -> Self {
        let model = serde_json::to_string(model).unwrap_or_default();
        let chunk_head = format!(
            r#"{{"id":"chatcmpl-{attempt}","object":"chat.completion.chunk","model":{model},"choices":"#
        );
        Self {
            seed,
            attempt: attempt.to_string().into(),
            chunk_head: chunk_head.into(),
        }
    }

    /// The event of one token.
    pub(super) fn token(&self, target: &mut Vec<u8>, entry: &AttemptEntry, index: u64) {
        self.head(target, index);
        target.extend_from_slice(self.chunk_head.as_bytes());
        target.extend_from_slice(br#"[{"index":0,"delta":{"content":""#);
        target.extend_from_slice(&token_text(self.seed, index));
        target.extend_from_slice(br#""},"finish_reason":"#);
        target.extend_from_slice(finish_reason(entry, index));
        target.extend_from_slice(b"}]}\n\n");
    }

    /// The event of the usage.
    pub(super) fn usage(&self, target: &mut Vec<u8>, entry: &AttemptEntry, sequence: u64) {
        self.head(target, sequence);
        target.extend_from_slice(self.chunk_head.as_bytes());
        let prompt = entry.prompt_tokens;
        let completion = entry.total;
        let total = prompt + completion;
        // Writing to a vector cannot fail.
        let _ = write!(
            target,
            r#"[],"usage":{{"prompt_tokens":{prompt},"completion_tokens":{completion},"total_tokens":{total}}}}}"#
        );
        target.extend_from_slice(b"\n\n");
    }

    /// The event that ends a whole stream.
    pub(super) fn done(&self, target: &mut Vec<u8>, sequence: u64) {
        self.head(target, sequence);
        target.extend_from_slice(b"[DONE]\n\n");
    }

    fn head(&self, target: &mut Vec<u8>, sequence: u64) {
        // Writing to a vector cannot fail.
        let _ = write!(target, "id: {}:{sequence}\ndata: ", self.attempt);
    }
}

/// `length` where the limit ended the answer, `stop` where the model did.
pub(super) fn end_reason(entry: &AttemptEntry) -> &'static str {
    if entry.total == entry.max_tokens {
        "length"
    } else {
        "stop"
    }
}

fn finish_reason(entry: &AttemptEntry, index: u64) -> &'static [u8] {
    if index + 1 < entry.total {
        return b"null";
    }
    match end_reason(entry) {
        "length" => br#""length""#,
        _ => br#""stop""#,
    }
}
