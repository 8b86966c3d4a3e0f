//! Messages and framing between the system's own processes.

mod peer;

pub use peer::*;

/// The types that most programs need.
pub mod prelude {
    pub use crate::{Answer, Forward, PeerFrame, RouteQuery, RouteReply, peer_frame};
}
