//! Rows in the platform's store that all nodes share.

mod shared_row_key;

pub use shared_row_key::{NodeRow, SHARED_ROWS_TABLE, SharedRowKey};
