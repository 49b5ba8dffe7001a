//! Which servers' crashes are held against a request.

use serde::Deserialize;
use serde::Serialize;

use crate::forward::ServerIncarnation;

/// Servers that are remembered for one request: as many as convict it.
const REMEMBERED: usize = 3;

/// Tells the lives of servers apart.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ServerTag(u32);

impl ServerTag {
    /// The tag of a server's life.
    #[must_use]
    pub fn of(life: &ServerIncarnation) -> Self {
        let hash = blake3::hash(life.to_string().as_bytes());
        let [first, second, third, fourth, ..] = *hash.as_bytes();
        // Zero stands for no server.
        Self(u32::from_le_bytes([first, second, third, fourth]).max(1))
    }
}

/// Servers whose crashes are held against a request: each life ends once only,
/// whoever tells of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashedServers([ServerTag; REMEMBERED]);

impl CrashedServers {
    /// Whether a server's crash is held against the request already.
    #[must_use]
    pub fn contains(&self, server: ServerTag) -> bool {
        self.0.contains(&server)
    }

    /// Holds one more crash against the request; the one added first makes room.
    pub fn add(&mut self, server: ServerTag) {
        if !self.contains(server) {
            self.0.rotate_left(1);
            self.0[REMEMBERED - 1] = server;
        }
    }

    /// Adds all that others hold against the request.
    pub fn add_all(&mut self, others: &Self) {
        let servers = others
            .0
            .iter()
            .filter(|held| **held != ServerTag::default());
        for server in servers {
            self.add(*server);
        }
    }
}
