//! Rows that all nodes share in the platform's store.

mod shared_row_key;

pub use shared_row_key::{NodeRow, SHARED_ROWS_TABLE, SharedRowKey};
