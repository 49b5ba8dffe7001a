//! Every promise under failure, on the real router code.
//!
//! Each test starts a whole fleet in one process, brings a failure about while
//! callers go on, and judges the evidence of both ends. No test asserts a
//! time: it waits, within a bound, for a state.

mod caller;
mod engine;
mod env;
mod hedge;
mod holder;
mod load;
mod outage;
mod pair;
mod partition;
mod provoke;
mod recovery;
mod relay;
mod rows;
mod shutdown;
