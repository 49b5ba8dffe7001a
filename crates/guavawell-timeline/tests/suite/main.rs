//! Tests of the time line: the merge, the checks and the command line.

mod check;
mod command;
mod env;
mod fleet;
mod merge;
