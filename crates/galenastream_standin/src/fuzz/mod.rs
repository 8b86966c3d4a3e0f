//! Hostile input for the decoders: kept documents, mutations of them, the pieces in which bytes
//! arrive, a server that answers with any bytes, and a strict reader of HTTP/1.1 to compare with.

mod corpus;
mod fuzz_config;
mod mutation;
mod pieces;
mod raw_server;
mod strict_message;

pub use corpus::*;
pub use fuzz_config::*;
pub use mutation::*;
pub use pieces::*;
pub use raw_server::*;
pub use strict_message::*;
