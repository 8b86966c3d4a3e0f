//! Client of the platform's table service and object store.

/// The types that most programs need.
pub mod prelude {}
