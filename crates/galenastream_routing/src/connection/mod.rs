//! State that lives as long as a connection.

mod transit_delay;

pub use transit_delay::*;
