//! What a listening port speaks: TLS, or plain TCP where the settings say so
//! by name.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use smol::Timer;
use smol::future;
use smol::net::TcpStream;

use super::SecureStream;
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
            Self::Plain if stream.peer_addr()?.ip().is_loopback() => {
                Ok(share(SecureStream::Plain(stream)))
            }
            Self::Plain => Err(io::ErrorKind::PermissionDenied.into()),
            Self::Tls(tls) => {
                let stream = future::or(tls.accept(stream), handshake_timeout()).await?;
                Ok(share(SecureStream::Tls(Box::new(stream.into()))))
            }
        }
    }
}

fn share(stream: SecureStream) -> PortStream {
    async_dup::Arc::new(async_dup::Mutex::new(stream))
}

async fn handshake_timeout<T>() -> io::Result<T> {
    Timer::after(HANDSHAKE_TIMEOUT).await;
    Err(io::ErrorKind::TimedOut.into())
}

/// A connection of a listening port; clones share it.
pub type PortStream = async_dup::Arc<async_dup::Mutex<SecureStream>>;
