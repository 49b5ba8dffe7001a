//! See Cargo.toml for this crate's role.
