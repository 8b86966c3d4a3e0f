//! A stand-in of the platform's store of rows: tables, conditional transactions and change feeds.

mod change_log;
mod fault;
mod row_store_standin;
mod row_table;

pub use fault::StoreFault;
pub use row_store_standin::RowStoreStandin;
