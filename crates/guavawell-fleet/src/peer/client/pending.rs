//! Calls that wait for a link or for their reply.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use futures::channel::oneshot;
use guavawell_core::budget::WitnessMessage;

use super::ClientCall;
use super::PeerTarget;
use crate::peer::error::PeerError;
use crate::peer::error::PeerFailure;
use crate::peer::message::PeerReply;
use crate::peer::message::PeerRequest;
use crate::peer::wire::PIECE_BYTES;
use crate::peer::wire::WireAsk;

/// Bytes of a ledger's text that weigh as much as one call.
const BYTES_A_CALL: usize = 512;

/// A call that was not sent yet.
pub struct QueuedCall {
    call: ClientCall,
    since: Instant,
}

/// A call that was sent and has no reply yet.
struct SentCall {
    number: u64,
    since: Instant,
    reply: oneshot::Sender<Result<PeerReply, PeerError>>,
}

/// Sent calls, sorted by number, which is the order of sending.
#[derive(Default)]
pub struct SentCalls {
    calls: VecDeque<SentCall>,
    next: u64,
}

impl QueuedCall {
    /// A call that waits from now on.
    pub fn new(call: ClientCall) -> Self {
        Self {
            call,
            since: Instant::now(),
        }
    }

    /// What is asked.
    pub const fn ask(&self) -> &WireAsk {
        &self.call.ask
    }

    /// Who is asked.
    pub const fn target(&self) -> &PeerTarget {
        &self.call.target
    }

    /// Time since the call was made.
    pub fn waited(&self) -> Duration {
        self.since.elapsed()
    }

    /// Whether the caller has gone.
    pub fn is_abandoned(&self) -> bool {
        self.call.reply.is_canceled()
    }

    /// The call's share of a batch, in plain calls.
    pub fn weight(&self) -> usize {
        match &self.call.ask {
            WireAsk::Piece(_) => PIECE_BYTES / BYTES_A_CALL,
            WireAsk::Request(request) => match &**request {
                PeerRequest::Witness(WitnessMessage::Record(record)) => 1 + record.entries.len(),
                PeerRequest::Relay(ask) => 1 + ask.body.len() / BYTES_A_CALL,
                _ => 1,
            },
        }
    }

    /// Fails the call as not sent.
    pub fn fail(self, failure: PeerFailure) {
        metrics::counter!("guavawell_peer_calls_not_sent_total").increment(1);
        // The caller may have gone.
        let _ = self.call.reply.send(Err(PeerError::NotSent(failure)));
    }
}

impl SentCalls {
    /// Sent calls without a reply.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// The number that the next call gets.
    pub const fn next_number(&self) -> u64 {
        self.next
    }

    /// Notes a call as sent.
    pub fn push(&mut self, call: QueuedCall) {
        self.calls.push_back(SentCall {
            number: self.next,
            since: call.since,
            reply: call.call.reply,
        });
        self.next += 1;
    }

    /// Ends the call `number`; an unknown number has timed out before.
    pub fn finish(&mut self, number: u64, result: Result<PeerReply, PeerError>) {
        let place = self.calls.binary_search_by_key(&number, |call| call.number);
        let Ok(index) = place else {
            return;
        };
        if let Some(call) = self.calls.remove(index) {
            // The caller may have gone.
            let _ = call.reply.send(result);
        }
    }

    /// Fails the calls that have waited for `timeout`.
    pub fn expire(&mut self, timeout: Duration) {
        while let Some(call) = self.calls.front() {
            if call.since.elapsed() < timeout {
                return;
            }
            let number = call.number;
            metrics::counter!("guavawell_peer_calls_lost_total").increment(1);
            self.finish(number, Err(PeerError::Lost(PeerFailure::TimedOut)));
        }
    }

    /// Fails all calls.
    pub fn fail_all(&mut self, failure: &PeerFailure) {
        let lost = u64::try_from(self.calls.len()).unwrap_or(u64::MAX);
        metrics::counter!("guavawell_peer_calls_lost_total").increment(lost);
        for call in self.calls.drain(..) {
            // The caller may have gone.
            let _ = call.reply.send(Err(PeerError::Lost(failure.clone())));
        }
    }
}
