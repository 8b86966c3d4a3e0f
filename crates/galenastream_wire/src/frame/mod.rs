//! Frames on the TCP connections between nodes.

mod correlated_frame;
mod frame_codec;

pub use correlated_frame::*;
pub use frame_codec::*;
