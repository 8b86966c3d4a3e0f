//! Runtime services of the galenastream programs: the boot clock, sockets, HTTP connections, memory
//! for bodies, connections between nodes, header conversion, admission control and the rate limit for
//! log lines.
//!
//! Use [`HttpConnection`] where it matters whether a request was sent at all: every exchange ends
//! with a complete response, with the guarantee that no byte of the request was sent, or with an
//! unknown outcome. The client of `volo-http` hides its connections behind a pool, so
//! [`HttpConnection`] uses hyper, on which that client is built, one connection at a time.

mod admission_controller;
mod arrival_room;
mod body_buffer;
mod clock;
mod connection;
mod connection_count;
mod connection_slots;
mod counted_frames;
mod error;
mod frame_link;
mod frame_reader;
mod frame_writer;
mod head_limit;
mod header_fields;
mod link_share;
mod log_budget;
mod memory_budget;
mod peer_error;
mod pending;
mod socket;

pub use admission_controller::{AdmissionController, AdmissionPreview, NotAdmitted, Slot};
pub use arrival_room::ArrivalRoom;
pub use body_buffer::{BodyBuffer, BodyTooLong, MAX_BODY_BYTES};
pub use clock::{boot_now, sleep_until};
pub use connection::{HttpConnection, WholeResponse};
pub use connection_count::{ConnectionCount, CountedConnection};
pub use connection_slots::{ConnectionSlot, ConnectionSlots, ConnectionState, RequestInProgress};
pub use error::ExchangeError;
pub use frame_link::FrameLink;
pub use frame_reader::{FrameReader, ReceivedFrame};
pub use frame_writer::FrameWriter;
pub use header_fields::{append_headers, end_to_end_headers};
pub use link_share::{LinkShare, Transfer};
pub use log_budget::LogBudget;
pub use memory_budget::{AnnouncedBody, KeptRoom, MemoryBudget, MemoryReservation};
pub use peer_error::PeerError;
pub use pending::{PendingReplies, PendingReply};
pub use socket::{
    connect_tcp, discard_unsent, limit_queues, set_keep_alive, set_user_timeout, tune_socket,
};
