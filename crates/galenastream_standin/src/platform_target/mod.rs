//! A stand-in of a target on the platform, with heartbeats, leases on keys, a limited number of
//! slots and faulty answers; and one whose answers do not end.

mod answer_fault;
mod heartbeat_body;
mod heartbeat_sender;
mod platform_target_standin;
mod raw_answer;
mod raw_target;
mod target_announcement;
mod target_conduct;
mod target_crash;
mod target_history;
mod target_leases;
#[cfg(test)]
mod target_leases_tests;
mod target_plan;

pub use answer_fault::TargetAnswerFault;
pub use heartbeat_body::{
    HeartbeatFields, REQUIRED_HEARTBEAT_FIELDS, cold_heartbeat_body, heartbeat_body,
    heartbeat_request,
};
pub use platform_target_standin::PlatformTargetStandin;
pub use raw_answer::RawAnswer;
pub use raw_target::RawTarget;
pub use target_announcement::{TargetAnnouncement, TargetArrival};
pub use target_conduct::TargetConduct;
use target_crash::CRASHING_BODY;
pub use target_crash::{CrashPlan, TargetEnd, crashes_targets};
pub use target_history::{HeldSpan, LimitSpan, TargetHistory, TargetRun};
pub use target_plan::{TargetCapacity, TargetPlan};
