//! Datagrams between the control threads of nodes.

mod beat;
mod datagram;
mod grant;
mod promise;
mod seal;

pub use datagram::*;
