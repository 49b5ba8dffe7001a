//! Takes new certificates and keys into use when their files change.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use arc_swap::ArcSwap;

use super::TlsError;
use super::material::TlsFiles;
use crate::settings::TlsSettings;

/// Least time between two looks at the files, in milliseconds.
const LOOK_MILLIS: u64 = 1_000;

/// What a look at the files led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReloadState {
    /// The files are as they were.
    Unchanged,
    /// The new files are in use for new connections.
    Reloaded,
}

/// A configuration made from files and made anew when they change.
///
/// A handshake looks at the files if nobody did for a second: they are small,
/// and no task has to be kept for it. All other handshakes only read.
#[derive(Debug)]
pub struct ReloadedConfig<C> {
    settings: TlsSettings,
    config: ArcSwap<C>,
    files: Mutex<TlsFiles>,
    build: fn(&TlsSettings, &TlsFiles) -> Result<C, TlsError>,
    begin: Instant,
    /// The last look, in milliseconds after `begin`.
    looked: AtomicU64,
    /// Whether the last look found files that cannot be used.
    failing: AtomicBool,
}

impl<C> ReloadedConfig<C> {
    /// Reads the files and builds the first configuration.
    ///
    /// # Errors
    ///
    /// A file is unreadable or unusable.
    pub fn load(
        settings: &TlsSettings,
        build: fn(&TlsSettings, &TlsFiles) -> Result<C, TlsError>,
    ) -> Result<Self, TlsError> {
        let files = TlsFiles::read(settings)?;
        let config = build(settings, &files)?;
        Ok(Self {
            settings: settings.clone(),
            config: ArcSwap::from_pointee(config),
            files: Mutex::new(files),
            build,
            begin: Instant::now(),
            looked: AtomicU64::new(0),
            failing: AtomicBool::new(false),
        })
    }

    /// The configuration in use, after a look at the files if one is due.
    pub fn current(&self) -> Arc<C> {
        if self.take_look() {
            let outcome = self.reload();
            self.note(&outcome);
        }
        self.config.load_full()
    }

    /// Looks at the files and takes them into use if they changed.
    ///
    /// # Errors
    ///
    /// A file is unreadable or unusable; the former configuration stays.
    pub fn reload(&self) -> Result<ReloadState, TlsError> {
        let found = TlsFiles::read(&self.settings)?;
        let mut files = self.files.lock().unwrap_or_else(PoisonError::into_inner);
        if *files == found {
            return Ok(ReloadState::Unchanged);
        }
        let config = (self.build)(&self.settings, &found)?;
        self.config.store(Arc::new(config));
        *files = found;
        Ok(ReloadState::Reloaded)
    }

    /// Whether a look is due; of several threads that ask, one is told so.
    fn take_look(&self) -> bool {
        let now = u64::try_from(self.begin.elapsed().as_millis()).unwrap_or(u64::MAX);
        let last = self.looked.load(Ordering::Relaxed);
        if now.saturating_sub(last) < LOOK_MILLIS {
            return false;
        }
        let taken = self
            .looked
            .compare_exchange(last, now, Ordering::Relaxed, Ordering::Relaxed);
        taken.is_ok()
    }

    /// Counts a look's outcome, and logs it if the state changed.
    fn note(&self, outcome: &Result<ReloadState, TlsError>) {
        let cert = &self.settings.cert;
        match outcome {
            Ok(ReloadState::Unchanged) => self.failing.store(false, Ordering::Relaxed),
            Ok(ReloadState::Reloaded) => {
                metrics::counter!("guavawell_tls_reloads_total").increment(1);
                log::info!("the new certificate of {cert} is in use");
                self.failing.store(false, Ordering::Relaxed);
            }
            Err(error) => {
                metrics::counter!("guavawell_tls_reload_failures_total").increment(1);
                if !self.failing.swap(true, Ordering::Relaxed) {
                    log::warn!("the former certificate of {cert} stays in use: {error}");
                }
            }
        }
    }
}
