//! Messages and framing between the system's own processes.

mod control;
mod error;
mod frame;
mod header;
mod identity;
mod mesh;
mod peer;
mod row;

pub use control::*;
pub use error::*;
pub use frame::*;
pub use mesh::*;
pub use peer::*;
pub use row::*;

/// The types that most programs need.
pub mod prelude {
    pub use crate::{
        Answer, Forward, PeerCodec, PeerFrame, RouteQuery, RouteReply, WireError, decode_control,
        decode_row, encode_control, encode_row, peer_frame,
    };
}
