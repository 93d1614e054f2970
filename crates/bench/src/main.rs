//! Load and measurement of briargap.

fn main() {}
