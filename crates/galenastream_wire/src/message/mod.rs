//! Protobuf messages between nodes.

mod frame;
mod header;
mod node_status;
mod part;
mod request;
mod suspect;
mod sync;
mod target_announcement;

pub use frame::{Cancel, PeerFrame, Withdrawal, peer_frame};
pub use header::Header;
pub use node_status::*;
pub use part::Part;
pub use request::*;
pub use suspect::*;
pub use sync::*;
pub use target_announcement::*;
