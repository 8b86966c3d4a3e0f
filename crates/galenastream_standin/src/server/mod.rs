//! The HTTP server of all stand-ins.

mod closable_listener;
mod http_server;
mod reply;

pub use http_server::*;
pub(crate) use reply::*;
