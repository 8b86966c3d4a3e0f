//! Messages on the TCP connections between nodes.

mod answer;
mod forward;
mod frame;
mod route;
mod settings;
mod ticket;

pub use answer::*;
pub use forward::*;
pub use frame::*;
pub use route::*;
pub use settings::*;
pub use ticket::*;
