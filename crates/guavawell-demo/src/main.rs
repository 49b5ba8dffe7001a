//! `guavawell-demo`: the embedded default.

fn main() {}
