//! The key by which instances know each other.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// The fleet's key. Only the fleet's instances can read it: it lies in the
/// platform's store.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetKey(u128);

impl FleetKey {
    /// A new key.
    #[must_use]
    pub fn draw() -> Self {
        Self(fastrand::u128(1..))
    }

    /// The key as a header field's value.
    #[must_use]
    pub fn text(self) -> String {
        format!("{:032x}", self.0)
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("FleetKey")
    }
}
