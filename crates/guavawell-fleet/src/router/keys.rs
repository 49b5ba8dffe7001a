//! Takes new gossip keys into use when their files change.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use smol::Timer;

use super::core::RouterCore;
use super::settings::gossip_keys;
use crate::gossip::FleetKeys;
use crate::gossip::GossipDriver;

/// Time between two looks at the files.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// What the looks at the files found so far.
#[derive(Debug, Default)]
struct KeyWatch {
    /// The keys in use; absent before the first look.
    keys: Option<FleetKeys>,
    /// Whether the last look found files that cannot be read.
    failing: bool,
}

/// Looks at the key files for as long as the router runs; without files there
/// is nothing to look at.
pub async fn watch_keys(core: Arc<RouterCore>, gossip: GossipDriver) {
    if core.settings.gossip.key_files.is_empty() {
        return;
    }
    let mut watch = KeyWatch::default();
    loop {
        let shared = Arc::clone(&core);
        let found = smol::unblock(move || gossip_keys(&shared.settings)).await;
        if let Some(keys) = watch.take(found) {
            gossip.replace_keys(keys);
        }
        Timer::after(LOOK_EVERY).await;
    }
}

impl KeyWatch {
    /// Takes a look's outcome; the keys to put into use, if they changed.
    fn take(&mut self, found: io::Result<FleetKeys>) -> Option<FleetKeys> {
        let keys = match found {
            Ok(keys) => keys,
            Err(error) => {
                self.note_failure(&error);
                return None;
            }
        };
        self.failing = false;
        if self.keys.as_ref() == Some(&keys) {
            return None;
        }
        if self.keys.replace(keys.clone()).is_some() {
            metrics::counter!("guavawell_gossip_key_reloads_total").increment(1);
            log::info!("the new gossip keys are in use");
        }
        Some(keys)
    }

    fn note_failure(&mut self, error: &io::Error) {
        metrics::counter!("guavawell_gossip_key_reload_failures_total").increment(1);
        if !self.failing {
            log::warn!("the former gossip keys stay in use: {error}");
        }
        self.failing = true;
    }
}
