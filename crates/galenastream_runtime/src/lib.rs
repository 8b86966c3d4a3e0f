//! What every daemon needs below its decisions: the boot clock, sockets, HTTP connections, pending
//! replies and the admission desk.
//!
//! Use [`HttpConnection`] where it matters whether a request was sent at all: every exchange ends
//! with a whole response, with the proof that no byte was sent, or as unknown. `volo-http`'s client
//! hides its connections behind a pool, so it drives hyper, the engine below it, connection by
//! connection.

mod admission_controller;
mod clock;
mod connection;
mod error;
mod frame_link;
mod header_fields;
mod log_budget;
mod peer_error;
mod pending;
mod socket;

pub use admission_controller::{AdmissionController, NotAdmitted, Slot};
pub use clock::{boot_now, sleep_until};
pub use connection::{HttpConnection, WholeResponse};
pub use error::ExchangeError;
pub use frame_link::FrameLink;
pub use header_fields::{append_all, end_to_end};
pub use log_budget::LogBudget;
pub use peer_error::PeerError;
pub use pending::{PendingReplies, PendingReply};
pub use socket::{connect_tcp, tune_socket};
