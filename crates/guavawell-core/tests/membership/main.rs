//! Membership under the failures that it is meant for.

mod failure;
mod pump;
