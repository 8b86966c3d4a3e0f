//! The tree of settings: services, places and key ranges, with inheritance, validation and
//! comparison of versions.
//!
//! A tree is parsed from one TOML file and is immutable from then on. Each level (root, service,
//! place, key range) inherits the fields that it does not set from its parent.

mod error;
mod field;
mod parse;
mod version;

pub use error::*;
pub use field::*;
pub use parse::suggest;
pub use version::*;

/// The types that most programs use.
pub mod prelude {
    pub use crate::{EffectiveSettings, Level, SettingsError, SettingsErrors, SettingsTree};
}
