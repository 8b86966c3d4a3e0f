//! The HTTP server under all stand-ins.

mod http_server;
mod reply;
mod signal;

pub use http_server::*;
pub(crate) use reply::*;
pub use signal::*;
