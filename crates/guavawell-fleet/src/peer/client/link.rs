//! An established connection: sends batches, takes replies, notices silence.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use guavawell_core::budget::InstanceIncarnation;
use smol::Timer;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future;

use super::PeerTarget;
use super::book::AnswerBook;
use super::connection::PeerConnection;
use super::greet;
use super::pending::QueuedCall;
use super::thread::ThreadContext;
use crate::peer::error::PeerFailure;
use crate::peer::transport::RunningRpc;
use crate::peer::transport::duration;
use crate::peer::wire::WireError;
use crate::peer::wire::write_ask;
use crate::peer_capnp::peer_session;
use crate::settings::PeerSettings;

/// Batches under way at once; calls beyond them gather for the next one.
const BATCHES_UNDER_WAY: u32 = 4;

/// Most weight of one batch: calls, and entries of witness records.
const BATCH_WEIGHT: usize = 512;

/// Looks at the waits during the shortest of the settings' spans.
const TICKS_A_SPAN: u32 = 8;

/// A tick this many times too late means that this process was paused.
const PAUSE_TICKS: u32 = 4;

/// An established connection.
pub struct PeerLink {
    life: InstanceIncarnation,
    session: peer_session::Client,
    rpc: RunningRpc,
    book: Rc<AnswerBook>,
    batches: Cell<u32>,
    last_call: Cell<Instant>,
    /// When the probe without an answer so far was sent.
    probed: Cell<Option<Instant>>,
    break_sender: Sender<()>,
    break_receiver: Receiver<()>,
    /// Wakes the watch of a link that had no calls.
    stir_sender: Sender<()>,
    stir_receiver: Receiver<()>,
}

/// Why a link's watch looks around.
enum WatchEvent {
    Ticked,
    Stirred,
    Broken,
}

impl PeerLink {
    /// Connects to `target` and greets it.
    pub async fn open(context: &ThreadContext, target: &PeerTarget) -> Result<Self, PeerFailure> {
        let settings = &context.settings;
        let book = Rc::new(AnswerBook::new(settings.log.clone()));
        let sink = book.sink();
        let greeted = greet::connect(settings, &context.spawner, target, sink).await?;
        let (break_sender, break_receiver) = channel::bounded(1);
        let (stir_sender, stir_receiver) = channel::bounded(1);
        Ok(Self {
            life: greeted.life,
            session: greeted.session,
            rpc: greeted.rpc,
            book,
            batches: Cell::new(0),
            last_call: Cell::new(Instant::now()),
            probed: Cell::new(None),
            break_sender,
            break_receiver,
            stir_sender,
            stir_receiver,
        })
    }

    /// The life that the peer greeted with.
    pub const fn life(&self) -> &InstanceIncarnation {
        &self.life
    }

    /// Calls that were sent and have no reply.
    pub fn running(&self) -> usize {
        self.book.running()
    }

    /// Fails the calls that were sent.
    pub fn fail_calls(&self, failure: &PeerFailure) {
        self.book.fail_all(failure);
    }

    /// Sends the connection's queue, as far as batches may be under way.
    pub fn send_queue(self: &Rc<Self>, connection: &Rc<PeerConnection>) {
        while self.batches.get() < BATCHES_UNDER_WAY {
            let batch = self.next_batch(connection);
            if batch.is_empty() {
                return;
            }
            self.send_batch(connection, batch);
        }
    }

    /// The calls of the next batch, without those that need not be sent.
    fn next_batch(&self, connection: &PeerConnection) -> Vec<QueuedCall> {
        let mut batch = Vec::new();
        let mut weight = 0;
        let mut queue = connection.queue().borrow_mut();
        while let Some(call) = queue.pop_front() {
            if call.is_abandoned() {
                continue;
            }
            if let Err(failure) = self.check_life(call.target()) {
                call.fail(failure);
                continue;
            }
            weight += call.weight();
            if !batch.is_empty() && weight > BATCH_WEIGHT {
                queue.push_front(call);
                break;
            }
            batch.push(call);
        }
        batch
    }

    fn check_life(&self, target: &PeerTarget) -> Result<(), PeerFailure> {
        let found = self.life.incarnation;
        match target.incarnation {
            Some(wanted) if wanted != found => Err(PeerFailure::OtherLife(found)),
            _ => Ok(()),
        }
    }

    fn send_batch(self: &Rc<Self>, connection: &Rc<PeerConnection>, batch: Vec<QueuedCall>) {
        let settings = &connection.context().settings;
        let mut request = self.session.ask_request();
        let mut builder = request.get().init_batch();
        builder.set_order(settings.log.lamport().raise());
        let count = u32::try_from(batch.len()).unwrap_or(u32::MAX);
        let mut asks = builder.init_asks(count);
        let first = self.book.next_number();
        for ((index, call), number) in (0..count).zip(&batch).zip(first..) {
            let mut ask = asks.reborrow().get(index);
            ask.set_call(number);
            write_ask(ask, call.ask());
        }
        let weight: usize = batch.iter().map(QueuedCall::weight).sum();
        if weight > BATCH_WEIGHT && !fits(&mut request, &settings.peers) {
            for call in batch {
                call.fail(PeerFailure::TooLarge);
            }
            return;
        }
        metrics::counter!("guavawell_peer_batches_total").increment(1);
        metrics::counter!("guavawell_peer_calls_total").increment(u64::from(count));
        if self.running() == 0 {
            // A full channel means that the watch wakes already.
            let _ = self.stir_sender.try_send(());
        }
        self.book.note_sent(batch);
        self.last_call.set(Instant::now());
        self.batches.set(self.batches.get() + 1);
        let response = request.send().promise;
        let link = Rc::clone(self);
        let finish_connection = Rc::clone(connection);
        let finish = async move {
            link.finish_batch(response.await);
            finish_connection.send();
        };
        connection.context().spawner.spawn(finish);
    }

