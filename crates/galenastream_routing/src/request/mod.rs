//! What lives for one request.

mod class;
mod deadline;
mod outcome;
mod retry;

pub use class::*;
pub use deadline::*;
pub use outcome::*;
pub use retry::*;
