//! The files behind a TLS configuration.

use std::fs;

use futures_rustls::rustls::RootCertStore;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::PrivateKeyDer;
use rustls_pki_types::pem::PemObject;

use super::TlsError;
use crate::settings::FilePath;
use crate::settings::TlsSettings;

/// What the files of one [`TlsSettings`] held at one time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    cert: Box<[u8]>,
    key: Box<[u8]>,
    authority: Option<Box<[u8]>>,
}

impl TlsFiles {
    /// Reads the files.
    ///
    /// # Errors
    ///
    /// One of them cannot be read.
    pub fn read(settings: &TlsSettings) -> Result<Self, TlsError> {
        let authority = settings.ca.as_ref().map(read_file).transpose()?;
        Ok(Self {
            cert: read_file(&settings.cert)?,
            key: read_file(&settings.key)?,
            authority,
        })
    }

    /// The certificate chain, the instance's own first.
    pub fn chain(&self, settings: &TlsSettings) -> Result<Vec<CertificateDer<'static>>, TlsError> {
        parse_certificates(&self.cert, &settings.cert)
    }

    /// The private key.
    pub fn key(&self, settings: &TlsSettings) -> Result<PrivateKeyDer<'static>, TlsError> {
        PrivateKeyDer::from_pem_slice(&self.key).map_err(|_| TlsError::NoKey {
            path: settings.key.clone(),
        })
    }

    /// The authorities that the other side's certificate must come from, if
    /// the settings name them.
    pub fn authorities(&self, settings: &TlsSettings) -> Result<Option<RootCertStore>, TlsError> {
        let (Some(bytes), Some(path)) = (&self.authority, &settings.ca) else {
            return Ok(None);
        };
        let mut roots = RootCertStore::empty();
        for certificate in parse_certificates(bytes, path)? {
            roots.add(certificate).map_err(|error| TlsError::Unusable {
                path: path.clone(),
                message: error.to_string().into(),
            })?;
        }
        Ok(Some(roots))
    }
}

fn read_file(path: &FilePath) -> Result<Box<[u8]>, TlsError> {
    let bytes = fs::read(path.as_path()).map_err(|source| TlsError::Unreadable {
        path: path.clone(),
        source,
    })?;
    Ok(bytes.into())
}

fn parse_certificates(
    bytes: &[u8],
    path: &FilePath,
) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let damaged = || TlsError::NoCertificate { path: path.clone() };
    let parsed: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(bytes).collect();
    let certificates = parsed.map_err(|_| damaged())?;
    if certificates.is_empty() {
        return Err(damaged());
    }
    Ok(certificates)
}
