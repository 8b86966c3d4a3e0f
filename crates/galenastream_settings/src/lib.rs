//! The tree of settings: services, places and key ranges, with inheritance, checks and versions.

/// The types that most programs need.
pub mod prelude {}
