//! Listening sockets and the connections that come to them.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use smol::Async;
use smol::Timer;
use socket2::Domain;
use socket2::Protocol;
use socket2::SockAddr;
use socket2::Socket;
use socket2::Type;

use crate::http::HttpChannel;

/// Connections that wait to be accepted. One that finds the queue full comes
/// back only after a second.
const ACCEPT_QUEUE: i32 = 1_024;
/// Pause after a failure to accept, for instance without descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Opens a listening socket.
///
/// # Errors
///
/// The address is not to be had.
pub fn listen(address: SocketAddr) -> std::io::Result<Async<TcpListener>> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.bind(&SockAddr::from(address))?;
    socket.listen(ACCEPT_QUEUE)?;
    Async::new(TcpListener::from(socket))
}

/// Hands every connection to `serve` for as long as the process lives. `whom`
/// names the other side in warnings.
pub async fn accept_all(whom: &str, listener: &Async<TcpListener>, serve: impl Fn(HttpChannel)) {
    loop {
        let accepted = listener.accept().await;
        match accepted.and_then(|(stream, _)| HttpChannel::new(stream)) {
            Ok(channel) => serve(channel),
            Err(error) => {
                log::warn!("no {whom} accepted: {error}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}
