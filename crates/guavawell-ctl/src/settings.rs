//! What one run is to do; nothing behind it sees the command line.

use std::net::SocketAddr;

use guavawell_fleet::settings::FilePath;
use guavawell_fleet::settings::TlsSettings;

use crate::args::Command;
use crate::args::CommandLine;
use crate::args::TlsArgs;

/// What one run is to do.
#[derive(Clone, Debug)]
pub struct CtlSettings {
    /// Address of the platform, if stated.
    pub platform: Option<SocketAddr>,
    /// Bucket of the object store.
    pub bucket: Box<str>,
    /// Name under which changes are recorded.
    pub who: Box<str>,
    /// Whether to print JSON.
    pub json: bool,
    /// How to prove oneself to instances; `None` for plain loopback.
    pub tls: Option<TlsSettings>,
    /// What to do.
    pub command: Command,
}

impl From<CommandLine> for CtlSettings {
    fn from(line: CommandLine) -> Self {
        let globals = line.globals;
        Self {
            platform: globals.platform,
            bucket: globals.bucket.into(),
            who: globals.who.into(),
            json: globals.json,
            tls: globals.tls.map(tls_settings),
            command: line.command,
        }
    }
}

fn tls_settings(tls: TlsArgs) -> TlsSettings {
    TlsSettings {
        cert: FilePath::new(tls.cert),
        key: FilePath::new(tls.key),
        ca: Some(FilePath::new(tls.ca)),
    }
}
