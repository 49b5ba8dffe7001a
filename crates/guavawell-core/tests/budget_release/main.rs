//! How a slot's holder answers releases and joins.

mod answered;
mod late;
mod rig;
