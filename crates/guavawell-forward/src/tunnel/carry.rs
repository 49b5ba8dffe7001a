//! Carries connections of other instances to servers.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ServerIncarnation;
use guavawell_fleet::event::EventDraft;
use smol::Async;
use smol::Timer;

use super::MAX_TUNNEL_IDLE;
use super::TunnelRefusal;
use crate::clock::SteadyClock;
use crate::clock::timer_span;
use crate::http::HttpChannel;
use crate::http::TURN_BYTES;
use crate::link::ByteMeter;
use crate::router::ForwardRouter;

/// Connections that are carried at once. Each takes two descriptors and two buffers.
const MAX_CARRIED: usize = 384;
/// Size of the buffer of one direction, in bytes.
const BUFFER_SIZE: usize = 8 * 1024;
/// Time after which a tunnel without traffic is closed: longer than callers wait.
const IDLE_LIMIT: ClockSpan = ClockSpan::from_millis(60_000);
/// How long the other instance may take to read the end of a response.
const LINGER_LIMIT: Duration = Duration::from_secs(5);

/// Why a carried connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CarryEnd {
    /// The server closed its connection.
    ServerClosed,
    /// The server's connection failed, or the other instance took no more bytes.
    ResponseFailed,
    /// The other instance closed its connection, or the server took no more bytes.
    RequestEnded,
    /// There was no traffic for [`IDLE_LIMIT`].
    Idle,
    /// The process ended first.
    Dropped,
}

impl CarryEnd {
    /// The name in logs and metrics.
    const fn as_str(self) -> &'static str {
        match self {
            Self::ServerClosed => "server_closed",
            Self::ResponseFailed => "response_failed",
            Self::RequestEnded => "request_ended",
            Self::Idle => "idle",
            Self::Dropped => "dropped",
        }
    }
}

/// Logs and counts the end of a carried connection when it is dropped.
struct CarryRecord {
    router: Rc<ForwardRouter>,
    server: ServerIncarnation,
    traffic: Rc<TunnelTraffic>,
    end: Cell<CarryEnd>,
}

impl Drop for CarryRecord {
    fn drop(&mut self) {
        metrics::gauge!("guavawell_forward_carried").decrement(1.0);
        let end = self.end.get().as_str();
        metrics::counter!("guavawell_forward_carried_ended_total", "end" => end).increment(1);
        let draft = EventDraft::new("tunnel.ended")
            .field("server", &self.server)
            .field("end", end)
            .field("response_bytes", self.traffic.response_bytes.get())
            .field("awaits_response", self.traffic.awaits_response.get());
        self.router.log.emit(draft);
    }
}

/// A connection of another instance, and the one to the server.
#[derive(Debug)]
pub(crate) struct CarriedTunnel {
    /// The server.
    pub(crate) incarnation: ServerIncarnation,
    /// From the other instance.
    pub(crate) peer: HttpChannel,
    /// To the server.
    pub(crate) server: HttpChannel,
}

/// The traffic of a tunnel so far.
#[derive(Debug)]
struct TunnelTraffic {
    last_at: Cell<ClockTime>,
    /// Counts the bytes of connections between instances.
    meter: Rc<ByteMeter>,
    /// Whether the last bytes went to the server, so that its response is awaited.
    awaits_response: Cell<bool>,
    /// Bytes of the server that were passed on, or are about to be.
    response_bytes: Cell<u64>,
}

impl TunnelTraffic {
    /// Records bytes that were read, and are passed on at once.
    fn note(&self, count: usize, now: ClockTime, to_server: bool) {
        self.meter.note_received(count);
        self.meter.note_sent(count);
        self.last_at.set(now);
        self.awaits_response.set(to_server);
        if !to_server {
            let bytes = self.response_bytes.get() + count as u64;
            self.response_bytes.set(bytes);
        }
    }

    /// Whether a request may be running. The other instance does not use a tunnel
    /// again that has been idle for [`MAX_TUNNEL_IDLE`].
    fn is_busy(&self, now: ClockTime) -> bool {
        self.awaits_response.get() || now.since(self.last_at.get()) <= MAX_TUNNEL_IDLE
    }
}

/// The connections that this instance carries.
#[derive(Debug, Default)]
pub(crate) struct CarriedTunnels {
    traffic: RefCell<Vec<Weak<TunnelTraffic>>>,
}

impl CarriedTunnels {
    fn add(&self, now: ClockTime, meter: &Rc<ByteMeter>) -> Rc<TunnelTraffic> {
        let traffic = Rc::new(TunnelTraffic {
            last_at: Cell::new(now),
            meter: Rc::clone(meter),
            awaits_response: Cell::new(false),
            response_bytes: Cell::new(0),
        });
        self.traffic.borrow_mut().push(Rc::downgrade(&traffic));
        traffic
    }

    /// Number of open tunnels.
    fn count(&self) -> usize {
        let mut traffic = self.traffic.borrow_mut();
        traffic.retain(|weak| weak.strong_count() > 0);
        traffic.len()
    }

    /// Number of tunnels on which a request may be running.
    pub(crate) fn busy_count(&self, now: ClockTime) -> usize {
        let traffic = self.traffic.borrow();
        let open = traffic.iter().filter_map(Weak::upgrade);
        open.filter(|traffic| traffic.is_busy(now)).count()
    }
}

