//! Bench.
