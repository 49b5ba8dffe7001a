//! What an instance knows of the connections that it carries, and why each ended.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::rc::Weak;

use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ServerIncarnation;
use guavawell_fleet::event::EventDraft;

use super::MAX_TUNNEL_IDLE;
use crate::link::ByteMeter;
use crate::router::ForwardRouter;

/// The traffic of a tunnel so far.
#[derive(Debug)]
pub(super) struct TunnelTraffic {
    /// When bytes passed last.
    pub(super) last_at: Cell<ClockTime>,
    /// Counts the bytes of connections between instances.
    meter: Rc<ByteMeter>,
    /// Whether the last bytes went to the server, so that its response is awaited.
    awaits_response: Cell<bool>,
    /// Bytes of the server that were passed on, or are about to be.
    response_bytes: Cell<u64>,
}

impl TunnelTraffic {
    /// Records bytes that were read, and are passed on at once.
    pub(super) fn note(&self, count: usize, now: ClockTime, to_server: bool) {
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
    /// Adds a connection.
    pub(super) fn add(&self, now: ClockTime, meter: &Rc<ByteMeter>) -> Rc<TunnelTraffic> {
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
    pub(super) fn count(&self) -> usize {
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

/// Why a carried connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CarryEnd {
    /// The server ended the connection in the ordinary way.
    ServerEnded,
    /// The connection to the server failed.
    ServerFailed,
    /// The other instance closed its connection, or it failed.
    InstanceEnded,
    /// There was no traffic for too long.
    Idle,
    /// The process ended first.
    Dropped,
}

impl CarryEnd {
    /// The name in logs and metrics.
    const fn as_str(self) -> &'static str {
        match self {
            Self::ServerEnded => "server_ended",
            Self::ServerFailed => "server_failed",
            Self::InstanceEnded => "instance_ended",
            Self::Idle => "idle",
            Self::Dropped => "dropped",
        }
    }
}

/// Logs and counts the end of a carried connection when it is dropped.
pub(super) struct CarryRecord {
    router: Rc<ForwardRouter>,
    server: ServerIncarnation,
    traffic: Rc<TunnelTraffic>,
    end: Cell<CarryEnd>,
}

impl CarryRecord {
    /// The record of a connection that begins.
    pub(super) fn new(router: &Rc<ForwardRouter>, server: ServerIncarnation) -> Self {
        metrics::gauge!("guavawell_forward_carried").increment(1.0);
        let now = router.clock.now();
        Self {
            router: Rc::clone(router),
            server,
            traffic: router.carried.add(now, &router.link.instances),
            end: Cell::new(CarryEnd::Dropped),
        }
    }

    /// The traffic of the connection.
    pub(super) fn traffic(&self) -> &TunnelTraffic {
        &self.traffic
    }

    /// Records why the connection ends.
    pub(super) fn note_end(&self, end: CarryEnd) {
        self.end.set(end);
    }
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
