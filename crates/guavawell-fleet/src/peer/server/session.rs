//! One peer's session: its greeting, and the batches that it asks.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use guavawell_core::budget::InstanceIncarnation;

use super::PeerCall;
use super::PeerServerSettings;
use crate::peer::message::PeerRefusal;
use crate::peer::message::PeerReply;
use crate::peer::message::PeerRequest;
use crate::peer::transport::TaskSpawner;
use crate::peer::wire::PieceAssembly;
use crate::peer::wire::WireAsk;
use crate::peer::wire::WireError;
use crate::peer::wire::read_ask;
use crate::peer::wire::read_life;
use crate::peer::wire::write_answer;
use crate::peer::wire::write_life;
use crate::peer_capnp::answer_batch;
use crate::peer_capnp::answer_sink;
use crate::peer_capnp::ask;
use crate::peer_capnp::peer;
use crate::peer_capnp::peer_session;
use crate::platform::CarriedAnswer;
use crate::tls::PeerProof;

/// Deliveries under way at once; replies beyond them gather for the next one.
const DELIVERIES_UNDER_WAY: u32 = 4;

/// Most replies of one delivery.
const DELIVERY_REPLIES: usize = 512;

/// Bytes of a carried answer that weigh as much as one reply.
const BYTES_A_REPLY: usize = 512;

/// What the sessions of a thread share.
pub struct SessionContext<H> {
    pub settings: PeerServerSettings,
    pub spawner: TaskSpawner,
    pub handler: H,
}

/// What a connection offers first: it lets proven peers in.
pub struct PeerGate<H> {
    context: Rc<SessionContext<H>>,
    proof: PeerProof,
    greeted: Cell<bool>,
}

impl<H> PeerGate<H> {
    /// The gate of a connection whose other side gave `proof`.
    pub const fn new(context: Rc<SessionContext<H>>, proof: PeerProof) -> Self {
        Self {
            context,
            proof,
            greeted: Cell::new(false),
        }
    }

    /// Whether the peer was let in.
    pub const fn is_greeted(&self) -> bool {
        self.greeted.get()
    }

    fn admit(&self, life: &InstanceIncarnation) -> Result<(), capnp::Error> {
        if self.greeted.replace(true) {
            return Err(capnp::Error::failed("greeted before".to_owned()));
        }
        if self.proof.proves(life.instance.as_str()) {
            return Ok(());
        }
        self.greeted.set(false);
        metrics::counter!("guavawell_peer_impostors_total").increment(1);
        let instance = &life.instance;
        let message = format!("the certificate does not name `{instance}`");
        Err(capnp::Error::failed(message))
    }
}

impl<H, F> peer::Server for PeerGate<H>
where
    H: Fn(PeerCall) -> F + 'static,
    F: Future<Output = PeerReply> + 'static,
{
    async fn greet(
        self: Rc<Self>,
        params: peer::GreetParams,
        mut results: peer::GreetResults,
    ) -> Result<(), capnp::Error> {
        let settings = &self.context.settings;
        let lamport = settings.log.lamport();
        let params = params.get()?;
        let greeting = params.get_greeting()?;
        let from = read_life(greeting.get_life()?).map_err(failed)?;
        self.admit(&from)?;
        lamport.merge(greeting.get_order());
        let session = PeerSession {
            context: Rc::clone(&self.context),
            from,
            assembly: RefCell::default(),
            running: Cell::new(0),
            outbox: Rc::new(AnswerOutbox::new(params.get_sink()?)),
        };
        let mut greeting = results.get().init_greeting();
        write_life(greeting.reborrow().init_life(), &settings.life);
        greeting.set_order(lamport.raise());
        results.get().set_session(capnp_rpc::new_client(session));
        Ok(())
    }
}

fn failed(error: WireError) -> capnp::Error {
    match error {
        WireError::Damaged(error) => error,
        other => capnp::Error::failed(other.to_string()),
    }
}

