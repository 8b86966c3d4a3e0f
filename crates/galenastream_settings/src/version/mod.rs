//! What lives as long as one version of the settings.

mod change;
mod class;
mod effective;
mod explained;
mod fixed_fields;
mod key_range;
mod layer;
mod place;
mod removals;
mod service;
mod tree;

pub use change::*;
pub use class::*;
pub use effective::*;
pub use explained::*;
pub use fixed_fields::*;
pub use key_range::*;
pub(crate) use layer::*;
pub use place::*;
pub use removals::*;
pub use service::*;
pub use tree::*;
