//! The tree of settings: services, places and key ranges, with inheritance, checks and versions.
//!
//! A tree is read from one TOML file. Each level inherits from its parent unless it overrides:
//! root, service, place, key range. A tree is immutable once it is parsed.

mod error;
mod field;
mod parse;
mod version;

pub use error::*;
pub use field::*;
pub use parse::suggest;
pub use version::*;

/// The types that most programs need.
pub mod prelude {
    pub use crate::{EffectiveSettings, Level, SettingsError, SettingsErrors, SettingsTree};
}
