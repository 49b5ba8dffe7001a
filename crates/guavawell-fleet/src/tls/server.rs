//! The accepting side of TLS.

use std::io;
use std::sync::Arc;

use futures_rustls::TlsAcceptor;
use futures_rustls::rustls::ServerConfig;
use futures_rustls::rustls::crypto::ring;
use futures_rustls::rustls::server::WebPkiClientVerifier;
use futures_rustls::server::TlsStream;
use smol::io::AsyncRead;
use smol::io::AsyncWrite;

use super::ReloadState;
use super::TlsError;
use super::material::TlsFiles;
use super::reload::ReloadedConfig;
use crate::settings::TlsSettings;

/// The certificate and key of a listening port.
#[derive(Debug)]
pub struct ServerTls {
    config: ReloadedConfig<ServerConfig>,
}

impl ServerTls {
    /// Reads the files that `settings` name. With `ca`, the other side must
    /// show a certificate from one of these authorities.
    ///
    /// # Errors
    ///
    /// A file is unreadable or unusable.
    pub fn load(settings: &TlsSettings) -> Result<Self, TlsError> {
        let config = ReloadedConfig::load(settings, build)?;
        Ok(Self { config })
    }

    /// Looks at the files and takes them into use if they changed.
    ///
    /// # Errors
    ///
    /// A file is unreadable or unusable; the former ones stay in use.
    pub fn reload(&self) -> Result<ReloadState, TlsError> {
        self.config.reload()
    }

    /// Does the handshake on an accepted connection.
    ///
    /// # Errors
    ///
    /// The other side failed the handshake or left.
    pub async fn accept<S>(&self, stream: S) -> io::Result<TlsStream<S>>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let acceptor = TlsAcceptor::from(self.config.current());
        acceptor.accept(stream).await
    }
}

fn build(settings: &TlsSettings, files: &TlsFiles) -> Result<ServerConfig, TlsError> {
    let unusable = |message: String| TlsError::Unusable {
        path: settings.cert.clone(),
        message: message.into(),
    };
    let provider = Arc::new(ring::default_provider());
    let builder = ServerConfig::builder_with_provider(Arc::clone(&provider));
    let builder = builder
        .with_safe_default_protocol_versions()
        .map_err(|error| unusable(error.to_string()))?;
    let builder = match files.authorities(settings)? {
        None => builder.with_no_client_auth(),
        Some(roots) => {
            let roots = Arc::new(roots);
            let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider);
            let verifier = verifier
                .build()
                .map_err(|error| unusable(error.to_string()))?;
            builder.with_client_cert_verifier(verifier)
        }
    };
    let (chain, key) = (files.chain(settings)?, files.key(settings)?);
    builder
        .with_single_cert(chain, key)
        .map_err(|error| unusable(error.to_string()))
}
