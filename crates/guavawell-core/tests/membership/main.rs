//! Membership under the failures that it is meant for.

mod bound;
mod failure;
mod property;
mod pump;
mod report;
mod value;
