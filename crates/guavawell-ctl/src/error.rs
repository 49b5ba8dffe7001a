//! Why a run failed.

use std::io;
use std::path::PathBuf;

use guavawell_core::budget::RowError;
use guavawell_core::finding::FindingList;
use guavawell_core::id::BudgetId;
use guavawell_core::id::InstanceId;
use guavawell_core::manifest::VersionConflict;
use guavawell_core::manifest::VersionRow;
use guavawell_fleet::config::FetchError;
use guavawell_fleet::platform::PlatformError;
use guavawell_fleet::tls::TlsError;
use thiserror::Error;

use crate::exit::ExitCode;

/// Why a run failed.
#[derive(Debug, Error)]
pub enum CtlError {
    /// A file cannot be read.
    #[error("cannot read `{path}`: {source}; check the path and its permissions")]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The manifest has findings.
    #[error("{0}")]
    Findings(FindingList),
    /// No platform was named.
    #[error(
        "no platform: state `--platform ADDR` before the subcommand, or set GUAVAWELL_PLATFORM"
    )]
    NoPlatform,
    /// Another version is in force than the stated base.
    #[error(transparent)]
    Conflict(Box<VersionConflict>),
    /// A manifest may have been accepted.
    #[error(
        "in doubt: the platform gave no answer about version {}; look at `manifest history`, \
         or apply the same file with the same base again", .0.version
    )]
    VersionInDoubt(Box<VersionRow>),
    /// A top-up may have been applied.
    #[error(
        "in doubt: the platform gave no answer about the top-up of `{0}`; repeat the same command, \
         the top-up counts once by its id"
    )]
    TopUpInDoubt(BudgetId),
    /// Other writers were faster each time.
    #[error("`{0}` changed at every try; nothing was done, try again")]
    Contended(Box<str>),
    /// The platform gave no usable answer, and nothing was changed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A page of the manifest cannot be read.
    #[error(transparent)]
    Fetch(#[from] FetchError),
    /// A row of the table does not read.
    #[error("the row at `{key}` cannot be read: {reason}")]
    BadRow {
        /// The row's key.
        key: Box<str>,
        /// What is wrong.
        reason: Box<str>,
    },
    /// A change does not fit its row.
    #[error("{0}")]
    Row(#[from] RowError),
    /// There is no such thing.
    #[error("there is no {kind} `{name}`{hint}")]
    NotFound {
        /// The kind of thing.
        kind: &'static str,
        /// Its name.
        name: Box<str>,
        /// The nearest name, as a sentence's end; may be empty.
        hint: Box<str>,
    },
    /// No manifest was ever accepted.
    #[error("no manifest was accepted yet; apply one with `manifest apply FILE --base 0`")]
    NoManifest,
    /// An instance does not answer.
    #[error("instance `{instance}` does not answer: {source}")]
    Instance {
        /// The instance.
        instance: InstanceId,
        /// What the system said.
        source: io::Error,
    },
    /// Certificates or keys cannot be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// The output cannot be written.
    #[error("cannot write the output: {0}")]
    Output(#[from] io::Error),
}

impl CtlError {
    /// The exit code that fits.
    #[must_use]
    pub const fn exit_code(&self) -> ExitCode {
        match self {
            Self::File { .. }
            | Self::BadRow { .. }
            | Self::Row(_)
            | Self::Tls(_)
            | Self::Output(_) => ExitCode::Failure,
            Self::Findings(_) => ExitCode::Findings,
            Self::NoPlatform => ExitCode::Usage,
            Self::Conflict(_) | Self::Contended(_) => ExitCode::Conflict,
            Self::VersionInDoubt(_) | Self::TopUpInDoubt(_) => ExitCode::InDoubt,
            Self::Platform(_) | Self::Fetch(_) | Self::Instance { .. } => ExitCode::Unreachable,
            Self::NotFound { .. } | Self::NoManifest => ExitCode::NotFound,
        }
    }
}
