//! The real binary against the stand-in platform.

mod audit;
mod backend;
mod budget;
mod fleet;
mod help;
mod instance;
mod manifest;
mod order;
mod retention;
mod support;
