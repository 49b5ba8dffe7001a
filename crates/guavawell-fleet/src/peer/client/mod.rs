//! The calling side: a handle for any thread, and threads that own the
//! connections.
//!
//! It never sends a request twice; whoever asks knows whether it may be repeated.

mod book;
mod connection;
mod greet;
mod link;
mod pending;
mod thread;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;

use futures::channel::oneshot;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::LedgerHandover;
use guavawell_core::budget::WitnessMessage;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::InstanceId;
use smol::channel;
use smol::channel::Sender;

use super::error::PeerError;
use super::error::PeerFailure;
use super::message::PeerReply;
use super::message::PeerRequest;
use super::wire::PIECE_BYTES;
use super::wire::WireAsk;
use super::wire::split_handover;
use crate::event::EventLog;
use crate::settings::PeerSettings;
use crate::tls::ClientTls;

/// A peer to call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerTarget {
    /// The instance; its certificate has to name it.
    pub instance: InstanceId,
    /// Its address for peers.
    pub address: SocketAddr,
    /// The life that is meant. A call to another life is not sent.
    pub incarnation: Option<IncarnationId>,
}

/// What a client is started with.
#[derive(Clone, Debug)]
pub struct PeerClientSettings {
    /// The settings of the group `peers`.
    pub peers: PeerSettings,
    /// This process.
    pub life: InstanceIncarnation,
    /// Its certificate and key; absent where the settings say
    /// `plain_loopback`.
    pub tls: Option<Arc<ClientTls>>,
    /// The log whose Lamport clock calls carry.
    pub log: EventLog,
}

/// Calls other routers; clones share the connections. One connection serves
/// all calls from this process to a peer.
#[derive(Clone, Debug)]
pub struct PeerClient {
    threads: Arc<ClientThreads>,
}

#[derive(Debug)]
struct ClientThreads {
    queues: Box<[Sender<ClientCall>]>,
    threads: Vec<JoinHandle<()>>,
}

/// One call on its way to a connection's thread.
#[derive(Debug)]
struct ClientCall {
    target: PeerTarget,
    ask: WireAsk,
    reply: oneshot::Sender<Result<PeerReply, PeerError>>,
}

impl PeerClient {
    /// Starts the threads.
    ///
    /// # Errors
    ///
    /// No thread can be started.
    pub fn start(settings: &PeerClientSettings) -> io::Result<Self> {
        let mut queues = Vec::new();
        let mut threads = Vec::new();
        for index in 0..settings.peers.threads.max(1) {
            let (queue, calls) = channel::unbounded();
            let settings = settings.clone();
            let builder = std::thread::Builder::new().name(format!("peer-client-{index}"));
            threads.push(builder.spawn(move || thread::run(settings, &calls))?);
            queues.push(queue);
        }
        let threads = ClientThreads {
            queues: queues.into(),
            threads,
        };
        Ok(Self {
            threads: Arc::new(threads),
        })
    }

    /// Sends `request` to `target` and waits for the reply.
    ///
    /// Dropping the future forgets the reply; the request may still go out.
    ///
    /// # Errors
    ///
    /// [`PeerError::NotSent`] if the peer has not seen the request and will
    /// not; [`PeerError::Lost`] if it may have.
    pub async fn call(
        &self,
        target: &PeerTarget,
        request: PeerRequest,
    ) -> Result<PeerReply, PeerError> {
        match request {
            PeerRequest::Witness(WitnessMessage::Handover(handover)) => {
                self.hand_over(target, &handover).await
            }
            request => {
                let ask = WireAsk::Request(Box::new(request));
                self.send(target, ask).await
            }
        }
    }

    /// Sends a ledger in pieces, each after the one before was taken. A piece
    /// that meets a new connection is refused there.
    async fn hand_over(
        &self,
        target: &PeerTarget,
        handover: &LedgerHandover,
    ) -> Result<PeerReply, PeerError> {
        let mut reply = PeerReply::Accepted;
        for piece in split_handover(handover, PIECE_BYTES) {
            reply = self.send(target, WireAsk::Piece(Box::new(piece))).await?;
            if !matches!(reply, PeerReply::Accepted) {
                break;
            }
        }
        Ok(reply)
    }

    async fn send(&self, target: &PeerTarget, ask: WireAsk) -> Result<PeerReply, PeerError> {
        let (reply, answer) = oneshot::channel();
        let call = ClientCall {
            target: target.clone(),
            ask,
            reply,
        };
        let queue = self.threads.queue_of(&target.instance);
        if queue.try_send(call).is_err() {
            return Err(PeerError::NotSent(PeerFailure::Stopped));
        }
        match answer.await {
            Ok(result) => result,
            Err(oneshot::Canceled) => Err(PeerError::Lost(PeerFailure::Stopped)),
        }
    }
}

impl ClientThreads {
    /// The thread of an instance, always the same.
    fn queue_of(&self, instance: &InstanceId) -> &Sender<ClientCall> {
        let bytes = instance.as_str().bytes();
        let sum = bytes.fold(0_usize, |sum, byte| {
            sum.wrapping_mul(31).wrapping_add(byte.into())
        });
        &self.queues[sum % self.queues.len()]
    }
}

impl Drop for ClientThreads {
    fn drop(&mut self) {
        for queue in &self.queues {
            queue.close();
        }
        for thread in self.threads.drain(..) {
            // The last handle may be dropped on one of the threads itself.
            if thread.thread().id() != std::thread::current().id() && thread.join().is_err() {
                log::error!("a thread that calls peers panicked");
            }
        }
    }
}
