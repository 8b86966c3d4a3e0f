//! The fields that a tree may set, in one table that parsing, validation and the reference page
//! share.

mod field_id;
mod field_kind;
mod field_set;
mod field_spec;
mod level;
mod table;

pub use field_id::*;
pub use field_kind::*;
pub(crate) use field_set::*;
pub use field_spec::*;
pub use level::*;
pub use table::*;
