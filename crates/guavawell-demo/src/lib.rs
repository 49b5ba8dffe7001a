//! The embedded default: a whole fleet in one process, proved by its report.

pub mod fleet;
pub mod proof;
pub mod scene;
