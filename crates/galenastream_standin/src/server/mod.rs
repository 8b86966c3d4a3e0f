//! The HTTP server of all stand-ins.

mod http_server;
mod reply;

pub use http_server::*;
pub(crate) use reply::*;
