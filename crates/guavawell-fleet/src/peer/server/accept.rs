//! Accepts peers' connections on one thread.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use smol::Async;
use smol::LocalExecutor;
use smol::Timer;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future;
use smol::net::TcpStream;

use super::PeerCall;
use super::PeerServerSettings;
use super::session::PeerGate;
use super::session::SessionContext;
use crate::peer::message::PeerReply;
use crate::peer::transport::RunningRpc;
use crate::peer::transport::TaskSpawner;
use crate::peer::transport::duration;
use crate::peer::transport::start_rpc;
use crate::peer_capnp::peer;
use crate::tls::SecureStream;

/// Wait after a failed accept, for instance when file handles ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A client probes when it hears nothing; a connection that stays quiet for
/// this many times the probe's spans has lost its client.
const QUIET_PROBES: u32 = 4;

/// One thread of the answering side.
pub struct PeerAcceptor<H> {
    pub settings: PeerServerSettings,
    pub listener: TcpListener,
    pub stopped: Receiver<()>,
    pub connections: Arc<AtomicU32>,
    pub handler: H,
}

impl<H, F> PeerAcceptor<H>
where
    H: Fn(PeerCall) -> F + 'static,
    F: Future<Output = PeerReply> + 'static,
{
    /// Serves until the server stops, and closes its connections then.
    pub fn run(self) {
        let executor = Rc::new(LocalExecutor::new());
        let (open, all_closed) = channel::bounded(1);
        let context = Rc::new(SessionContext {
            settings: self.settings,
            spawner: TaskSpawner::new(&executor),
            handler: self.handler,
        });
        let life = AcceptorLife {
            stopped: self.stopped,
            _open: open,
        };
        let accept = accept_loop(context, self.listener, self.connections, life.clone());
        smol::block_on(executor.run(async {
            future::or(life.end(), accept).await;
            drop(life);
            // Nothing is ever sent: receiving ends with the last connection.
            let _ = all_closed.recv().await;
        }));
    }
}

/// The life of an acceptor as its connections see it.
#[derive(Clone)]
struct AcceptorLife {
    stopped: Receiver<()>,
    /// Each connection holds one until it is closed.
    _open: Sender<Infallible>,
}

impl AcceptorLife {
    /// Ends when the server stops.
    async fn end(&self) {
        // Nothing is ever sent: receiving ends when the server stops.
        let _ = self.stopped.recv().await;
    }
}

async fn accept_loop<H, F>(
    context: Rc<SessionContext<H>>,
    listener: TcpListener,
    connections: Arc<AtomicU32>,
    life: AcceptorLife,
) where
    H: Fn(PeerCall) -> F + 'static,
    F: Future<Output = PeerReply> + 'static,
{
    let listener = match Async::new(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("peers cannot be accepted: {error}");
            return;
        }
    };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        let Some(slot) = ConnectionSlot::take(&connections, &context.settings) else {
            metrics::counter!("guavawell_peer_connections_refused_total").increment(1);
            continue;
        };
        let serve_context = Rc::clone(&context);
        let serve_life = life.clone();
        let serve = async move {
            let served = serve(&serve_context, stream.into(), &serve_life).await;
            if let Err(error) = served {
                metrics::counter!("guavawell_peer_handshake_failures_total").increment(1);
                log::debug!("a peer's connection failed: {error}");
            }
            drop(slot);
            drop(serve_life);
        };
        context.spawner.spawn(serve);
    }
}

/// A place among the open connections; dropping it frees it.
struct ConnectionSlot {
    connections: Arc<AtomicU32>,
}

impl ConnectionSlot {
    fn take(connections: &Arc<AtomicU32>, settings: &PeerServerSettings) -> Option<Self> {
        let slot = Self {
            connections: Arc::clone(connections),
        };
        let open = connections.fetch_add(1, Ordering::AcqRel);
        (open < settings.peers.max_connections).then_some(slot)
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.connections.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn serve<H, F>(
    context: &Rc<SessionContext<H>>,
    stream: TcpStream,
    life: &AcceptorLife,
) -> io::Result<()>
where
    H: Fn(PeerCall) -> F + 'static,
    F: Future<Output = PeerReply> + 'static,
{
    let settings = &context.settings;
    let limit = duration(settings.peers.connect_timeout_ms);
    let stream = future::or(secure(settings, stream), timed_out(limit));
    let stopped = async {
        life.end().await;
        Err(io::ErrorKind::ConnectionAborted.into())
    };
    let stream = future::or(stopped, stream).await?;
    let gate = Rc::new(PeerGate::new(Rc::clone(context), stream.proof()));
    let peer: peer::Client = capnp_rpc::new_client_from_rc(Rc::clone(&gate));
    let max_message = settings.peers.max_message_bytes;
    let (rpc, _): (RunningRpc, peer::Client) = start_rpc(
        &context.spawner,
        stream,
        Side::Server,
        max_message,
        Some(peer.client),
    );
    let stopped = async {
        life.end().await;
        Ok(())
    };
    let served = future::or(watch(&rpc, settings, &gate), ended(&rpc));
    let served = future::or(stopped, served).await;
    rpc.close().await;
    served
}

async fn secure(settings: &PeerServerSettings, stream: TcpStream) -> io::Result<SecureStream> {
    stream.set_nodelay(true)?;
    match &settings.tls {
        None => Ok(SecureStream::Plain(stream)),
        Some(tls) => {
            let stream = tls.accept(stream).await?;
            Ok(SecureStream::Tls(Box::new(stream.into())))
        }
    }
}

async fn timed_out<T>(limit: Duration) -> io::Result<T> {
    Timer::after(limit).await;
    Err(io::ErrorKind::TimedOut.into())
}

async fn ended(rpc: &RunningRpc) -> io::Result<()> {
    // Nothing is ever sent: receiving ends with the connection.
    let _ = rpc.ended.recv().await;
    Ok(())
}

/// Ends when the client does not greet in time, or has gone silent.
async fn watch<H>(
    rpc: &RunningRpc,
    settings: &PeerServerSettings,
    gate: &PeerGate<H>,
) -> io::Result<()> {
    let peers = &settings.peers;
    Timer::after(duration(peers.connect_timeout_ms)).await;
    if !gate.is_greeted() {
        return Err(io::ErrorKind::TimedOut.into());
    }
    let interval = peers.probe_interval_ms.max(peers.idle_probe_ms);
    let probe = duration(interval) + duration(peers.probe_timeout_ms);
    while rpc.heard.quiet() < probe * QUIET_PROBES {
        Timer::after(probe).await;
    }
    metrics::counter!("guavawell_peer_silent_total").increment(1);
    Ok(())
}
