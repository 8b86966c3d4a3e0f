//! State and tasks that live as long as the process.

mod answer_sizes;
#[cfg(test)]
mod answer_sizes_tests;
mod cold_start;
mod command_line;
mod commit;
mod config_confirmation;
mod connection_limits;
mod context;
mod control_event;
mod control_loop;
mod control_queue;
mod control_state;
mod daemon;
mod directory;
mod evacuations;
mod heartbeats;
mod key_meter;
mod lease_call_client;
#[cfg(test)]
mod lease_call_client_tests;
mod lease_calls;
mod leases;
mod local_announcement;
mod local_limit;
#[cfg(test)]
mod local_limit_tests;
mod local_target;
mod logs;
mod memory_budgets;
#[cfg(test)]
mod memory_budgets_tests;
mod metrics_page;
mod ownership_facts;
mod ownership_log;
mod peer_book;
mod planning;
mod process_end;
mod publication;
mod quarantine_spread;
mod remembered_announcements;
mod request_quarantine;
mod row_confirmation;
mod row_versions;
mod settings_follower;
mod status_page;
mod store_eras;
mod store_follower;
mod store_view;
mod stored_config;
mod target_health;
mod target_leave;
mod target_limit;
mod target_probe;
mod target_probes;
mod traffic_state;
mod traffic_tally;
mod unseen_leave;
mod written_row;
#[cfg(test)]
mod written_row_tests;

pub use answer_sizes::AnswerSizes;
pub use command_line::{CommandLine, command};
pub use connection_limits::ConnectionLimits;
pub use context::{NodeContext, SyncSnapshot};
pub use control_event::{ControlEvent, Effect, HeartbeatAnswer};
pub use control_queue::ControlQueue;
pub use control_state::ControlState;
pub use daemon::{OPERATORS_PORT, run_daemon};
pub use directory::{Directory, LocalTarget, NodeEntry, TargetEntry};
pub use key_meter::KeyMeter;
pub use lease_calls::CallBasis;
pub use leases::HeldLeases;
pub use local_announcement::LocalAnnouncement;
pub use logs::{flush_log, start_log};
pub use memory_budgets::{MemoryBudgets, request_bytes};
pub use metrics_page::{
    maintain_recorder, metrics_recorder, metrics_recorder_with_idle_time, render_metrics,
};
pub use process_end::ProcessEnd;
pub use remembered_announcements::{RememberedAnnouncements, earliest, elapsed_ms};
pub use request_quarantine::{RequestQuarantine, decode_suspect, describe_request, encode_suspect};
pub use status_page::{
    EvacuatedPage, LeasePage, RefusedConfigPage, STATUS_PATH, StatusPage, TargetPage,
};
pub use stored_config::{StoredConfig, StoredConfigContent};
pub use target_health::TargetHealth;
pub use target_limit::TargetLimit;
pub use target_probe::{ProbeAnswer, TargetProbe};
pub use traffic_state::{CountGuard, RunningSuspect, TrafficState};
pub use traffic_tally::TrafficTally;
pub use written_row::WrittenRow;
