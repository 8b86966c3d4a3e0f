//! What lives as long as the process.

mod bootstrap;
mod cell_directory;
mod command_line;
mod control_thread;
pub mod counters;
mod daemon;
mod load_report;
mod logs;
mod member_table;
mod node;
mod ownership_log;
mod request_count;
mod retry_desk;
mod route_table;
mod settings_keeper;
mod settings_sync;
mod shutdown;
mod target_breaker;
mod target_slot;
mod target_watch;
mod ticket_desk;

pub use bootstrap::*;
pub use cell_directory::*;
pub use command_line::*;
pub use control_thread::*;
pub use counters::start_metrics;
pub use daemon::*;
pub use load_report::*;
pub use logs::*;
pub use member_table::*;
pub use node::*;
pub use ownership_log::*;
pub use request_count::*;
pub use retry_desk::*;
pub use route_table::*;
pub use settings_keeper::*;
pub use settings_sync::*;
pub use shutdown::*;
pub use target_breaker::*;
pub use target_slot::*;
pub use target_watch::*;
pub use ticket_desk::*;

pub use galenastream_runtime::{AdmissionDesk, boot_now, milliseconds, sleep_until};
