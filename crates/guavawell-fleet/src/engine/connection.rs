//! One connection to a backend server, counted as reusable or not.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpStream;

/// Opens a connection within `limit`.
///
/// # Errors
///
/// The connect error, or [`io::ErrorKind::TimedOut`].
pub async fn open(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let connect = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    };
    let timeout = async {
        Timer::after(limit).await;
        Err(io::Error::from(io::ErrorKind::TimedOut))
    };
    connect.or(timeout).await
}

/// Whether an idle connection is still open with nothing waiting to be read.
///
/// A backend server that closed it, or that still sends, makes it unfit for
/// another exchange.
pub async fn is_fresh(stream: &TcpStream) -> bool {
    let mut byte = [0_u8; 1];
    let peeked = smol::future::poll_once(stream.peek(&mut byte)).await;
    peeked.is_none()
}
