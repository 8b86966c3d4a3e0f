//! What lives for one version of a row.

mod cell_row;
mod slice;
mod witness_set;

pub use cell_row::*;
pub use slice::*;
pub use witness_set::*;
