//! Gossip membership of simulated instances under failures, floods and message loss.

mod bound;
mod failure;
mod property;
mod pump;
mod report;
mod value;
