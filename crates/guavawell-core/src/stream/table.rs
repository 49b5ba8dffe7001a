//! The streams of which one instance knows where they began.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::poison::OrganisationTag;
use crate::poison::RequestFingerprint;
use crate::stream::SharedOrigin;
use crate::stream::StreamOrigin;
use crate::stream::StreamTag;

/// Age of a stream from which on it is no longer continued. An instance that has run for
/// less than this may not know a stream that is. Nothing that callers send bounds it, so it
/// is far longer than they wait.
pub const MAX_STREAM_AGE: ClockSpan = ClockSpan::from_millis(900_000);

/// Sizes of an [`OriginTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OriginSettings {
    /// Most streams in the table. Each takes about 150 bytes.
    pub max_streams: usize,
    /// Most streams of one organisation, so that none can evict those of others.
    pub max_streams_per_organisation: usize,
    /// Longest time for which a stream is kept.
    pub max_life: ClockSpan,
}

impl Default for OriginSettings {
    fn default() -> Self {
        Self {
            max_streams: 8_192,
            max_streams_per_organisation: 2_048,
            max_life: MAX_STREAM_AGE,
        }
    }
}

/// One stream in the table.
#[derive(Clone, Debug)]
struct StreamRecord {
    stream: StreamTag,
    fingerprint: RequestFingerprint,
    organisation: OrganisationTag,
    /// `None` if instances told different origins: callers then sent two requests with
    /// one id.
    origin: Option<StreamOrigin>,
    expires_at: ClockTime,
}

/// The streams that began at this instance, and those that others told.
#[derive(Clone, Debug, Default)]
pub struct OriginTable {
    settings: OriginSettings,
    /// Sorted by stream.
    records: Vec<StreamRecord>,
    /// Since when streams are kept; `None` if none began before.
    kept_since: Option<ClockTime>,
}

impl OriginTable {
    /// An empty table.
    #[must_use]
    pub const fn new(settings: OriginSettings) -> Self {
        Self {
            settings,
            records: Vec::new(),
            kept_since: None,
        }
    }

    /// A table of an instance that started at `start`, while others may have served
    /// streams before.
    #[must_use]
    pub fn kept_since(self, start: ClockTime) -> Self {
        Self {
            kept_since: Some(start),
            ..self
        }
    }

    /// Records that no stream began before the table was kept.
    pub const fn note_first_start(&mut self) {
        self.kept_since = None;
    }

    /// Number of streams.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no stream.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Where a stream began; `None` if that is not known for certain.
    #[must_use]
    pub fn find(&self, stream: StreamTag, now: ClockTime) -> Option<&StreamOrigin> {
        let record = &self.records[self.position(stream).ok()?];
        record.origin.as_ref().filter(|_| now < record.expires_at)
    }

    /// Where the streams of a request began; `None` if there are none, if not all began
    /// at the same version, or if one may have begun before streams were kept.
    #[must_use]
    pub fn find_request(
        &self,
        fingerprint: RequestFingerprint,
        now: ClockTime,
    ) -> Option<&StreamOrigin> {
        let is_young = |start: ClockTime| now.since(start) < self.settings.max_life;
        if self.kept_since.is_some_and(is_young) {
            return None;
        }
        let mut records = self
            .records
            .iter()
            .filter(|record| record.fingerprint == fingerprint && now < record.expires_at);
        let origin = records.next()?.origin.as_ref()?;
        let is_same = |record: &StreamRecord| record.origin.as_ref() == Some(origin);
        records.all(is_same).then_some(origin)
    }

    /// Adds a stream, or extends the time for which a known one is kept.
    pub fn add(&mut self, shared: &SharedOrigin, now: ClockTime) {
        let expires_at = now + shared.lasts.min(self.settings.max_life);
        if let Ok(place) = self.position(shared.stream) {
            let record = &mut self.records[place];
            record.expires_at = record.expires_at.max(expires_at);
            if record.origin.as_ref() != Some(&shared.origin) {
                record.origin = None;
            }
            return;
        }
        self.make_room(shared.organisation, now);
        let record = StreamRecord {
            stream: shared.stream,
            fingerprint: shared.fingerprint,
            organisation: shared.organisation,
            origin: Some(shared.origin.clone()),
            expires_at,
        };
        let place = self.position(shared.stream).unwrap_or_else(|place| place);
        self.records.insert(place, record);
    }

    /// Removes the streams that are no longer continued.
    pub fn sweep(&mut self, now: ClockTime) {
        self.records.retain(|record| now < record.expires_at);
    }

    /// Evicts the stream that expires first, of the organisation if it has too many, or
    /// else of all if the table is full.
    fn make_room(&mut self, organisation: OrganisationTag, now: ClockTime) {
        let settings = self.settings;
        let is_own = |record: &&StreamRecord| record.organisation == organisation;
        let is_nearly_full = self.records.len() >= settings.max_streams_per_organisation;
        if is_nearly_full {
            self.sweep(now);
        }
        let is_over =
            self.records.iter().filter(is_own).count() >= settings.max_streams_per_organisation;
        if !is_over && self.records.len() < settings.max_streams {
            return;
        }
        let candidates = self.records.iter().enumerate();
        let evicted = candidates
            .filter(|(_, record)| !is_over || record.organisation == organisation)
            .min_by_key(|(_, record)| record.expires_at);
        if let Some((place, _)) = evicted {
            self.records.remove(place);
        }
    }

    fn position(&self, stream: StreamTag) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| record.stream.cmp(&stream))
    }
}
