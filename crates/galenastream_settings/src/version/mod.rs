//! Parsed versions of the settings: resolution of fields and comparison of versions.

mod change;
mod effective;
mod explained;
mod key_range;
mod layer;
mod layer_path;
mod lazy_settings;
mod place;
mod removals;
mod service;
mod tree;

pub use change::*;
pub use effective::*;
pub use explained::*;
pub use key_range::*;
pub(crate) use layer::*;
pub(crate) use layer_path::*;
pub(crate) use lazy_settings::*;
pub use place::*;
pub use removals::*;
pub use service::*;
pub use tree::*;
