//! Where streams began, so that a stream goes on only at the version of the software
//! that began it.
//!
//! What two versions write does not fit together, and servers do not check it. The
//! caller of a stream that broke off may continue it at any instance, after the one
//! that began it has ended. So each instance tells a few others, ranked by the stream,
//! where the stream began, and an instance that is to continue it asks them.
//!
//! This module does no I/O and reads no clock.

mod origin;
mod table;
mod version;

pub use origin::HOLDER_COUNT;
pub use origin::SharedOrigin;
pub use origin::StreamOrigin;
pub use origin::StreamTag;
pub use table::MAX_STREAM_AGE;
pub use table::OriginSettings;
pub use table::OriginTable;
pub use version::MAX_VERSION_BYTES;
pub use version::SoftwareVersion;
pub use version::VersionError;
