//! Small stand-ins of the platform and of a target, and a load tool. For tests and trials only.

mod caller;
mod deployment;

pub use caller::*;
pub use deployment::*;
