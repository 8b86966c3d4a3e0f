//! What lives for one request to the platform.

mod dynamo;
mod error;
mod table_row;

pub(crate) use dynamo::*;
pub use error::*;
pub use table_row::*;
