//! What lives as long as the process.

mod candidate;
mod cell_view;
mod config;
mod context;
mod coordinator;
mod held_slices;
mod holder;
mod knowledge;
mod outbox;
mod ownership_node;
mod planted_fault;
mod roles;
mod settings_watch;
mod store;
mod witness;

pub(crate) use candidate::*;
pub use cell_view::*;
pub use config::*;
pub(crate) use context::*;
pub(crate) use coordinator::*;
pub use held_slices::*;
pub(crate) use holder::*;
pub(crate) use knowledge::*;
pub(crate) use outbox::*;
pub use ownership_node::*;
pub use planted_fault::*;
pub(crate) use roles::*;
pub(crate) use settings_watch::*;
pub(crate) use store::*;
pub(crate) use witness::*;
