//! The callers' connections, which a leaving process closes.

use std::cell::Cell;
use std::io::ErrorKind;
use std::net::Shutdown;
use std::net::TcpStream;
use std::rc::Rc;

use event_listener::Event;

use crate::clients::ClientConnections;

/// The callers' open connections, and whether more are accepted.
#[derive(Debug)]
pub struct CallerConnections {
    /// The open connections.
    pub clients: Rc<ClientConnections>,
    /// Whether the listening socket is open.
    accepting: Cell<bool>,
    /// Whether the listening socket must be closed.
    stopping: Cell<bool>,
    /// Notified when `accepting` or `stopping` changes.
    changed: Event,
}

impl CallerConnections {
    /// No listening socket yet.
    #[must_use]
    pub const fn new(clients: Rc<ClientConnections>) -> Self {
        Self {
            clients,
            accepting: Cell::new(false),
            stopping: Cell::new(false),
            changed: Event::new(),
        }
    }

    /// Records that the listening socket is open.
    pub fn accepting_began(&self) {
        self.accepting.set(true);
    }

    /// Records that the listening socket is closed, and that each connection that it
    /// had accepted was added.
    pub fn accepting_ended(&self) {
        self.accepting.set(false);
        self.changed.notify(usize::MAX);
    }

    /// Waits until the listening socket must be closed.
    pub async fn wait_for_stop(&self) {
        while !self.stopping.get() {
            let changed = self.changed.listen();
            changed.await;
        }
    }

    /// Has the listening socket closed, and waits until it is.
    pub async fn stop_accepting(&self) {
        self.stopping.set(true);
        self.changed.notify(usize::MAX);
        while self.accepting.get() {
            let changed = self.changed.listen();
            changed.await;
        }
    }

    /// Closes all connections on which no byte waits to be read, and returns the number
    /// of the others. The sockets themselves are read, as events may not have been
    /// polled yet. No request may be running on any connection.
    #[must_use]
    pub fn close_idle(&self) -> usize {
        let open = self.clients.streams().into_iter();
        open.filter(|stream| !close_if_idle(stream.get_ref()))
            .count()
    }
}

/// Closes a connection unless received bytes wait to be read. Returns whether it is
/// closed.
fn close_if_idle(stream: &TcpStream) -> bool {
    let mut byte = [0];
    match stream.peek(&mut byte) {
        Ok(count) if count > 0 => return false,
        Err(error) if error.kind() == ErrorKind::Interrupted => return false,
        _ => {}
    }
    // A connection that has failed is closed already.
    let _ = stream.shutdown(Shutdown::Both);
    true
}
