//! Shell.
