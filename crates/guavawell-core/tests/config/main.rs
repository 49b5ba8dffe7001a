//! The version in force: acceptance, proof, and never going back.

mod accept;
mod force;
mod history;
mod support;
