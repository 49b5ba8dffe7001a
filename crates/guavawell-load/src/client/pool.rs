//! Kept-alive connections of one client thread, by target.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use smol::net::TcpStream;

/// Longest time that an idle connection is kept for reuse; shorter than the
/// idle limits that servers commonly have, so that a reuse rarely meets a close.
const IDLE_LIMIT: Duration = Duration::from_secs(3);

/// One open connection.
pub(crate) struct Connection {
    /// Place of the target in the plan's list.
    pub(crate) target: usize,
    /// The socket, with Nagle's algorithm off.
    pub(crate) stream: TcpStream,
}

struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// Idle connections of one thread.
pub(crate) struct ConnectionPool {
    targets: Box<[SocketAddr]>,
    idle: RefCell<Vec<IdleConnection>>,
}

impl ConnectionPool {
    pub(crate) fn new(targets: &[SocketAddr]) -> Self {
        Self {
            targets: targets.into(),
            idle: RefCell::default(),
        }
    }

    /// The address at a place in the plan's list.
    pub(crate) fn address(&self, target: usize) -> SocketAddr {
        self.targets[target]
    }

    /// A connection to the first target from `first` on that accepts one.
    pub(crate) async fn connect(&self, first: usize) -> io::Result<Connection> {
        let mut last_error = io::Error::from(io::ErrorKind::NotConnected);
        for step in 0..self.targets.len() {
            let target = (first + step) % self.targets.len();
            if let Some(connection) = self.take_idle(target) {
                return Ok(connection);
            }
            match TcpStream::connect(self.targets[target]).await {
                Ok(stream) => {
                    stream.set_nodelay(true)?;
                    return Ok(Connection { target, stream });
                }
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    /// Keeps a connection whose exchange ended cleanly.
    pub(crate) fn keep(&self, connection: Connection) {
        let since = Instant::now();
        self.idle
            .borrow_mut()
            .push(IdleConnection { connection, since });
    }

    fn take_idle(&self, target: usize) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|kept| kept.since.elapsed() < IDLE_LIMIT);
        let place = idle
            .iter()
            .rposition(|kept| kept.connection.target == target)?;
        Some(idle.swap_remove(place).connection)
    }
}
