//! Tests of the load tool: whole runs, plans and the command line.

mod command;
mod env;
mod plan;
mod run;
