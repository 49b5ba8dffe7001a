//! Failure drills: cuts this router's links and freezes its tasks on purpose.
//!
//! Owns the switches, which tests and drills of operators set while the router
//! runs. It never decides what a router does about a failure. Unused, it costs
//! one relaxed atomic load where a message leaves or arrives.

mod cut;
mod gate;
mod pause;

pub use cut::LinkCuts;
pub use gate::LinkGate;
