//! Tests of the load tool: whole runs, plans and the command line.

mod command;
mod engine;
mod env;
mod plan;
mod run;
mod short;
