//! Small stand-ins of the platform and of a target, and a load tool. For tests and trials only.

mod caller;
mod deployment;
mod load;
mod platform;
mod platform_document;
mod platform_target;
mod row_store;
mod server;
mod target;
mod verdict;

pub use caller::*;
pub use deployment::*;
pub use load::*;
pub use platform::*;
pub use platform_document::*;
pub use platform_target::*;
pub use row_store::*;
pub use server::*;
pub use target::*;
pub use verdict::*;
