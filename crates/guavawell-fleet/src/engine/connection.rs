//! Opens connections to backend servers.

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
