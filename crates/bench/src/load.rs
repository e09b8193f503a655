//! A caller that records what it got, byte for byte.
