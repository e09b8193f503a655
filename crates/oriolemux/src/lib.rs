//! Shell.

pub mod callers;
