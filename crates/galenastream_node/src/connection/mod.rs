//! What lives as long as a connection.

mod admin_documents;
mod admin_server;
mod caller_listener;
mod caller_server;
mod peer_error;
mod peer_link;
mod peer_links;
mod peer_server;
mod pending;
mod target_client;

pub use admin_documents::*;
pub use admin_server::*;
pub use caller_listener::*;
pub use caller_server::*;
pub use peer_error::*;
pub use peer_link::*;
pub use peer_links::*;
pub use peer_server::*;
pub use pending::*;
pub use target_client::*;
