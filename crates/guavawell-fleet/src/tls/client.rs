//! The connecting side of TLS, with a certificate of its own.

use std::io;
use std::sync::Arc;

use futures_rustls::TlsConnector;
use futures_rustls::client::TlsStream;
use futures_rustls::rustls::ClientConfig;
use futures_rustls::rustls::crypto::ring;
use rustls_pki_types::ServerName;
use smol::io::AsyncRead;
use smol::io::AsyncWrite;

use super::ReloadState;
use super::TlsError;
use super::material::TlsFiles;
use super::reload::ReloadedConfig;
use crate::settings::TlsSettings;

/// The certificate and key that this process shows when it connects, and the
/// authorities that it trusts.
#[derive(Debug)]
pub struct ClientTls {
    config: ReloadedConfig<ClientConfig>,
}

impl ClientTls {
    /// Reads the files that `settings` name; `ca` is required.
    ///
    /// # Errors
    ///
    /// A file is unreadable or unusable, or no authority is named.
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

    /// Does the handshake; the other side must prove to be `name`.
    ///
    /// # Errors
    ///
    /// `name` is no DNS name, the other side failed the handshake, or it
    /// proved to be another.
    pub async fn connect<S>(&self, name: &str, stream: S) -> io::Result<TlsStream<S>>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let name = ServerName::try_from(name.to_owned())
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))?;
        let connector = TlsConnector::from(self.config.current());
        connector.connect(name, stream).await
    }
}

fn build(settings: &TlsSettings, files: &TlsFiles) -> Result<ClientConfig, TlsError> {
    let unusable = |message: String| TlsError::Unusable {
        path: settings.cert.clone(),
        message: message.into(),
    };
    let roots = files.authorities(settings)?.ok_or(TlsError::NoAuthority)?;
    let provider = Arc::new(ring::default_provider());
    let builder = ClientConfig::builder_with_provider(provider);
    let builder = builder
        .with_safe_default_protocol_versions()
        .map_err(|error| unusable(error.to_string()))?;
    let (chain, key) = (files.chain(settings)?, files.key(settings)?);
    builder
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .map_err(|error| unusable(error.to_string()))
}
