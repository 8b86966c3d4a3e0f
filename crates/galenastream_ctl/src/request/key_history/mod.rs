//! History of a key, folded from lines of nodes' logs.

mod change;
mod evidence;
mod fold;
mod history;
mod hold;
mod log_line;
mod log_time;
mod node_log;
mod overlap;
mod owner_change;
mod ownership_event;
mod proof;
mod unknown_grants;

pub(crate) use change::{Change, ChangeKind, RowWrite};
pub(crate) use evidence::Evidence;
pub(crate) use history::KeyHistory;
pub(crate) use hold::Hold;
pub(crate) use log_line::LogLine;
pub(crate) use log_time::LogTime;
pub(crate) use node_log::{NodeLog, UnreadableLines};
pub(crate) use overlap::{Overlap, OverlapKind};
pub(crate) use owner_change::OwnerChange;
pub(crate) use ownership_event::{Grant, LeaseCallKind, LeaseReply, OwnershipEvent};
pub(crate) use proof::Proof;
pub(crate) use unknown_grants::UnknownGrants;
