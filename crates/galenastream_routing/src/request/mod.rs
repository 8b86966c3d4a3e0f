//! Values that belong to one request.

mod class;
mod deadline;
mod request_fingerprint;
mod request_rate;

pub use class::*;
pub use deadline::*;
pub use request_fingerprint::*;
pub use request_rate::*;
