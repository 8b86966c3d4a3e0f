//! Command line, output, errors and exit codes of the process.

mod command_line;
mod ctl_error;
mod exit_status;
mod output_format;

pub use command_line::command;
pub use ctl_error::CtlError;
pub use exit_status::{EXIT_CODES, ExitStatus};
pub use output_format::OutputFormat;
