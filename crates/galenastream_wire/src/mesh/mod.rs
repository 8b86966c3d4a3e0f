//! Messages between nodes that share the platform's store.

mod frame;
mod node_status;
mod request;
mod sync;

pub use frame::*;
pub use node_status::*;
pub use request::*;
pub use sync::*;
