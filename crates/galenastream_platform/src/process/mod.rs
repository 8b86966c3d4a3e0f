//! What lives as long as the process: connections to the platform.

mod backoff;
mod cell_store;
mod endpoint;
mod limits;
mod names;
mod object_client;
mod settings_store;
mod table_client;

pub use cell_store::*;
pub use limits::*;
pub use names::*;
pub use object_client::*;
pub use settings_store::*;
pub use table_client::*;
