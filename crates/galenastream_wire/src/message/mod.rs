//! Protobuf messages between nodes.

mod frame;
mod header;
mod node_status;
mod request;
mod sync;

pub use frame::{Cancel, PeerFrame, peer_frame};
pub use header::Header;
pub use node_status::*;
pub use request::*;
pub use sync::*;
