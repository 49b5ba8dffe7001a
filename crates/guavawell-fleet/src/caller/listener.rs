//! Accepts callers' connections and serves their requests one after another.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_h1::server::ConnectionStatus;
use async_h1::server::Server;
use guavawell_core::request::Refusal;
use guavawell_core::request::RefusalReason;
use http_types::Request;
use http_types::Response;
use smol::Timer;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future::FutureExt;
use smol::io::AsyncRead;
use smol::io::AsyncWrite;
use smol::io::AsyncWriteExt;
use smol::net::TcpListener;
use socket2::SockRef;

use crate::task::TaskSpawner;

/// Connections that the system takes in until they are accepted, as its own
/// bound allows: a burst of callers comes faster than a busy router accepts.
const BACKLOG: i32 = 4_096;

/// Wait after a failed accept, for instance when file handles ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long idle connections stay open after a stop: a second more than clients
/// commonly keep one for reuse, so that none sends on a connection just closed.
const IDLE_LINGER: Duration = Duration::from_secs(4);

/// Bounds on one listener's connections.
#[derive(Clone, Debug)]
pub struct CallerLimits {
    /// Most connections open at once; further ones are closed at once.
    pub max_connections: usize,
    /// Longest wait for a request's head, which also bounds an idle connection.
    pub head_timeout: Duration,
    /// How long idle connections stay open after a stop, so that the next
    /// request on one is still answered, with `connection: close`.
    pub linger: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_connections: 10_000,
            head_timeout: Duration::from_secs(30),
            linger: IDLE_LINGER,
        }
    }
}

/// A listening address with its open connections.
#[derive(Debug)]
pub struct CallerListener {
    limits: CallerLimits,
    address: SocketAddr,
    /// Taken by [`CallerListener::serve`], which closes it in the end.
    listener: Mutex<Option<TcpListener>>,
    stop: StopSignal,
    is_closed: AtomicBool,
    open: AtomicUsize,
    busy: AtomicUsize,
}

/// Tells every task at once that the listener was stopped: closing a channel
/// wakes all its receivers without a poll.
#[derive(Debug)]
struct StopSignal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl StopSignal {
    fn new() -> Self {
        let (sender, receiver) = channel::bounded(1);
        Self { sender, receiver }
    }

    fn raise(&self) {
        self.sender.close();
    }

    fn is_raised(&self) -> bool {
        self.sender.is_closed()
    }

    async fn wait(&self) {
        // Nothing is ever sent: receiving ends when the channel is closed.
        let _ = self.receiver.recv().await;
    }
}

