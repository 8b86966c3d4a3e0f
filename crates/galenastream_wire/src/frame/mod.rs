//! Framing of the messages on TCP connections between nodes.

mod correlated_frame;
mod frame_codec;

pub use correlated_frame::CorrelatedFrame;
pub use frame_codec::{FrameCodec, MAX_FRAME_BYTES};