/// A peer that was let in.
struct PeerSession<H> {
    context: Rc<SessionContext<H>>,
    from: InstanceIncarnation,
    assembly: RefCell<PieceAssembly>,
    running: Cell<u32>,
    outbox: Rc<AnswerOutbox>,
}

/// The reply to a numbered call.
struct NumberedReply {
    call: u64,
    reply: PeerReply,
}

impl<H, F> PeerSession<H>
where
    H: Fn(PeerCall) -> F + 'static,
    F: Future<Output = PeerReply> + 'static,
{
    /// Begins to answer an ask.
    fn answer(self: Rc<Self>, reader: ask::Reader<'_>) -> RunningAnswer<F> {
        let call = reader.get_call();
        let answer = match self.begin(reader) {
            Ok(future) => AnswerState::Running(Box::pin(future)),
            Err(reply) => AnswerState::Known(Some(reply)),
        };
        RunningAnswer { call, answer }
    }

    /// The handler's future, or the reply if the handler has no say.
    fn begin(&self, reader: ask::Reader<'_>) -> Result<F, PeerReply> {
        let ask = read_ask(reader).map_err(|error| PeerReply::Refused(refusal_of(&error)))?;
        let request = self.whole_request(ask)?;
        let limit = self.context.settings.peers.max_calls;
        if self.running.get() >= limit {
            return Err(PeerReply::Refused(PeerRefusal::Overloaded));
        }
        let call = PeerCall {
            from: self.from.clone(),
            request,
        };
        Ok((self.context.handler)(call))
    }

    /// The request of an ask; pieces are gathered until the last.
    fn whole_request(&self, ask: WireAsk) -> Result<PeerRequest, PeerReply> {
        let piece = match ask {
            WireAsk::Request(request) => return Ok(*request),
            WireAsk::Piece(piece) => *piece,
        };
        match self.assembly.borrow_mut().push(piece) {
            Ok(Some(handover)) => Ok(PeerRequest::handover(handover)),
            Ok(None) => Err(PeerReply::Accepted),
            Err(error) => Err(PeerReply::Refused(refusal_of(&error))),
        }
    }

    /// Delivers the replies that were not ready at once.
    fn deliver_later(self: Rc<Self>, mut running: FuturesUnordered<RunningAnswer<F>>) {
        let count = u32::try_from(running.len()).unwrap_or(u32::MAX);
        self.running.set(self.running.get().saturating_add(count));
        let context = Rc::clone(&self.context);
        let deliver = async move {
            while let Some(reply) = running.next().await {
                self.running.set(self.running.get().saturating_sub(1));
                self.outbox.push(reply);
                self.outbox.send(&self.context);
            }
        };
        context.spawner.spawn(deliver);
    }
}

const fn refusal_of(error: &WireError) -> PeerRefusal {
    match error {
        WireError::Unknown(_) => PeerRefusal::Unsupported,
        WireError::Damaged(_) | WireError::WrongValue(_) => PeerRefusal::Malformed,
    }
}

/// An ask that is being answered.
struct RunningAnswer<F> {
    call: u64,
    answer: AnswerState<F>,
}

enum AnswerState<F> {
    Running(Pin<Box<F>>),
    Known(Option<PeerReply>),
}

impl<F: Future<Output = PeerReply>> Future for RunningAnswer<F> {
    type Output = NumberedReply;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<NumberedReply> {
        let call = self.call;
        let polled = match &mut self.answer {
            AnswerState::Running(future) => future.as_mut().poll(context),
            AnswerState::Known(reply) => match reply.take() {
                Some(reply) => Poll::Ready(reply),
                None => Poll::Pending,
            },
        };
        polled.map(|reply| NumberedReply { call, reply })
    }
}

/// Takes the replies that are ready now.
async fn take_ready<F: Future<Output = PeerReply>>(
    running: &mut FuturesUnordered<RunningAnswer<F>>,
) -> Vec<NumberedReply> {
    let mut ready = Vec::with_capacity(running.len());
    poll_fn(|context| {
        while let Poll::Ready(Some(reply)) = running.poll_next_unpin(context) {
            ready.push(reply);
        }
        Poll::Ready(())
    })
    .await;
    ready
}