impl CallerListener {
    /// Binds `address`.
    ///
    /// # Errors
    ///
    /// The bind error.
    pub async fn bind(address: SocketAddr, limits: CallerLimits) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address).await?;
        SockRef::from(&listener).listen(BACKLOG)?;
        Ok(Arc::new(Self {
            limits,
            address: listener.local_addr()?,
            listener: Mutex::new(Some(listener)),
            stop: StopSignal::new(),
            is_closed: AtomicBool::new(false),
            open: AtomicUsize::new(0),
            busy: AtomicUsize::new(0),
        }))
    }

    /// The bound address, with the port that the system chose.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts no further connection, beside those that the system took in
    /// before, and no further request on open ones.
    pub fn stop(&self) {
        self.stop.raise();
    }

    /// Whether [`CallerListener::stop`] was called.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stop.is_raised()
    }

    /// Whether the address is closed after a stop: what the system had taken
    /// in is accepted, and counts in [`CallerListener::open`] until it ends.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Acquire)
    }

    /// Requests being answered now.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.busy.load(Ordering::Acquire)
    }

    /// Connections open now.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Serves connections until stopped; each gets a task.
    ///
    /// `wrap` turns a TCP connection into the stream to speak HTTP on, for
    /// instance after a TLS handshake.
    pub async fn serve<W, WFut, S, H, HFut>(self: Arc<Self>, tasks: TaskSpawner, wrap: W, handle: H)
    where
        W: Fn(smol::net::TcpStream) -> WFut + Clone + Send + Sync + 'static,
        WFut: Future<Output = io::Result<S>> + Send + 'static,
        S: AsyncRead + AsyncWrite + Clone + Send + Sync + Unpin + 'static,
        H: Fn(Request) -> HFut + Clone + Send + Sync + 'static,
        HFut: Future<Output = Response> + Send + 'static,
    {
        let listener = self
            .listener
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let Some(socket) = listener else {
            return;
        };
        loop {
            let stop = async {
                self.stop.wait().await;
                None
            };
            // Polled first, so that a stop leaves no connection behind that
            // the system has taken in: closing the socket would reset it.
            let accept = async { Some(socket.accept().await) };
            let stream = match accept.or(stop).await {
                None => break,
                Some(Ok((stream, _))) => stream,
                Some(Err(_)) if self.is_stopped() => break,
                Some(Err(error)) => {
                    metrics::counter!("caller_accept_errors").increment(1);
                    log::debug!("accept failed: {error}");
                    Timer::after(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            if self.open() >= self.limits.max_connections {
                metrics::counter!("caller_connections_refused").increment(1);
                continue;
            }
            // Small answers must not wait for the peer's acknowledgement.
            let _ = stream.set_nodelay(true);
            let guard = OpenGuard::enter(Arc::clone(&self));
            let wrap = wrap.clone();
            let handle = handle.clone();
            let listener = Arc::clone(&self);
            let connection = async move {
                let _guard = guard;
                if let Ok(stream) = wrap(stream).await {
                    listener.converse(stream, handle).await;
                }
            };
            tasks.spawn(connection);
        }
        drop(socket);
        self.is_closed.store(true, Ordering::Release);
    }

    async fn converse<S, H, HFut>(self: Arc<Self>, stream: S, handle: H)
    where
        S: AsyncRead + AsyncWrite + Clone + Send + Sync + Unpin + 'static,
        H: Fn(Request) -> HFut + Clone + Send + Sync + 'static,
        HFut: Future<Output = Response> + Send + 'static,
    {
        let answering = Arc::new(AtomicBool::new(false));
        let heads = Arc::new(AtomicUsize::new(0));
        let mut reply = stream.clone();
        let endpoint = {
            let listener = Arc::clone(&self);
            let answering = Arc::clone(&answering);
            let heads = Arc::clone(&heads);
            move |request: Request| {
                heads.fetch_add(1, Ordering::AcqRel);
                let busy = BusyGuard::enter(Arc::clone(&listener), Arc::clone(&answering));
                let answer = handle(request);
                async move {
                    let mut response = answer.await;
                    if busy.listener.is_stopped() {
                        response.insert_header("connection", "close");
                    }
                    // Held until the body is written, so that a shutdown waits for it.
                    response.ext_mut().insert(busy);
                    Ok(response)
                }
            }
        };
        let mut server = Server::new(stream, endpoint);
        loop {
            let seen = heads.load(Ordering::Acquire);
            let idle = async {
                self.idle_end(&answering).await;
                Ok(ConnectionStatus::Close)
            };
            match server.accept_one().or(idle).await {
                Ok(ConnectionStatus::KeepAlive) => {}
                Ok(ConnectionStatus::Close) => break,
                Err(error) => {
                    metrics::counter!("caller_connection_errors").increment(1);
                    log::debug!("connection ended: {error}");
                    if heads.load(Ordering::Acquire) == seen {
                        // The caller may be gone, and then needs no answer.
                        let _ = reply.write_all(&unreadable_head(&error)).await;
                    }
                    break;
                }
            }
        }
    }

    /// Resolves once a connection that answers nothing has to be closed.
    async fn idle_end(&self, answering: &AtomicBool) {
        let expire = async {
            Timer::after(self.limits.head_timeout).await;
        };
        let stop = async {
            self.stop.wait().await;
            Timer::after(self.limits.linger).await;
        };
        expire.or(stop).await;
        if answering.load(Ordering::Acquire) {
            // The answer under way ends the wait by itself.
            smol::future::pending::<()>().await;
        }
    }
}

/// Marks one request as being answered until dropped.
struct BusyGuard {
    listener: Arc<CallerListener>,
    answering: Arc<AtomicBool>,
}

impl BusyGuard {
    fn enter(listener: Arc<CallerListener>, answering: Arc<AtomicBool>) -> Self {
        listener.busy.fetch_add(1, Ordering::AcqRel);
        answering.store(true, Ordering::Release);
        Self {
            listener,
            answering,
        }
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.answering.store(false, Ordering::Release);
        self.listener.busy.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Counts one open connection until dropped.
struct OpenGuard(Arc<CallerListener>);

impl OpenGuard {
    fn enter(listener: Arc<CallerListener>) -> Self {
        listener.open.fetch_add(1, Ordering::AcqRel);
        Self(listener)
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The answer to a request whose head cannot be read: the HTTP library ends
/// such a connection without a word.
fn unreadable_head(error: &http_types::Error) -> Vec<u8> {
    let detail = format!("the request's head cannot be read: {error}; it may hold 8 KiB at most");
    let refusal = Refusal::unattempted(RefusalReason::BadRequest, detail);
    let body = refusal.problem(None).to_json();
    let mut answer = format!(
        "HTTP/1.1 400 Bad Request\r\ncontent-type: application/problem+json\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    answer.extend_from_slice(&body);
    answer
}
