//! The platform's own limits: who may write to it, how often, and when to stop trying.

pub mod class;

pub use class::WriteClass;
