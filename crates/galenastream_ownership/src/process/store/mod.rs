//! Requests to the table service.

mod backoff;
mod pending_write;
mod read_plan;
mod row_reader;
mod store_writer;

pub(crate) use backoff::*;
pub(crate) use pending_write::*;
pub(crate) use read_plan::*;
pub(crate) use row_reader::*;
pub(crate) use store_writer::*;
