//! TLS on smol: certificates, keys and handshakes for callers, operators and
//! peers.
//!
//! Certificates, keys and authorities are read again when their files change;
//! a wrong new file leaves the former one in use. This folder never decides
//! who may do what: it says who the other side proved to be.

mod client;
mod material;
mod port;
mod reload;
mod server;
mod stream;
#[cfg(test)]
pub(crate) mod tests;

use std::io;

use thiserror::Error;

use crate::settings::FilePath;

pub use client::ClientTls;
pub use port::PortSecurity;
pub use port::PortStream;
pub use reload::ReloadState;
pub use server::ServerTls;
pub use stream::PeerProof;
pub use stream::SecureStream;

/// Why certificates or keys cannot be used.
#[derive(Debug, Error)]
pub enum TlsError {
    /// A file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: FilePath,
        /// What the system said.
        source: io::Error,
    },
    /// A file holds no certificate, or a damaged one.
    #[error("{path} holds no usable certificate; give a PEM file with `CERTIFICATE` sections")]
    NoCertificate {
        /// The file.
        path: FilePath,
    },
    /// A file holds no private key, or a damaged one.
    #[error("{path} holds no usable private key; give a PEM file with a PKCS #8, SEC1 or RSA key")]
    NoKey {
        /// The file.
        path: FilePath,
    },
    /// The settings name no authority where one is required.
    #[error("no authority is named; set `ca` to the PEM file of the peers' authority")]
    NoAuthority,
    /// The settings name neither `tls` nor `plain_loopback`.
    #[error("neither `tls` nor `plain_loopback = true` is set; set one of the two")]
    NotNamed,
    /// The certificate and the key don't fit each other or the protocol.
    #[error("the certificate in {path} cannot be used: {message}")]
    Unusable {
        /// The certificate's file.
        path: FilePath,
        /// What the TLS library said.
        message: Box<str>,
    },
}
