//! What lives as long as one version of the settings.

mod change;
mod effective;
mod explained;
mod key_range;
mod layer;
mod layer_path;
mod place;
mod removals;
mod resolved;
mod service;
mod tree;

pub use change::*;
pub use effective::*;
pub use explained::*;
pub use key_range::*;
pub(crate) use layer::*;
pub(crate) use layer_path::*;
pub use place::*;
pub use removals::*;
pub(crate) use resolved::*;
pub use service::*;
pub use tree::*;
