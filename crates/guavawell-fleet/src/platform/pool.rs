//! Keep-alive connections to one address of the platform.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use guavawell_core::clock::ClockSpan;
use guavawell_core::platform::CircuitPolicy;
use smol::Timer;
use smol::future;
use smol::net::TcpStream;

use crate::clock::duration;
use crate::connection::IdleConnections;
use crate::drill::LinkGate;

/// How a client talks to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSettings {
    /// Longest wait for a connection.
    pub connect_timeout: ClockSpan,
    /// Longest wait for a whole answer, from the request's first byte on.
    pub answer_timeout: ClockSpan,
    /// Connections kept open between exchanges.
    pub idle_connections: usize,
    /// Largest answer accepted, in bytes.
    pub max_answer_bytes: usize,
    /// When the client stops asking a service that does not answer.
    pub circuit: CircuitPolicy,
    /// Cuts the platform off in failure drills.
    pub gate: LinkGate,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            connect_timeout: ClockSpan::from_millis(1_000),
            answer_timeout: ClockSpan::from_millis(2_000),
            idle_connections: 8,
            max_answer_bytes: 16 * 1024 * 1024,
            circuit: CircuitPolicy::default(),
            gate: LinkGate::default(),
        }
    }
}

/// A pool of connections that hold no unfinished exchange.
///
/// A connection is taken out for an exchange and put back only after the
/// whole answer was read. An exchange that times out or is dropped takes its
/// connection with it, so that a late answer can never meet a later request.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    /// The address connected to.
    pub address: SocketAddr,
    /// Limits of each exchange.
    pub settings: PoolSettings,
    idle: IdleConnections,
}

impl ConnectionPool {
    pub const fn new(address: SocketAddr, settings: PoolSettings) -> Self {
        Self {
            address,
            idle: IdleConnections::new(settings.idle_connections),
            settings,
        }
    }

    /// Takes an idle connection that the peer has not closed, or opens one.
    pub async fn take(&self) -> io::Result<TcpStream> {
        if let Some(stream) = self.idle.take().await {
            return Ok(stream);
        }
        let connect = TcpStream::connect(self.address);
        let stream = with_timeout(self.settings.connect_timeout, connect).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    /// Keeps a connection whose exchange is complete.
    pub fn put_back(&self, stream: TcpStream) {
        self.idle.give_back(stream);
    }

    /// Closes all idle connections: one that went silent may not be the only one.
    pub fn drop_idle(&self) {
        self.idle.clear();
    }
}

/// Ends `work` with [`io::ErrorKind::TimedOut`] after `span`.
pub(super) async fn with_timeout<T>(
    span: ClockSpan,
    work: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    future::or(work, async {
        Timer::after(duration(span)).await;
        Err(io::Error::new(
            io::ErrorKind::TimedOut,
            format!("no answer within {span}"),
        ))
    })
    .await
}