fn write_replies(mut batch: answer_batch::Builder<'_>, order: u64, replies: &[NumberedReply]) {
    batch.set_order(order);
    let count = u32::try_from(replies.len()).unwrap_or(u32::MAX);
    let mut answers = batch.init_answers(count);
    for (index, numbered) in (0..count).zip(replies) {
        let mut answer = answers.reborrow().get(index);
        answer.set_call(numbered.call);
        write_answer(answer, &numbered.reply);
    }
}

impl<H, F> peer_session::Server for PeerSession<H>
where
    H: Fn(PeerCall) -> F + 'static,
    F: Future<Output = PeerReply> + 'static,
{
    async fn ask(
        self: Rc<Self>,
        params: peer_session::AskParams,
        mut results: peer_session::AskResults,
    ) -> Result<(), capnp::Error> {
        let session = Rc::clone(&self);
        let lamport = session.context.settings.log.lamport();
        let batch = params.get()?.get_batch()?;
        lamport.merge(batch.get_order());
        let asks = batch.get_asks()?.iter();
        let mut running: FuturesUnordered<RunningAnswer<F>> =
            asks.map(|ask| Rc::clone(&self).answer(ask)).collect();
        drop(params);
        let ready = take_ready(&mut running).await;
        if !running.is_empty() {
            Rc::clone(&self).deliver_later(running);
        }
        write_replies(results.get().init_batch(), lamport.raise(), &ready);
        Ok(())
    }

    async fn probe(
        self: Rc<Self>,
        params: peer_session::ProbeParams,
        mut results: peer_session::ProbeResults,
    ) -> Result<(), capnp::Error> {
        let lamport = self.context.settings.log.lamport();
        lamport.merge(params.get()?.get_order());
        results.get().set_order(lamport.raise());
        Ok(())
    }
}

/// Replies on their way to the peer's sink.
struct AnswerOutbox {
    sink: answer_sink::Client,
    waiting: RefCell<Vec<NumberedReply>>,
    deliveries: Cell<u32>,
}

impl AnswerOutbox {
    const fn new(sink: answer_sink::Client) -> Self {
        Self {
            sink,
            waiting: RefCell::new(Vec::new()),
            deliveries: Cell::new(0),
        }
    }

    fn push(&self, reply: NumberedReply) {
        self.waiting.borrow_mut().push(reply);
    }

    /// Delivers what waits, as far as deliveries may be under way.
    fn send<H: 'static>(self: &Rc<Self>, context: &Rc<SessionContext<H>>) {
        while self.deliveries.get() < DELIVERIES_UNDER_WAY {
            let replies = self.next_delivery();
            if replies.is_empty() {
                return;
            }
            let mut request = self.sink.deliver_request();
            let order = context.settings.log.lamport().raise();
            write_replies(request.get().init_batch(), order, &replies);
            self.deliveries.set(self.deliveries.get() + 1);
            let response = request.send().promise;
            let outbox = Rc::clone(self);
            let finish_context = Rc::clone(context);
            let finish = async move {
                // A failed delivery means that the connection broke; the
                // caller sees that by itself.
                let _ = response.await;
                outbox.deliveries.set(outbox.deliveries.get() - 1);
                outbox.send(&finish_context);
            };
            context.spawner.spawn(finish);
        }
    }

    fn next_delivery(&self) -> Vec<NumberedReply> {
        let mut waiting = self.waiting.borrow_mut();
        let mut weight = 0;
        let fits = |numbered: &&NumberedReply| {
            weight += reply_weight(&numbered.reply);
            weight <= DELIVERY_REPLIES
        };
        let count = waiting.iter().take_while(fits).count();
        let count = count.max(1).min(waiting.len());
        waiting.drain(..count).collect()
    }
}

/// A reply's share of a delivery, in plain replies.
fn reply_weight(reply: &PeerReply) -> usize {
    match reply {
        PeerReply::Relay(CarriedAnswer::Answered { body, .. }) => 1 + body.len() / BYTES_A_REPLY,
        _ => 1,
    }
}
