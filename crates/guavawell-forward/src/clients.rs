//! The open connections of a listener's clients, and which of them are closed to make room
//! for others.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::Shutdown;
use std::net::TcpStream;
use std::rc::Rc;
use std::rc::Weak;

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ClientWait;
use guavawell_core::forward::HeldHead;
use guavawell_core::forward::head_to_drop;
use guavawell_core::forward::wait_to_end;
use guavawell_fleet::event::EventDraft;
use guavawell_fleet::event::EventLog;
use smol::Async;

use crate::clock::SteadyClock;

/// Shortest time between two reports of clients that were given up.
const REPORT_INTERVAL: ClockSpan = ClockSpan::from_millis(1_000);

/// Most connections that are accepted before other tasks have their turn.
const MAX_TURN: usize = 64;
/// Part of the connections of a listener that are accepted at most before their tasks have
/// their turn: those that come later must not close them unread.
const TURN_DIVISOR: usize = 4;

/// Number of a connection, in the order of acceptance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct ConnectionNumber(u64);

/// Limits of one listener.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Name of the listener in logs and metrics.
    pub listener: &'static str,
    /// Most open connections.
    pub connections: usize,
    /// Most bytes of heads that are being received.
    pub head_bytes: usize,
}

/// Why clients are given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientLimit {
    Connections,
    HeadBytes,
}

impl ClientLimit {
    /// The name in logs and metrics.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::HeadBytes => "head_bytes",
        }
    }
}

/// What is known of a client's connection.
#[derive(Debug)]
struct ConnectionState {
    stream: Weak<Async<TcpStream>>,
    /// `None` while a request is served.
    wait: Cell<Option<ClientWait>>,
    /// Bytes of a head that is being received.
    head_bytes: Cell<usize>,
    is_closed: Cell<bool>,
}

impl ConnectionState {
    fn waits(&self) -> Option<ClientWait> {
        self.wait.get().filter(|_| !self.is_closed.get())
    }

    fn held_head(&self) -> Option<HeldHead> {
        let since = self.waits()?.since;
        let bytes = self.head_bytes.get();
        (bytes > 0).then_some(HeldHead { bytes, since })
    }
}

/// The open connections of a listener's clients.
#[derive(Debug)]
pub struct ClientConnections {
    limits: ListenerLimits,
    clock: SteadyClock,
    log: EventLog,
    /// Sorted by number.
    connections: RefCell<Vec<(ConnectionNumber, Rc<ConnectionState>)>>,
    /// Number of the next connection.
    next: Cell<ConnectionNumber>,
    /// Connections that were closed here, whose tasks have not ended yet.
    closing: Cell<usize>,
    /// Bytes of heads that are being received.
    head_bytes: Cell<usize>,
    /// Clients that were given up since the last report.
    given_up: Cell<u64>,
    reported_at: Cell<Option<ClockTime>>,
}

impl ClientConnections {
    /// No connections yet.
    #[must_use]
    pub const fn new(limits: ListenerLimits, clock: SteadyClock, log: EventLog) -> Self {
        Self {
            limits,
            clock,
            log,
            connections: RefCell::new(Vec::new()),
            next: Cell::new(ConnectionNumber(0)),
            closing: Cell::new(0),
            head_bytes: Cell::new(0),
            given_up: Cell::new(0),
            reported_at: Cell::new(None),
        }
    }

    /// Adds a connection until the returned entry is dropped. Its client may take `limit`
    /// for its first request. If there are too many, another one is closed; `None` if a
    /// request is served on each of them.
    #[must_use]
    pub fn add(
        self: &Rc<Self>,
        stream: &Rc<Async<TcpStream>>,
        limit: ClockSpan,
    ) -> Option<ClientEntry> {
        let open = self.connections.borrow().len() - self.closing.get();
        if open >= self.limits.connections && !self.close_longest_wait() {
            self.note_given_up(ClientLimit::Connections);
            return None;
        }
        let number = self.next.get();
        self.next.set(ConnectionNumber(number.0 + 1));
        let state = Rc::new(ConnectionState {
            stream: Rc::downgrade(stream),
            wait: Cell::new(None),
            head_bytes: Cell::new(0),
            is_closed: Cell::new(false),
        });
        let mut connections = self.connections.borrow_mut();
        connections.push((number, Rc::clone(&state)));
        let entry = ClientEntry {
            connections: Rc::clone(self),
            number,
            state,
        };
        entry.begin_wait(limit);
        Some(entry)
    }

