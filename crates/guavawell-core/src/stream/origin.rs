//! Where a stream began, and how it is named between instances.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::ClockSpan;
use crate::id::OrganisationId;
use crate::id::ServiceId;
use crate::poison::OrganisationTag;
use crate::poison::RequestFingerprint;
use crate::stream::SoftwareVersion;

/// Number of other instances that are told of a stream.
pub const HOLDER_COUNT: usize = 2;

/// Key derivation context, so that the hash differs from other hashes of the same
/// bytes.
const CONTEXT: &str = "guavawell stream";

/// Identifies a stream by a hash of its organisation and of the id of the request that
/// brought its first event.
///
/// An organisation that names the request of another one gets another tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamTag(u64);

impl StreamTag {
    /// The tag of the stream that began with the request `id`.
    #[must_use]
    pub fn of(organisation: Option<&OrganisationId>, id: &str) -> Self {
        let organisation = organisation.map_or("", OrganisationId::as_str);
        let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
        // The length keeps different splits into organisation and id distinct.
        hasher.update(&organisation.len().to_le_bytes());
        hasher.update(organisation.as_bytes());
        hasher.update(id.as_bytes());
        let mut bytes = [0; 8];
        hasher.finalize_xof().fill(&mut bytes);
        Self(u64::from_le_bytes(bytes))
    }

    /// Wraps a plain number.
    #[must_use]
    pub const fn new(value: u64) -> Self {
        Self(value)
    }
}

impl fmt::Display for StreamTag {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for StreamTag {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// The service whose server brought the first event of a stream, and the version of
/// that server's software at that time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: ServiceId,
    /// The version.
    pub version: SoftwareVersion,
}

/// The origin of one stream, as instances tell it each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedOrigin {
    /// The stream.
    pub stream: StreamTag,
    /// The request that began it. A caller that continues the stream sends the same
    /// request, even if it does not name the stream.
    pub fingerprint: RequestFingerprint,
    /// The organisation that sent the request.
    pub organisation: OrganisationTag,
    /// Where the stream began.
    pub origin: StreamOrigin,
    /// How much longer the stream may be continued.
    pub lasts: ClockSpan,
}
