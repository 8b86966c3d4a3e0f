//! Messages and framing between nodes, and the rows that they share in the platform's store.
//!
//! A [`PeerFrame`] carries one message; [`FrameCodec`] encodes it with a length prefix. Use both
//! with `tokio_util`'s `Framed`. Decoders accept any bytes: they return a message or a
//! [`WireError`] and do not panic.

mod error;
mod frame;
mod message;
mod row;

pub use error::WireError;
pub use frame::{CorrelatedFrame, FrameCodec, MAX_FRAME_BYTES};
pub use message::*;
pub use row::{
    EraRow, LeaveRecord, LeaveRow, NodeRow, QuarantineRow, SHARED_ROWS_TABLE, SharedRowKey,
};

/// The most commonly used types.
pub mod prelude {
    pub use crate::{
        CorrelatedFrame, ForwardedReply, ForwardedRequest, FrameCodec, PeerFrame, WireError,
        peer_frame,
    };
}
