//! Placeholder entry point, replaced by the first thin path.

fn main() {}
