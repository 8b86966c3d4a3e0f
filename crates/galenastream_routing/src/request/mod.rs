//! Values that belong to one request.

mod class;
mod deadline;

pub use class::*;
pub use deadline::*;
