//! Matches replies with the calls that wait for them.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use super::pending::QueuedCall;
use super::pending::SentCalls;
use crate::event::EventLog;
use crate::peer::error::PeerError;
use crate::peer::error::PeerFailure;
use crate::peer::wire::WireError;
use crate::peer::wire::read_answer;
use crate::peer_capnp::answer_batch;
use crate::peer_capnp::answer_sink;

/// The calls that were sent over one link, and where their replies go.
pub struct AnswerBook {
    sent: RefCell<SentCalls>,
    log: EventLog,
}

impl AnswerBook {
    /// A book without calls.
    pub fn new(log: EventLog) -> Self {
        Self {
            sent: RefCell::default(),
            log,
        }
    }

    /// The capability by which the peer delivers late replies.
    pub fn sink(self: &Rc<Self>) -> answer_sink::Client {
        let sink = AnswerSink {
            book: Rc::clone(self),
        };
        capnp_rpc::new_client(sink)
    }

    /// Calls without a reply.
    pub fn running(&self) -> usize {
        self.sent.borrow().len()
    }

    /// The number of the next call.
    pub fn next_number(&self) -> u64 {
        self.sent.borrow().next_number()
    }

    /// Notes a batch as sent, in its order.
    pub fn note_sent(&self, batch: Vec<QueuedCall>) {
        let mut sent = self.sent.borrow_mut();
        for call in batch {
            sent.push(call);
        }
    }

    /// Fails the calls that have waited for `timeout`.
    pub fn expire(&self, timeout: Duration) {
        self.sent.borrow_mut().expire(timeout);
    }

    /// Fails all calls.
    pub fn fail_all(&self, failure: &PeerFailure) {
        self.sent.borrow_mut().fail_all(failure);
    }

    /// Hands the replies of a batch to their callers.
    ///
    /// # Errors
    ///
    /// The batch is damaged as a whole; a single wrong reply fails its call.
    pub fn take(&self, batch: answer_batch::Reader<'_>) -> Result<(), WireError> {
        self.log.lamport().merge(batch.get_order());
        let mut sent = self.sent.borrow_mut();
        for answer in batch.get_answers()? {
            let reply = read_answer(answer)
                .map_err(|error| PeerError::Lost(PeerFailure::Malformed(error.to_string().into())));
            sent.finish(answer.get_call(), reply);
        }
        Ok(())
    }
}

/// Takes replies that were not ready when their batch was answered.
struct AnswerSink {
    book: Rc<AnswerBook>,
}

impl answer_sink::Server for AnswerSink {
    async fn deliver(
        self: Rc<Self>,
        params: answer_sink::DeliverParams,
        _results: answer_sink::DeliverResults,
    ) -> Result<(), capnp::Error> {
        let batch = params.get()?.get_batch()?;
        let taken = self.book.take(batch);
        taken.map_err(|error| capnp::Error::failed(error.to_string()))
    }
}
