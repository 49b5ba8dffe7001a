//! Orders to the stand-in's engines over the stand-in's table, fault by fault.

mod issue;
mod permit;
mod review;
mod support;
