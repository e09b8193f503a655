//! The oriolemux binary.
fn main() {}
