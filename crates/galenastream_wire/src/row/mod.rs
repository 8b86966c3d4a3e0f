//! Rows in the platform's store that all nodes share.

mod era_row;
mod leave_row;
mod quarantine_row;
mod shared_row_key;

pub use era_row::EraRow;
pub use leave_row::{LeaveRecord, LeaveRow};
pub use quarantine_row::QuarantineRow;
pub use shared_row_key::{NodeRow, SHARED_ROWS_TABLE, SharedRowKey};
