//! What a router's configuration hears and asks for.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::clock::ClockTime;
use crate::id::InstanceId;
use crate::id::ManifestVersion;
use crate::manifest::VersionRow;
use crate::platform::Jitter;

/// How a router knows that a version was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VersionProof {
    /// Peers have it in force, and the table could not be asked.
    Peers,
    /// The table holds it.
    Table,
}

impl fmt::Display for VersionProof {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Peers => "peers",
            Self::Table => "table",
        })
    }
}

/// The version in force at a router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionInForce {
    /// The version's row.
    pub row: VersionRow,
    /// How the router knows of it.
    pub proof: VersionProof,
    /// Since when it is in force here.
    pub since: ClockTime,
}

/// What a router's configuration hears.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigEvent {
    /// Time has passed.
    Tick {
        /// Drawn for this tick, so that routers' polls spread.
        jitter: Jitter,
    },
    /// The table answered; `None` if it holds no version.
    TableRead(Option<VersionRow>),
    /// The table gave no usable answer.
    TableFailed,
    /// A peer was heard to have a version in force.
    PeerHint {
        /// The peer.
        instance: InstanceId,
        /// Its version.
        version: ManifestVersion,
    },
    /// A peer told the row that it has in force.
    PeerRow(VersionRow),
    /// All peers that were asked have answered or were given up.
    PeersDone,
    /// All pages of a version are here.
    Loaded(VersionRow),
    /// Pages of a version could not be fetched.
    LoadFailed(VersionRow),
}

/// What a router's configuration asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigEffect {
    /// Read the version row: answer with [`ConfigEvent::TableRead`] or
    /// [`ConfigEvent::TableFailed`].
    ReadTable,
    /// Ask a peer, or all of them, for the row that they have in force: answer
    /// with a [`ConfigEvent::PeerRow`] for each, then [`ConfigEvent::PeersDone`].
    AskPeers(Option<InstanceId>),
    /// Fetch the pages of a version: answer with [`ConfigEvent::Loaded`] or
    /// [`ConfigEvent::LoadFailed`].
    Load(VersionRow),
    /// Put the version that was loaded last into force.
    Enforce(VersionInForce),
    /// The version in force is now proved by the table.
    Proved(VersionInForce),
}

/// Why a router may not take traffic yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NotInForce {
    /// Neither the table nor a peer has answered yet.
    #[error("no manifest yet: neither the table nor a peer has told a version")]
    Unknown,
    /// The table holds no version.
    #[error("no manifest yet: none was ever accepted; apply one with `guavawell-ctl`")]
    NoneAccepted,
    /// The pages of a version are on their way.
    #[error("no manifest yet: version {0} is being loaded")]
    Loading(ManifestVersion),
}
