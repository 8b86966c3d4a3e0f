//! What lives as long as the process.

mod config;
mod held_slices;
mod ownership_node;

pub use config::*;
pub use held_slices::*;
pub use ownership_node::*;