    fn finish_batch(&self, response: Result<BatchResponse, capnp::Error>) {
        self.batches.set(self.batches.get() - 1);
        let taken = response
            .map_err(WireError::from)
            .and_then(|response| self.book.take(response.get()?.get_batch()?));
        if taken.is_err() {
            // A full channel means that the link breaks already.
            let _ = self.break_sender.try_send(());
        }
    }

    /// Watches the link until it has to be given up, and says why.
    pub async fn watch(self: &Rc<Self>, connection: &PeerConnection) -> PeerFailure {
        let settings = &connection.context().settings.peers;
        loop {
            let tick = self.tick_span(settings);
            let before = Instant::now();
            let event = future::or(self.broken(), future::or(self.stirred(), ticked(tick)));
            match event.await {
                WatchEvent::Broken => return PeerFailure::Closed,
                WatchEvent::Stirred => continue,
                WatchEvent::Ticked => (),
            }
            self.book.expire(duration(settings.call_timeout_ms));
            connection.expire_queue();
            let paused = before.elapsed() > tick * PAUSE_TICKS;
            if paused {
                self.probed.set(None);
            }
            if let Some(failure) = self.check_silence(connection) {
                return failure;
            }
            if self.is_idle(settings) || connection.is_done() {
                return PeerFailure::Closed;
            }
        }
    }

    /// Time until the next look: short while a call is under way, long
    /// otherwise, because a node keeps many links that are mostly idle.
    fn tick_span(&self, settings: &PeerSettings) -> Duration {
        let shortest = if self.running() == 0 {
            settings.idle_probe_ms.min(settings.idle_timeout_ms)
        } else {
            settings
                .call_timeout_ms
                .min(settings.probe_interval_ms)
                .min(settings.probe_timeout_ms)
        };
        duration(shortest) / TICKS_A_SPAN
    }

    async fn stirred(&self) -> WatchEvent {
        // The link owns both ends: receiving cannot fail.
        let _ = self.stir_receiver.recv().await;
        WatchEvent::Stirred
    }

    async fn broken(&self) -> WatchEvent {
        // Both channels only ever end or hold one message.
        let broken = async {
            let _ = self.break_receiver.recv().await;
        };
        let ended = async {
            let _ = self.rpc.ended.recv().await;
        };
        future::or(broken, ended).await;
        WatchEvent::Broken
    }

    fn check_silence(self: &Rc<Self>, connection: &PeerConnection) -> Option<PeerFailure> {
        let settings = &connection.context().settings.peers;
        let quiet = self.rpc.heard.quiet();
        let interval = match self.running() {
            0 => settings.idle_probe_ms,
            _ => settings.probe_interval_ms,
        };
        let Some(since) = self.probed.get() else {
            if quiet >= duration(interval) {
                self.probe(connection);
            }
            return None;
        };
        if quiet < since.elapsed() {
            self.probed.set(None);
            return None;
        }
        if since.elapsed() < duration(settings.probe_timeout_ms) {
            return None;
        }
        metrics::counter!("guavawell_peer_silent_total").increment(1);
        Some(PeerFailure::Silent)
    }

    fn probe(self: &Rc<Self>, connection: &PeerConnection) {
        self.probed.set(Some(Instant::now()));
        let context = connection.context();
        let log = context.settings.log.clone();
        let mut request = self.session.probe_request();
        request.get().set_order(log.lamport().raise());
        let response = request.send().promise;
        let probe = async move {
            if let Ok(response) = response.await
                && let Ok(answer) = response.get()
            {
                log.lamport().merge(answer.get_order());
            }
        };
        context.spawner.spawn(probe);
    }

    fn is_idle(&self, settings: &PeerSettings) -> bool {
        let idle = duration(settings.idle_timeout_ms);
        self.running() == 0 && self.last_call.get().elapsed() >= idle
    }
}

type BatchRequest =
    capnp::capability::Request<peer_session::ask_params::Owned, peer_session::ask_results::Owned>;
type BatchResponse = capnp::capability::Response<peer_session::ask_results::Owned>;

/// Whether a batch stays under half of what a peer reads: reading it counts
/// parts of it twice.
fn fits(request: &mut BatchRequest, settings: &PeerSettings) -> bool {
    let limit = settings.max_message_bytes.get() / 2;
    let size = request.get().into_reader().total_size();
    size.is_ok_and(|size| size.word_count * size_of::<u64>() as u64 <= limit)
}

async fn ticked(span: Duration) -> WatchEvent {
    Timer::after(span).await;
    WatchEvent::Ticked
}
