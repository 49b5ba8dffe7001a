//! Checks how the sections of a manifest go together and assembles the typed
//! manifest: unique names, references that lead somewhere, one place each.

mod assemble;
mod name;
mod reference;

pub(super) use assemble::assemble;
