//! What the configuration asks of other routers.

use futures::future::BoxFuture;
use guavawell_core::id::InstanceId;
use guavawell_core::manifest::ContentDigest;
use guavawell_core::manifest::VersionRow;

/// An answer of a peer, on its way.
pub type PeerFuture<T> = BoxFuture<'static, T>;

/// Asks a peer for the row of the version that it has in force.
pub type RowQuestion = Box<dyn Fn(InstanceId) -> PeerFuture<Option<VersionRow>> + Send + Sync>;

/// Asks a peer for pages; the answer holds the bytes of those that it has, in
/// any order.
pub type PageQuestion =
    Box<dyn Fn(InstanceId, Vec<ContentDigest>) -> PeerFuture<Vec<Vec<u8>>> + Send + Sync>;

/// Ways to other routers, given by the router that is built of them.
///
/// Each question is bounded in time by whoever answers it; `None` stands for
/// no answer. What a peer hands over is checked against its digest, so a peer
/// cannot pass on a page that was not accepted.
pub struct ConfigPeers {
    /// The peers that are reachable now, nearest first.
    pub live: Box<dyn Fn() -> Vec<InstanceId> + Send + Sync>,
    /// Asks for a row.
    pub row: RowQuestion,
    /// Asks for pages.
    pub pages: PageQuestion,
}

impl ConfigPeers {
    /// No peers: the platform is the only source.
    #[must_use]
    pub fn none() -> Self {
        Self {
            live: Box::new(Vec::new),
            row: Box::new(|_| Box::pin(async { None })),
            pages: Box::new(|_, _| Box::pin(async { Vec::new() })),
        }
    }
}
