//! Errors of a tree of settings.

mod settings_error;
mod settings_error_kind;
mod settings_errors;

pub use settings_error::*;
pub use settings_error_kind::*;
pub use settings_errors::*;
