//! Checks how the sections of a manifest go together and assembles the typed
//! manifest: unique names, references that lead somewhere, one place each.
//!
//! It collects every finding and stops at none; it parses no text.

mod assemble;
mod name;
mod reference;

pub(super) use assemble::assemble;
