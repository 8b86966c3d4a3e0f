//! The headers of the interface, and the ones that are not passed on.

use galenastream_wire::Header;
use http::HeaderMap;

/// The prefix of all headers of the interface.
pub const HEADER_PREFIX: &str = "galenastream-";
/// The key of a request.
pub const KEY: &str = "galenastream-key";
/// The time that is left to answer a request, in milliseconds.
pub const DEADLINE_MS: &str = "galenastream-deadline-ms";
/// A ticket.
pub const TICKET: &str = "galenastream-ticket";
/// The class of a request.
pub const CLASS: &str = "galenastream-class";
/// What became of a request.
pub const OUTCOME: &str = "galenastream-outcome";
/// Why a request did not run, or why nobody knows.
pub const REASON: &str = "galenastream-reason";
/// When to come back, in milliseconds.
pub const RETRY_AFTER_MS: &str = "galenastream-retry-after-ms";
/// Follows a request through logs.
pub const REQUEST_ID: &str = "galenastream-request-id";
/// The VM whose target ran a request.
pub const OWNER: &str = "galenastream-owner";
/// The slice of an order to the target.
pub const SLICE: &str = "galenastream-slice";
/// The epoch of an order to the target.
pub const EPOCH: &str = "galenastream-epoch";
/// The term of an order to the target.
pub const TERM: &str = "galenastream-term";
/// The deadline of an order to the target, in nanoseconds of the VM's boot clock.
pub const DEADLINE_BOOT_NS: &str = "galenastream-deadline-boot-ns";

/// The end-to-end headers of a message without the interface's own.
pub fn end_to_end(headers: &HeaderMap) -> Vec<Header> {
    let mut kept = galenastream_runtime::end_to_end(headers);
    kept.retain(|it| !it.name.starts_with(HEADER_PREFIX));
    kept
}
