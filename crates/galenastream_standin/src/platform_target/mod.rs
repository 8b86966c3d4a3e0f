//! A stand-in of a target on the platform: heartbeats, leases on keys, and answers that go wrong.

mod answer_fault;
mod heartbeat_body;
mod heartbeat_sender;
mod platform_target_standin;
mod target_leases;

pub use answer_fault::TargetAnswerFault;
pub use heartbeat_body::{HeartbeatFields, heartbeat_body};
pub use platform_target_standin::{PlatformTargetStandin, TargetRun};
