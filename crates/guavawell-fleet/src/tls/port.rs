//! What a listening port speaks: TLS, or plain TCP where the settings say so
//! by name.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use futures_rustls::server::TlsStream;
use smol::Timer;
use smol::future;
use smol::io::AsyncRead;
use smol::io::AsyncWrite;
use smol::net::TcpStream;

use super::ServerTls;
use super::TlsError;
use crate::settings::TlsSettings;

/// Longest TLS handshake with a caller or an operator.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);

/// What a listening port speaks; clones share certificates and keys.
#[derive(Clone, Debug)]
pub enum PortSecurity {
    /// Plain TCP, on a loopback address only.
    Plain,
    /// TLS.
    Tls(Arc<ServerTls>),
}

impl PortSecurity {
    /// The security of a port whose settings hold `tls`, or
    /// `plain_loopback = true`.
    ///
    /// # Errors
    ///
    /// A file is unreadable or unusable, or the settings name neither.
    pub fn new(plain_loopback: bool, tls: Option<&TlsSettings>) -> Result<Self, TlsError> {
        match tls {
            Some(tls) => Ok(Self::Tls(Arc::new(ServerTls::load(tls)?))),
            None if plain_loopback => Ok(Self::Plain),
            None => Err(TlsError::NotNamed),
        }
    }

    /// Makes an accepted connection ready to speak on.
    ///
    /// # Errors
    ///
    /// A plain connection came from elsewhere than loopback, or the handshake
    /// failed or took too long.
    pub async fn accept(&self, stream: TcpStream) -> io::Result<PortStream> {
        stream.set_nodelay(true)?;
        match self {
            Self::Plain if stream.peer_addr()?.ip().is_loopback() => Ok(PortStream::Plain(stream)),
            Self::Plain => Err(io::ErrorKind::PermissionDenied.into()),
            Self::Tls(tls) => {
                let stream = future::or(tls.accept(stream), handshake_timeout()).await?;
                let shared = async_dup::Arc::new(async_dup::Mutex::new(stream));
                Ok(PortStream::Tls(shared))
            }
        }
    }
}

async fn handshake_timeout<T>() -> io::Result<T> {
    Timer::after(HANDSHAKE_TIMEOUT).await;
    Err(io::ErrorKind::TimedOut.into())
}

/// A connection of a listening port; clones share it.
#[derive(Clone, Debug)]
pub enum PortStream {
    /// Plain TCP.
    Plain(TcpStream),
    /// TLS.
    Tls(async_dup::Arc<async_dup::Mutex<TlsStream<TcpStream>>>),
}

impl AsyncRead for PortStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_read(context, buffer),
            Self::Tls(stream) => Pin::new(stream).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for PortStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_write(context, buffer),
            Self::Tls(stream) => Pin::new(stream).poll_write(context, buffer),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_flush(context),
            Self::Tls(stream) => Pin::new(stream).poll_flush(context),
        }
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_close(context),
            Self::Tls(stream) => Pin::new(stream).poll_close(context),
        }
    }
}