    /// Number of connections that are accepted before other tasks have their turn.
    #[must_use]
    pub fn accept_turn(&self) -> usize {
        (self.limits.connections / TURN_DIVISOR).clamp(1, MAX_TURN)
    }

    /// The sockets of all connections.
    #[must_use]
    pub fn streams(&self) -> Vec<Rc<Async<TcpStream>>> {
        let connections = self.connections.borrow();
        let streams = connections.iter().map(|(_, state)| state.stream.upgrade());
        streams.flatten().collect()
    }

    /// Closes the connection whose client has used most of its time. Returns whether there
    /// was one.
    fn close_longest_wait(&self) -> bool {
        let connections = self.connections.borrow();
        let waits = connections.iter().map(|(_, state)| state.waits());
        let Some(place) = wait_to_end(waits, self.clock.now()) else {
            return false;
        };
        self.close(&connections[place].1, ClientLimit::Connections);
        true
    }

    /// Closes connections whose heads have taken most memory for longest, until heads take
    /// no more than they may.
    fn drop_heads(&self) {
        let connections = self.connections.borrow();
        while self.head_bytes.get() > self.limits.head_bytes {
            let heads = connections.iter().map(|(_, state)| state.held_head());
            let Some(place) = head_to_drop(heads, self.clock.now()) else {
                return;
            };
            let state = &connections[place].1;
            self.set_head_bytes(state, 0);
            self.close(state, ClientLimit::HeadBytes);
        }
    }

    /// Closes a connection. Its task ends as if the client had closed it.
    fn close(&self, state: &ConnectionState, limit: ClientLimit) {
        state.is_closed.set(true);
        self.closing.set(self.closing.get() + 1);
        if let Some(stream) = state.stream.upgrade() {
            // A connection that has failed is closed already.
            let _ = stream.get_ref().shutdown(Shutdown::Both);
        }
        self.note_given_up(limit);
    }

    fn set_head_bytes(&self, state: &ConnectionState, bytes: usize) {
        let others = self.head_bytes.get() - state.head_bytes.get();
        self.head_bytes.set(others + bytes);
        state.head_bytes.set(bytes);
    }

    /// Counts a client that was given up, and reports how many there were, now and then.
    fn note_given_up(&self, limit: ClientLimit) {
        let ListenerLimits { listener, .. } = self.limits;
        let cause = limit.as_str();
        metrics::counter!(
            "guavawell_forward_clients_closed_total", "listener" => listener, "cause" => cause
        )
        .increment(1);
        self.given_up.set(self.given_up.get() + 1);
        let now = self.clock.now();
        let reported_at = self.reported_at.get();
        if reported_at.is_some_and(|at| now.since(at) < REPORT_INTERVAL) {
            return;
        }
        self.reported_at.set(Some(now));
        let draft = EventDraft::new("clients.closed")
            .field("listener", listener)
            .field("cause", cause)
            .field("count", self.given_up.take())
            .field("open", self.connections.borrow().len())
            .field("limit", self.limits.connections)
            .field("head_bytes", self.head_bytes.get());
        self.log.emit(draft);
    }
}

/// The entry of an open connection.
#[derive(Debug)]
pub struct ClientEntry {
    connections: Rc<ClientConnections>,
    number: ConnectionNumber,
    state: Rc<ConnectionState>,
}

impl ClientEntry {
    /// From now on the instance waits for the client, which may take `limit`.
    pub fn begin_wait(&self, limit: ClockSpan) {
        let since = self.connections.clock.now();
        self.state.wait.set(Some(ClientWait { since, limit }));
    }

    /// A request of the client is being received or served: it is not given up for others.
    pub fn end_wait(&self) {
        self.hold_head(0);
        self.state.wait.set(None);
    }

    /// Notes what is held of a head that is being received. Where heads take too much, some
    /// are given up, which may be this one.
    pub fn hold_head(&self, bytes: usize) {
        if bytes == self.state.head_bytes.get() || self.state.is_closed.get() {
            return;
        }
        self.connections.set_head_bytes(&self.state, bytes);
        self.connections.drop_heads();
    }
}

impl Drop for ClientEntry {
    fn drop(&mut self) {
        let list = &self.connections;
        list.set_head_bytes(&self.state, 0);
        if self.state.is_closed.get() {
            list.closing.set(list.closing.get() - 1);
        }
        let mut connections = list.connections.borrow_mut();
        if let Ok(place) = connections.binary_search_by_key(&self.number, |(number, _)| *number) {
            connections.remove(place);
        }
    }
}
