//! What lives as long as the process: the command line, its errors and exit codes.

mod command_line;
mod ctl_error;
mod exit_status;
mod output_format;

pub use command_line::*;
pub use ctl_error::*;
pub use exit_status::*;
pub use output_format::*;
