//! The servers whose crashes count against a request.

use serde::Deserialize;
use serde::Serialize;

use crate::forward::ServerIncarnation;

/// Servers remembered per request, equal to the default refusal threshold.
const MAX_SERVERS: usize = 3;

/// A short hash that identifies one incarnation of a server. Zero means none.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ServerTag(u32);

impl ServerTag {
    /// The tag of one incarnation of a server.
    #[must_use]
    pub fn of(incarnation: &ServerIncarnation) -> Self {
        let hash = blake3::hash(incarnation.to_string().as_bytes());
        let [first, second, third, fourth, ..] = *hash.as_bytes();
        // Zero is reserved for an empty place.
        Self(u32::from_le_bytes([first, second, third, fourth]).max(1))
    }
}

/// The last servers whose crashes count against a request. A crash that is
/// reported by several instances counts once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashedServers([ServerTag; MAX_SERVERS]);

impl CrashedServers {
    /// Whether the crash of `server` is already counted.
    #[must_use]
    pub fn contains(&self, server: ServerTag) -> bool {
        self.0.contains(&server)
    }

    /// Adds a crashed server in place of the oldest one. Does nothing if it is
    /// already counted.
    pub fn add(&mut self, server: ServerTag) {
        if !self.contains(server) {
            self.0.rotate_left(1);
            self.0[MAX_SERVERS - 1] = server;
        }
    }

    /// Adds all servers of `others`.
    pub fn add_all(&mut self, others: &Self) {
        for server in others.iter() {
            self.add(server);
        }
    }

    /// The servers, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = ServerTag> + '_ {
        let servers = self.0.iter().copied();
        servers.filter(|server| *server != ServerTag::default())
    }
}
