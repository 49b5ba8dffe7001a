//! Carries connections of other instances to servers.

use std::cell::Cell;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::ConnectionEnd;
use guavawell_core::forward::EndNotice;
use guavawell_core::forward::RequestWrite;
use guavawell_core::forward::ServerIncarnation;
use guavawell_fleet::event::EventDraft;
use smol::Async;
use smol::Timer;

use super::TunnelFraming;
use super::TunnelRefusal;
use super::traffic::CarryEnd;
use super::traffic::CarryRecord;
use super::traffic::TunnelTraffic;
use crate::clock::SteadyClock;
use crate::clock::timer_span;
use crate::http::HttpChannel;
use crate::http::RECORD_END;
use crate::http::RECORD_HEAD_BYTES;
use crate::http::TURN_BYTES;
use crate::http::record_head;
use crate::router::ForwardRouter;

/// Connections that are carried at once. Each takes two descriptors and two buffers.
const MAX_CARRIED: usize = 384;
/// Size of the buffer of one direction, in bytes.
const BUFFER_SIZE: usize = 8 * 1024;
/// Time after which a tunnel without traffic is closed: longer than callers wait.
const IDLE_LIMIT: ClockSpan = ClockSpan::from_millis(60_000);
/// How long the other instance may take to read the end of a response.
const LINGER_LIMIT: Duration = Duration::from_secs(5);
/// Most bytes of a request that are read although its server has ended its response.
const MAX_UNREAD_BYTES: usize = 64 * 1024 * 1024;

/// A connection of another instance, and the one to the server.
#[derive(Debug)]
pub(crate) struct CarriedTunnel {
    /// The server.
    pub(crate) incarnation: ServerIncarnation,
    /// How its bytes are passed on.
    pub(crate) framing: TunnelFraming,
    /// From the other instance.
    pub(crate) peer: HttpChannel,
    /// To the server.
    pub(crate) server: HttpChannel,
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

/// Copies bytes between another instance and a server until either ends its connection.
/// Only an end by the server looks like one to the other instance.
pub(crate) async fn carry(router: Rc<ForwardRouter>, tunnel: CarriedTunnel) {
    let CarriedTunnel {
        incarnation,
        framing,
        peer,
        server,
    } = tunnel;
    let record = CarryRecord::new(&router, incarnation);
    let traffic = record.traffic();
    if framing == TunnelFraming::Plain {
        check_option(&router, peer.reset_on_close());
    }
    let (peer_stream, server_stream) = (peer.stream(), server.stream());
    let pipe = TunnelPipe {
        clock: router.clock,
        traffic,
        request_write: Cell::default(),
    };
    let early = peer.received();
    let requests = pipe.copy_requests(early, &peer_stream, &server_stream);
    let response = pipe.copy_response(&server_stream, &peer_stream, framing);
    let idle = async {
        wait_idle(&router.clock, traffic).await;
        CarryEnd::Idle
    };
    let end = response.or(requests).or(idle).await;
    record.note_end(end);
    match end {
        CarryEnd::ServerEnded => {
            if framing == TunnelFraming::Plain {
                check_option(&router, peer.close_in_order());
            }
            // Bytes that the other instance has sent meanwhile would otherwise reset the
            // connection and discard the end of the response.
            peer.close_unread(LINGER_LIMIT, MAX_UNREAD_BYTES).await;
        }
        CarryEnd::ServerFailed => check_option(&router, peer.reset_on_close()),
        CarryEnd::InstanceEnded | CarryEnd::Idle | CarryEnd::Dropped => {}
    }
}

/// Copies the bytes of a carried connection.
struct TunnelPipe<'a> {
    clock: SteadyClock,
    traffic: &'a TunnelTraffic,
    /// How the sending of requests to the server ended.
    request_write: Cell<RequestWrite>,
}

impl TunnelPipe<'_> {
    /// Copies requests, the bytes received `early` first, until the other instance ends
    /// its connection: the response is unwanted then. What a server does not take any
    /// more ends nothing, as it may have responded.
    async fn copy_requests(
        &self,
        early: &[u8],
        mut peer: &Async<TcpStream>,
        mut server: &Async<TcpStream>,
    ) -> CarryEnd {
        let mut written = server.write_all(early).await;
        let mut buffer = vec![0; BUFFER_SIZE];
        let mut turn = CopyTurn::default();
        while written.is_ok() {
            let count = match peer.read(&mut buffer).await {
                Ok(0) => return CarryEnd::InstanceEnded,
                Ok(count) => count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => {
                    log::debug!("a connection from another instance failed: {error}");
                    return CarryEnd::InstanceEnded;
                }
            };
            self.traffic.note(count, self.clock.now(), true);
            turn.note(count).await;
            written = server.write_all(&buffer[..count]).await;
        }
        if let Err(error) = written {
            log::debug!("a server took no more of a carried request: {error}");
            self.request_write.set(RequestWrite::from_error(&error));
        }
        std::future::pending().await
    }

    /// Copies the server's bytes until it ends its connection, and tells the other
    /// instance if it did so in the ordinary way.
    async fn copy_response(
        &self,
        mut server: &Async<TcpStream>,
        mut peer: &Async<TcpStream>,
        framing: TunnelFraming,
    ) -> CarryEnd {
        let mut buffer = vec![0; RECORD_HEAD_BYTES + BUFFER_SIZE];
        let mut turn = CopyTurn::default();
        loop {
            let count = match server.read(&mut buffer[RECORD_HEAD_BYTES..]).await {
                Ok(0) => break,
                Ok(count) => count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => {
                    log::debug!("a carried connection to a server failed: {error}");
                    return CarryEnd::ServerFailed;
                }
            };
            self.traffic.note(count, self.clock.now(), false);
            turn.note(count).await;
            let start = match framing {
                TunnelFraming::Records => {
                    buffer[..RECORD_HEAD_BYTES].copy_from_slice(&record_head(count));
                    0
                }
                TunnelFraming::Plain => RECORD_HEAD_BYTES,
            };
            let written = peer.write_all(&buffer[start..RECORD_HEAD_BYTES + count]);
            if let Err(error) = written.await {
                log::debug!("another instance took no more of a response: {error}");
                return CarryEnd::InstanceEnded;
            }
        }
        let end = ConnectionEnd {
            notice: EndNotice::Server,
            write: self.request_write.get(),
        };
        if let Some(cause) = end.cut_cause() {
            log::debug!("a carried response is cut: {}", cause.as_str());
            return CarryEnd::ServerFailed;
        }
        if framing == TunnelFraming::Records && peer.write_all(&RECORD_END).await.is_err() {
            return CarryEnd::InstanceEnded;
        }
        CarryEnd::ServerEnded
    }
}

/// Lets other tasks have their turn: a sender may be faster than the task that copies its
/// bytes.
#[derive(Default)]
struct CopyTurn {
    bytes: usize,
}

impl CopyTurn {
    async fn note(&mut self, count: usize) {
        self.bytes += count;
        if self.bytes >= TURN_BYTES {
            self.bytes = 0;
            yield_now().await;
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

/// Logs that a connection will not end as it should.
fn check_option(router: &ForwardRouter, result: io::Result<()>) {
    if let Err(error) = result {
        let draft = EventDraft::new("tunnel.option_failed").field("error", error);
        router.log.emit(draft);
    }
}