/// Opens a connection to a server for another instance.
pub(crate) async fn open_for_peer(
    router: &ForwardRouter,
    server: &ServerIncarnation,
) -> Result<HttpChannel, TunnelRefusal> {
    let opened = try_open(router, server).await;
    let end = opened
        .as_ref()
        .map_or_else(|refusal| refusal.as_str(), |_| "open");
    metrics::counter!("guavawell_forward_carried_total", "end" => end).increment(1);
    opened
}

async fn try_open(
    router: &ForwardRouter,
    server: &ServerIncarnation,
) -> Result<HttpChannel, TunnelRefusal> {
    if router.is_leaving() {
        return Err(TunnelRefusal::Leaving);
    }
    let now = router.clock.now();
    let listed = router
        .servers
        .borrow()
        .get(server)
        .filter(|entry| entry.takes_requests(now))
        .map(|entry| (entry.address, entry.service.clone()));
    let (address, service) = listed.ok_or(TunnelRefusal::UnknownServer)?;
    if router.is_path_lost(&service) {
        return Err(TunnelRefusal::PathLost);
    }
    if router.carried.count() >= MAX_CARRIED {
        return Err(TunnelRefusal::Busy);
    }
    metrics::counter!("guavawell_forward_connections_total").increment(1);
    let limit = router.settings.times.connect.min_timeout;
    match HttpChannel::connect(address, timer_span(limit)).await {
        Ok(channel) => {
            router.note_direct_connection(&service, server);
            Ok(channel)
        }
        Err(error) => {
            router.note_direct_failure(&service, server);
            Err(if error.is_connection_refused() {
                TunnelRefusal::Refused
            } else {
                TunnelRefusal::Unreachable
            })
        }
    }
}

/// How the copying of a direction ended.
enum CopyEnd {
    /// The sender closed the connection.
    Closed,
    /// The receiver, or the sender, failed.
    Failed,
}

/// Copies bytes between another instance and a server until either closes its
/// connection.
pub(crate) async fn carry(router: Rc<ForwardRouter>, tunnel: CarriedTunnel) {
    let traffic = router
        .carried
        .add(router.clock.now(), &router.link.instances);
    metrics::gauge!("guavawell_forward_carried").increment(1.0);
    let clock = router.clock;
    let CarriedTunnel {
        incarnation,
        peer,
        server,
    } = tunnel;
    let record = CarryRecord {
        router: Rc::clone(&router),
        server: incarnation,
        traffic: Rc::clone(&traffic),
        end: Cell::new(CarryEnd::Dropped),
    };
    let (peer_stream, server_stream) = (peer.stream(), server.stream());
    let early = peer.received().to_vec();
    let to_server = async {
        if (&*server_stream).write_all(&early).await.is_err() {
            return CarryEnd::RequestEnded;
        }
        // Once the other instance has closed its connection, the response is unwanted.
        let _ = copy(&peer_stream, &server_stream, &clock, &traffic, true).await;
        CarryEnd::RequestEnded
    };
    let to_peer = async {
        match copy(&server_stream, &peer_stream, &clock, &traffic, false).await {
            CopyEnd::Closed => CarryEnd::ServerClosed,
            CopyEnd::Failed => CarryEnd::ResponseFailed,
        }
    };
    let idle = async {
        wait_idle(&clock, &traffic).await;
        CarryEnd::Idle
    };
    let end = to_peer.or(to_server).or(idle).await;
    record.end.set(end);
    match end {
        // Bytes that the other instance has sent meanwhile would otherwise reset the
        // connection and discard the end of the response.
        CarryEnd::ServerClosed => peer.close_unread(LINGER_LIMIT).await,
        CarryEnd::ResponseFailed => reset(&router, &peer),
        CarryEnd::RequestEnded | CarryEnd::Idle | CarryEnd::Dropped => {}
    }
}

/// Copies bytes until the sender closes its connection or either one fails.
async fn copy(
    from: &Async<std::net::TcpStream>,
    to: &Async<std::net::TcpStream>,
    clock: &SteadyClock,
    traffic: &TunnelTraffic,
    to_server: bool,
) -> CopyEnd {
    let (mut from, mut to) = (from, to);
    let mut buffer = vec![0; BUFFER_SIZE];
    let mut turn_bytes = 0;
    loop {
        let count = match from.read(&mut buffer).await {
            Ok(0) => return CopyEnd::Closed,
            Ok(count) => count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            Err(error) => {
                log::debug!("a carried connection failed: {error}");
                return CopyEnd::Failed;
            }
        };
        traffic.note(count, clock.now(), to_server);
        // A sender that is faster than this task must not hold up other tasks.
        turn_bytes += count;
        if turn_bytes >= TURN_BYTES {
            turn_bytes = 0;
            yield_now().await;
        }
        if let Err(error) = to.write_all(&buffer[..count]).await {
            log::debug!("a carried connection failed: {error}");
            return CopyEnd::Failed;
        }
    }
}

/// Waits until a tunnel has had no traffic for [`IDLE_LIMIT`].
async fn wait_idle(clock: &SteadyClock, traffic: &TunnelTraffic) {
    loop {
        let left = clock.left(traffic.last_at.get() + IDLE_LIMIT);
        if left == ClockSpan::ZERO {
            return;
        }
        Timer::after(timer_span(left)).await;
    }
}

/// Resets the connection to another instance, so that a response that its server
/// broke off does not look complete there.
fn reset(router: &ForwardRouter, peer: &HttpChannel) {
    if let Err(error) = peer.reset_on_close() {
        let draft = EventDraft::new("tunnel.reset_failed").field("error", error);
        router.log.emit(draft);
    }
}
