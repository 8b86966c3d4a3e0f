//! Messages and framing between nodes, and the rows that they share in the platform's store.
//!
//! One [`PeerFrame`] carries one message; [`FrameCodec`] reads and writes it behind its length. Use
//! both with `tokio_util`'s `Framed`. Decoders accept any bytes: they end with a message or a
//! [`WireError`].

mod error;
mod frame;
mod message;
mod row;

pub use error::WireError;
pub use frame::{CorrelatedFrame, FrameCodec, MAX_FRAME_BYTES};
pub use message::*;
pub use row::{NodeRow, SHARED_ROWS_TABLE, SharedRowKey};

/// The types that most programs need.
pub mod prelude {
    pub use crate::{
        CorrelatedFrame, ForwardedReply, ForwardedRequest, FrameCodec, PeerFrame, WireError,
        peer_frame,
    };
}
