//! A TCP connection that may speak TLS.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use futures_rustls::TlsStream;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::ServerName;
use smol::io::AsyncRead;
use smol::io::AsyncWrite;
use smol::net::TcpStream;

/// A connection, plain or after its handshake.
#[derive(Debug)]
pub enum SecureStream {
    /// Plain TCP.
    Plain(TcpStream),
    /// TLS.
    Tls(Box<TlsStream<TcpStream>>),
}

impl SecureStream {
    /// The connection below.
    #[must_use]
    pub fn socket(&self) -> &TcpStream {
        match self {
            Self::Plain(stream) => stream,
            Self::Tls(stream) => stream.get_ref().0,
        }
    }

    /// What the other side proved to be.
    #[must_use]
    pub fn proof(&self) -> PeerProof {
        match self {
            Self::Plain(_) => PeerProof::Plain,
            Self::Tls(stream) => {
                let (_, session) = stream.get_ref();
                let certificates = session.peer_certificates().unwrap_or_default();
                let certificate = certificates.first().cloned();
                PeerProof::Tls(certificate.map(CertificateDer::into_owned))
            }
        }
    }
}

/// What the other side of a connection proved to be.
#[derive(Clone, Debug)]
pub enum PeerProof {
    /// Nothing: the settings allow plain TCP, on loopback only.
    Plain,
    /// The holder of a verified certificate, or nobody.
    Tls(Option<CertificateDer<'static>>),
}

impl PeerProof {
    /// Whether the other side may call itself `name`. A plain connection
    /// may, as the settings allow it.
    #[must_use]
    pub fn proves(&self, name: &str) -> bool {
        match self {
            Self::Plain => true,
            Self::Tls(certificate) => certificate
                .as_ref()
                .is_some_and(|certificate| names(certificate, name)),
        }
    }
}

fn names(certificate: &CertificateDer<'_>, name: &str) -> bool {
    let Ok(name) = ServerName::try_from(name) else {
        return false;
    };
    let certificate = webpki::EndEntityCert::try_from(certificate);
    certificate.is_ok_and(|certificate| certificate.verify_is_valid_for_subject_name(&name).is_ok())
}

impl AsyncRead for SecureStream {
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

impl AsyncWrite for SecureStream {
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
