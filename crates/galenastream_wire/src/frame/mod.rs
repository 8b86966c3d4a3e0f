//! Frames on the TCP connections between nodes.

mod peer_codec;

pub use peer_codec::*;
