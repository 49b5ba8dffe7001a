//! Keeping a port while nothing listens on it.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// A socket bound to the port that never listens.
///
/// While it lives, callers of the port are refused unless a listener of ours
/// is open, and the system gives the port to nobody else who asks for a free
/// one. Linux allows a listener beside it because both set `SO_REUSEADDR`.
#[derive(Debug)]
pub(super) struct PortClaim {
    address: SocketAddr,
    _socket: Socket,
}

impl PortClaim {
    /// Claims an address; port 0 takes a free one.
    pub(super) fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        let bound = socket.local_addr()?.as_socket();
        Ok(Self {
            address: bound.unwrap_or(address),
            _socket: socket,
        })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens on the claimed port.
    pub(super) fn listen(&self) -> io::Result<TcpListener> {
        TcpListener::bind(self.address)
    }
}
