//! State and tasks that live as long as the process.

mod command_line;
mod commit;
mod context;
mod control_event;
mod control_loop;
mod control_state;
mod daemon;
mod directory;
mod heartbeats;
mod key_meter;
mod leases;
mod local_target;
mod logs;
mod metrics_page;
mod ownership_facts;
mod peer_book;
mod planning;
mod publication;
mod settings_follower;
mod status_page;
mod store_follower;
mod store_view;
mod traffic_state;

pub use command_line::{CommandLine, command};
pub use context::{NodeContext, SyncSnapshot};
pub use control_event::{ControlEvent, Effect, HeartbeatAnswer};
pub use control_state::ControlState;
pub use daemon::{OPERATORS_PORT, run_daemon};
pub use directory::{Directory, LocalTarget, NodeEntry, TargetEntry};
pub use key_meter::KeyMeter;
pub use leases::HeldLeases;
pub use logs::start_log;
pub use metrics_page::render_metrics;
pub use status_page::{LeasePage, STATUS_PATH, StatusPage, TargetPage};
pub use traffic_state::{CountGuard, TrafficState};
