//! Text ids that operators and callers choose.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Longest accepted text id, in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// The text is not a valid id.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum IdError {
    /// The text is empty.
    #[error("an id may not be empty")]
    Empty,
    /// The text is longer than [`MAX_ID_BYTES`].
    #[error("`{0}` is longer than {MAX_ID_BYTES} bytes")]
    TooLong(Box<str>),
    /// The text contains a character outside `A-Z a-z 0-9 . _ : -`.
    #[error("`{text}` holds `{character}`; use letters, digits, `.`, `_`, `:` and `-`")]
    BadCharacter {
        /// The rejected text.
        text: Box<str>,
        /// The first rejected character.
        character: char,
    },
}

fn validate(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_ID_BYTES {
        return Err(IdError::TooLong(text.into()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | ':' | '-');
    match text.chars().find(|c| !allowed(*c)) {
        None => Ok(()),
        Some(character) => Err(IdError::BadCharacter {
            text: text.into(),
            character,
        }),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "Box<str>", into = "Box<str>")]
        pub struct $name(Box<str>);

        impl $name {
            /// The id as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                validate(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<Box<str>> for $name {
            type Error = IdError;

            fn try_from(text: Box<str>) -> Result<Self, IdError> {
                validate(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for Box<str> {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    };
}

text_id!(
    /// An organisation, as named in the manifest.
    OrganisationId
);
text_id!(
    /// A prepaid budget, as named in the manifest.
    BudgetId
);
text_id!(
    /// A model or adapter, as named in the manifest.
    ModelId
);
text_id!(
    /// A service that is not a model, as named in the manifest.
    ServiceId
);
text_id!(
    /// An availability zone.
    ZoneId
);
text_id!(
    /// A region, which contains availability zones.
    RegionId
);
text_id!(
    /// An instance of the entry process, as named in its settings.
    InstanceId
);
text_id!(
    /// A backend server, as named in the manifest.
    BackendId
);
text_id!(
    /// A request id: the caller's idempotency key, or an id that a router generated.
    RequestId
);
