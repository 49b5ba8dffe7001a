//! Takes new certificates and keys into use when their files change.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use arc_swap::ArcSwap;
use smol::Timer;

use super::TlsError;
use super::material::TlsFiles;
use crate::settings::TlsSettings;

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
/// Handshakes read it without waiting; only reloads take the lock.
#[derive(Debug)]
pub struct ReloadedConfig<C> {
    settings: TlsSettings,
    config: ArcSwap<C>,
    files: Mutex<TlsFiles>,
    build: fn(&TlsSettings, &TlsFiles) -> Result<C, TlsError>,
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
        })
    }

    /// The configuration in use.
    pub fn current(&self) -> Arc<C> {
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
}

/// Calls `reload` every `interval`, for ever, and logs changes of state.
pub async fn reload_when_changed(
    name: &str,
    interval: Duration,
    reload: impl Fn() -> Result<ReloadState, TlsError>,
) {
    let mut failing = false;
    loop {
        Timer::after(interval).await;
        match reload() {
            Ok(ReloadState::Reloaded) => {
                metrics::counter!("guavawell_tls_reloads_total").increment(1);
                log::info!("new certificates and keys are in use for {name}");
                failing = false;
            }
            Ok(ReloadState::Unchanged) => failing = false,
            Err(error) => {
                metrics::counter!("guavawell_tls_reload_failures_total").increment(1);
                if !failing {
                    log::warn!("the former certificates and keys stay in use for {name}: {error}");
                }
                failing = true;
            }
        }
    }
}
