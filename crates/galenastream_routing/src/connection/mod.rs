//! State that lives as long as a connection.

mod connection_use;
mod transit_delay;

pub use connection_use::*;
pub use transit_delay::*;
