//! Opens listening sockets and accepts connections.

use std::io::Error;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use futures_lite::future::yield_now;
use smol::Async;
use smol::Timer;
use socket2::Domain;
use socket2::Protocol;
use socket2::SockAddr;
use socket2::Socket;
use socket2::Type;

use crate::http::HttpChannel;

/// Length of the queue of connections that wait to be accepted. If it is full, the
/// kernel drops the SYN, and the caller's TCP retransmits it only after a second.
const ACCEPT_QUEUE: i32 = 1_024;
/// Pause after a failed accept, for example when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Opens a listening socket. The kernel keeps about `receive_buffer` bytes for each of its
/// connections until they are read.
///
/// # Errors
///
/// The socket cannot be created or bound to the address.
pub fn listen(address: SocketAddr, receive_buffer: usize) -> std::io::Result<Async<TcpListener>> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    // Its connections inherit it. Without it the kernel lets the buffer of each grow to
    // megabytes.
    socket.set_recv_buffer_size(receive_buffer)?;
    socket.bind(&SockAddr::from(address))?;
    socket.listen(ACCEPT_QUEUE)?;
    Async::new(TcpListener::from(socket))
}

/// Accepts connections until the process ends and passes each one to `serve`.
/// `whom` names the kind of client in warnings. Other tasks have their turn after each
/// `turn` connections.
pub async fn accept_all(
    whom: &str,
    listener: &Async<TcpListener>,
    turn: usize,
    serve: impl Fn(HttpChannel),
) {
    for number in 1_usize.. {
        if number.is_multiple_of(turn) {
            yield_now().await;
        }
        let accepted = listener.accept().await;
        match accepted.and_then(|(stream, _)| HttpChannel::new(stream)) {
            Ok(channel) => serve(channel),
            Err(error) => {
                log::warn!("failed to accept a {whom} connection: {error}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Accepts the connections that wait to be accepted, without waiting for more, and
/// passes each one to `serve`. `whom` names the kind of client in warnings.
pub fn accept_waiting(whom: &str, listener: &Async<TcpListener>, serve: impl Fn(HttpChannel)) {
    loop {
        let accepted = listener.get_ref().accept();
        let stream = accepted.and_then(|(stream, _)| Async::new(stream));
        match stream.and_then(HttpChannel::new) {
            Ok(channel) => serve(channel),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return,
            Err(error) if is_of_one_connection(&error) => {}
            Err(error) => {
                log::warn!("failed to accept a waiting {whom} connection: {error}");
                return;
            }
        }
    }
}

/// Whether an error of accepting concerns one connection only, so that others may
/// still be accepted.
fn is_of_one_connection(error: &Error) -> bool {
    let kind = error.kind();
    matches!(kind, ErrorKind::ConnectionAborted | ErrorKind::Interrupted)
}
