//! The row of a cell as the table service keeps it.

mod cell_row;

pub use cell_row::*;
