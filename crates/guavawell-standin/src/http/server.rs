//! A listening address and its open connections.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::time::Duration;

use http_types::Request;
use smol::Async;
use smol::Task;
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpListener;

use crate::http::connection::ConnectionGate;
use crate::http::connection::ConnectionLink;
use crate::http::port::PortClaim;
use crate::http::reply::HttpReply;
use crate::lock::lock;
use crate::pool;

/// Pause after the system refused a connection, for instance for want of handles.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// One request with the connection that it came on.
#[derive(Debug)]
pub struct HttpCall {
    /// The request; its body is still unread.
    pub request: Request,
    /// The connection, for bodies that flush by themselves.
    pub link: ConnectionLink,
}

/// A server on one address; it can refuse connections for a while.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    claim: Mutex<Option<PortClaim>>,
    accepting: Mutex<Option<Task<()>>>,
    gates: Arc<GateList>,
}

impl HttpServer {
    /// Claims `listen`; port 0 takes a free one. [`Self::open`] begins to accept.
    ///
    /// # Errors
    ///
    /// What the system says of the address.
    pub fn bind(listen: SocketAddr) -> io::Result<Self> {
        let claim = PortClaim::bind(listen)?;
        Ok(Self {
            address: claim.address(),
            claim: Mutex::new(Some(claim)),
            accepting: Mutex::new(None),
            gates: Arc::default(),
        })
    }

    /// The bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts connections and gives each request to `handler`.
    ///
    /// # Errors
    ///
    /// If another process listens on the address, or the server was stopped.
    pub fn open<F, R>(&self, handler: F) -> io::Result<()>
    where
        F: Fn(HttpCall) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = HttpReply> + Send + 'static,
    {
        let mut accepting = lock(&self.accepting);
        if accepting.is_some() {
            return Ok(());
        }
        let claim = lock(&self.claim);
        let listener = claim
            .as_ref()
            .ok_or(io::ErrorKind::NotConnected)?
            .listen()?;
        let listener = TcpListener::from(Async::new(listener)?);
        let task = pool::spawn(accept_all(listener, Arc::clone(&self.gates), handler));
        *accepting = Some(task);
        Ok(())
    }

    /// Refuses new connections, and drops every open one.
    pub async fn close(&self) {
        let task = lock(&self.accepting).take();
        if let Some(task) = task {
            task.cancel().await;
        }
        self.gates.for_each(ConnectionGate::close);
    }

    /// Closes for good and gives the address up.
    pub async fn stop(&self) {
        self.close().await;
        drop(lock(&self.claim).take());
    }

    /// Silences every open connection for good.
    pub fn silence(&self) {
        self.gates.for_each(ConnectionGate::silence);
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.gates.for_each(ConnectionGate::close);
    }
}

/// The gates of the connections that are open.
#[derive(Debug, Default)]
struct GateList(Mutex<Vec<Weak<ConnectionGate>>>);

impl GateList {
    fn add(&self, gate: &Arc<ConnectionGate>) {
        let mut gates = lock(&self.0);
        if gates.len() == gates.capacity() {
            gates.retain(|gate| gate.strong_count() > 0);
        }
        gates.push(Arc::downgrade(gate));
    }

    fn for_each(&self, action: impl Fn(&ConnectionGate)) {
        let gates = lock(&self.0).clone();
        for gate in gates.iter().filter_map(Weak::upgrade) {
            action(&gate);
        }
    }
}

async fn accept_all<F, R>(listener: TcpListener, gates: Arc<GateList>, handler: F)
where
    F: Fn(HttpCall) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = HttpReply> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let link = ConnectionLink::new(stream);
        gates.add(link.gate());
        pool::spawn(serve(link, handler.clone())).detach();
    }
}

/// Serves one connection until either side closes it.
async fn serve<F, R>(link: ConnectionLink, handler: F)
where
    F: Fn(HttpCall) -> R,
    R: Future<Output = HttpReply>,
{
    let endpoint = |request| {
        let call = HttpCall {
            request,
            link: link.clone(),
        };
        let reply = handler(call);
        async {
            let hung_up = |_| http_types::Error::from_str(500, "hang up");
            reply.await.map_err(hung_up)
        }
    };
    let exchanges = async {
        // An error only says that this connection ended early.
        let _ = async_h1::accept(link.clone(), endpoint).await;
    };
    exchanges.or(link.gate().closed()).await;
}
