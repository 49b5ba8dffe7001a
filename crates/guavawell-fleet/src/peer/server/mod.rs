//! The answering side: threads that accept peers and hand their requests to
//! the router.
//!
//! It never answers by itself: the router's handler does.

mod accept;
mod session;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::thread::JoinHandle;

use guavawell_core::budget::InstanceIncarnation;
use smol::channel;
use smol::channel::Sender;

use super::message::PeerReply;
use super::message::PeerRequest;
use crate::event::EventLog;
use crate::settings::PeerSettings;
use crate::tls::ServerTls;

/// What a server is started with.
#[derive(Clone, Debug)]
pub struct PeerServerSettings {
    /// The settings of the group `peers`.
    pub peers: PeerSettings,
    /// This process.
    pub life: InstanceIncarnation,
    /// Its certificate and key; absent where the settings say
    /// `plain_loopback`.
    pub tls: Option<Arc<ServerTls>>,
    /// The log whose Lamport clock replies carry.
    pub log: EventLog,
}

/// A request with the peer that sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerCall {
    /// The caller: the instance that its certificate proves, and the life
    /// that it greeted with.
    pub from: InstanceIncarnation,
    /// What it asks.
    pub request: PeerRequest,
}

/// Answers other routers until it is dropped.
#[derive(Debug)]
pub struct PeerServer {
    address: SocketAddr,
    stop: Sender<()>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl PeerServer {
    /// Binds the address and starts the threads. `handler` runs on them and
    /// must not block.
    ///
    /// # Errors
    ///
    /// The address cannot be bound, plain TCP is asked for on another address
    /// than loopback, or no thread can be started.
    pub fn start<H, F>(settings: &PeerServerSettings, handler: H) -> io::Result<Self>
    where
        H: Fn(PeerCall) -> F + Clone + Send + 'static,
        F: Future<Output = PeerReply> + 'static,
    {
        check_plain(settings)?;
        let listener = TcpListener::bind(settings.peers.listen)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = channel::bounded(1);
        let connections = Arc::new(AtomicU32::new(0));
        let mut threads = Vec::new();
        for index in 0..settings.peers.threads.max(1) {
            let acceptor = accept::PeerAcceptor {
                settings: settings.clone(),
                listener: listener.try_clone()?,
                stopped: stopped.clone(),
                connections: Arc::clone(&connections),
                handler: handler.clone(),
            };
            let builder = std::thread::Builder::new().name(format!("peer-server-{index}"));
            threads.push(builder.spawn(move || acceptor.run())?);
        }
        Ok(Self {
            address,
            stop,
            threads: Mutex::new(threads),
        })
    }

    /// The bound address, with the port that the system chose.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the port and every connection; calls under way are lost.
    pub fn stop(&self) {
        self.stop.close();
        let mut threads = self.threads.lock().unwrap_or_else(PoisonError::into_inner);
        for thread in threads.drain(..) {
            // The handler may have dropped the server on one of its threads.
            if thread.thread().id() != std::thread::current().id() && thread.join().is_err() {
                log::error!("a thread that answers peers panicked");
            }
        }
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.stop();
    }
}

fn check_plain(settings: &PeerServerSettings) -> io::Result<()> {
    let peers = &settings.peers;
    if settings.tls.is_some() || (peers.plain_loopback && peers.listen.ip().is_loopback()) {
        return Ok(());
    }
    let message = "plain TCP is allowed on loopback only, and only by `plain_loopback`";
    Err(io::Error::new(io::ErrorKind::PermissionDenied, message))
}
