//! Requests that crash the servers that run them: fingerprints, what one instance
//! believes, and a fleet whose instances tell each other.

mod fingerprint;
mod fleet;
mod simulation;
mod table;
