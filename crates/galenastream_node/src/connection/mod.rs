//! Items that live as long as a connection: the servers for callers, targets, peers and operators,
//! and the clients of peers and of the target.

mod accept;
mod answered_requests;
mod body_framing;
mod caller_connections;
#[cfg(test)]
mod caller_connections_tests;
mod chunked_body;
mod control_connections;
mod outgoing;
mod peer_connections;
mod peer_links;
mod peer_replies;
mod request_codec;
#[cfg(test)]
mod request_codec_fuzz_tests;
#[cfg(test)]
mod request_codec_tests;
mod request_head;
#[cfg(test)]
mod request_memory_tests;
mod served_connections;
mod target_connections;
#[cfg(test)]
mod target_connections_tests;

pub use caller_connections::serve_callers;
pub use control_connections::{serve_control, serve_health, serve_operators};
pub use peer_connections::serve_peers;
pub use peer_links::{PeerLinks, exchange_statuses};
pub use request_codec::RequestError;
pub use served_connections::ServedConnections;
pub use target_connections::{TargetConnections, TargetResult};
