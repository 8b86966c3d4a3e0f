//! What lives as long as a connection.

mod admin_documents;
mod admin_server;
mod caller_listener;
mod caller_server;
mod peer_links;
mod peer_server;
mod target_client;

pub use admin_documents::*;
pub use admin_server::*;
pub use caller_listener::*;
pub use caller_server::*;
pub use peer_links::*;
pub use peer_server::*;
pub use target_client::*;

pub use galenastream_runtime::PeerError;

/// A connection to another node.
pub type PeerLink = galenastream_runtime::FrameLink<galenastream_wire::PeerFrame>;
