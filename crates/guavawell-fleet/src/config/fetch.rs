//! Fetches the pages of a version: from peers that have them, else from the
//! object store.

use futures::StreamExt;
use futures::stream;
use guavawell_core::id::InstanceId;
use guavawell_core::manifest::ContentDigest;
use guavawell_core::manifest::FleetView;
use guavawell_core::manifest::VersionRow;
use guavawell_core::manifest::ViewUpdate;
use guavawell_core::manifest::page::PageError;
use thiserror::Error;

use super::ConfigPeers;
use super::ManifestStore;
use crate::platform::PlatformError;

/// Pages asked of one peer in one call: about 130 KB at full size, so that a
/// reply does not hold up the messages about budgets behind it.
const PEER_BATCH: usize = 16;
/// Pages read from the object store at once.
const PARALLEL_READS: usize = 8;
/// Peers asked for pages at most.
const MAX_PEERS: usize = 3;

/// Why a version could not be loaded.
#[derive(Debug, Error)]
pub enum FetchError {
    /// No source has a page.
    #[error("page {0} is neither in the object store nor at a peer")]
    Missing(ContentDigest),
    /// The object store cannot be read, and no peer has the page.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A page cannot be read.
    #[error(transparent)]
    Page(#[from] PageError),
}

/// One fetch and its sources.
pub struct PageFetch<'s> {
    store: &'s ManifestStore,
    peers: Option<&'s ConfigPeers>,
    /// The peers to ask before the object store.
    sources: Vec<InstanceId>,
    /// Whether all peers that may be asked are, or were, among the sources.
    exhausted: bool,
}

impl<'s> PageFetch<'s> {
    /// A fetch from the object store alone.
    pub const fn from_store(store: &'s ManifestStore) -> Self {
        Self {
            store,
            peers: None,
            sources: Vec::new(),
            exhausted: true,
        }
    }

    /// A fetch from the object store, or from peers while that is away.
    pub const fn new(store: &'s ManifestStore, peers: &'s ConfigPeers) -> Self {
        Self {
            store,
            peers: Some(peers),
            sources: Vec::new(),
            exhausted: false,
        }
    }

    /// Asks this peer first.
    pub fn prefer(&mut self, peer: Option<InstanceId>) {
        self.sources.extend(peer);
    }

    /// Asks the nearest peers first: a whole manifest is too much for the
    /// platform's reads.
    pub fn prefer_all(&mut self) {
        self.add_peers();
    }

    /// Loads a version on top of a view.
    pub async fn load(
        mut self,
        view: &FleetView,
        row: &VersionRow,
    ) -> Result<FleetView, FetchError> {
        let mut update = ViewUpdate::new(view, row.version, row.root);
        while !update.wanted().is_empty() {
            while self.ask_peers(&mut update).await {}
            if let Err(error) = self.read_store(&mut update).await
                && !self.add_peers()
            {
                return Err(error);
            }
        }
        // Nothing is wanted, so the update is complete.
        update.finish().map_err(|_| FetchError::Missing(row.root))
    }

    /// Adds the nearest peers to the sources; false if they have been added.
    fn add_peers(&mut self) -> bool {
        let Some(peers) = self.peers.filter(|_| !self.exhausted) else {
            return false;
        };
        self.exhausted = true;
        let live = (peers.live)().into_iter().take(MAX_PEERS);
        let others: Vec<InstanceId> = live.filter(|peer| !self.sources.contains(peer)).collect();
        self.sources.extend(others);
        true
    }

    /// Asks the sources for what is wanted now; false if they had nothing.
    ///
    /// A source that has nothing of what is wanted is not asked again.
    async fn ask_peers(&mut self, update: &mut ViewUpdate) -> bool {
        let Some(peers) = self.peers else {
            return false;
        };
        let mut supplied = false;
        for peer in std::mem::take(&mut self.sources) {
            let wanted = update.wanted().to_vec();
            if wanted.is_empty() || ask_peer(peers, &peer, &wanted, update).await {
                supplied |= !wanted.is_empty();
                self.sources.push(peer);
            }
        }
        supplied
    }

    /// Reads what no peer had.
    async fn read_store(&self, update: &mut ViewUpdate) -> Result<(), FetchError> {
        let wanted = update.wanted().to_vec();
        let reads = stream::iter(wanted).map(|digest| async move {
            let page = self.store.page(digest).await;
            (digest, page)
        });
        let mut reads = Box::pin(reads.buffer_unordered(PARALLEL_READS));
        while let Some((digest, page)) = reads.next().await {
            let bytes = page?.ok_or(FetchError::Missing(digest))?;
            count_bytes("store", &bytes);
            update.supply(digest, &bytes)?;
        }
        Ok(())
    }
}

impl ManifestStore {
    /// Reads a whole version from the object store, on top of a view that
    /// shares what is the same.
    ///
    /// # Errors
    /// [`FetchError`] if a page is missing, unreadable or out of reach.
    pub async fn load(&self, view: &FleetView, row: &VersionRow) -> Result<FleetView, FetchError> {
        PageFetch::from_store(self).load(view, row).await
    }
}

/// Asks one peer for pages, batch by batch; false if it had none of a batch.
async fn ask_peer(
    peers: &ConfigPeers,
    peer: &InstanceId,
    wanted: &[ContentDigest],
    update: &mut ViewUpdate,
) -> bool {
    for batch in wanted.chunks(PEER_BATCH) {
        let pages = (peers.pages)(peer.clone(), batch.to_vec()).await;
        let taken = pages.iter().filter(|bytes| supply(update, "peer", bytes));
        if taken.count() == 0 {
            return false;
        }
    }
    true
}

/// Supplies a peer's page; one that is not wanted or not whole is left out.
fn supply(update: &mut ViewUpdate, source: &'static str, bytes: &[u8]) -> bool {
    count_bytes(source, bytes);
    update.supply(ContentDigest::of(bytes), bytes).is_ok()
}

fn count_bytes(source: &'static str, bytes: &[u8]) {
    let moved = bytes.len() as u64;
    metrics::counter!("guavawell_config_page_bytes_total", "source" => source).increment(moved);
    metrics::counter!("guavawell_config_pages_total", "source" => source).increment(1);
}
