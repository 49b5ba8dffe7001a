//! Requests that crash the servers that run them: fingerprints, the table of one
//! instance, and a simulated fleet whose instances exchange suspicions.

mod fingerprint;
mod fleet;
mod part;
mod simulation;
mod table;
mod trial;
