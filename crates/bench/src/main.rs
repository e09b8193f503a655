//! The bench binary.
fn main() {}
