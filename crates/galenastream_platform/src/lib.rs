//! Client of the platform's table service and object store.
//!
//! The table service speaks the DynamoDB JSON 1.0 protocol, the object store the S3 REST protocol.
//! Requests are not signed: both are reached at addresses that only the firm's own VMs can reach.
//!
//! Every answer is typed by what is known about the request. A write is said to be
//! [`NotSent`](PutError::NotSent) only if no byte of it can have reached the service. After a
//! timeout, a broken connection or an answer that cannot be read it is
//! [`Unknown`](PutError::Unknown), and may take effect later. Writes are never repeated here:
//! whoever made the write knows whether repeating it is right.

mod process;
mod request;

pub use process::*;
pub use request::*;

/// The types that most programs need.
pub mod prelude {
    pub use crate::{
        CellStore, GetError, ObjectClient, PlatformLimits, PublishError, PutError, SettingsPointer,
        SettingsStore, TableClient, TableRow,
    };
}
