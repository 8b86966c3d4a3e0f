//! The settings file of a VM and the config, as the platform and its operators write them.

mod config_document;
mod settings_document;

pub use config_document::{LimitFields, RouteFields, config_document};
pub use settings_document::{MEMORY_LIMIT_MB, ResourceLimits, SettingsFields, settings_document};
