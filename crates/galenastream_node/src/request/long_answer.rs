//! Room for answers: in the memory of the node, and on the link of the VM for long ones.
//!
//! Load pattern: callers do not read their answers, which stay in memory. The long answers of a service
//! want as much as the links of its VMs carry. A request whose answer could not be held, or sent in time,
//! would use a slot of the target in vain, and keep the link from others.

use std::time::Duration;

use galenastream_routing::{Deadline, MemoryNeed, TransferOrder};
use galenastream_runtime::{AnnouncedBody, Transfer, boot_now};
use galenastream_wire::{ForwardedReply, ForwardedRequest, ReplyReason};

use super::{
    caller_request::CallerRequest,
    refusal::Refusal,
    target_reply::{MOVING_RETRY_AFTER_MS, not_sent},
    target_run::AnswerWay,
};
use crate::process::TrafficState;

/// An answer that will be late is sent only while the link would keep it waiting for less than this.
const MAX_LATE_WAIT: Duration = Duration::from_millis(100);

/// Soft deadline and deadline of a request.
pub(super) type Deadlines = (Deadline, Deadline);

/// Whether there is room for one more answer. If there is too little, callers that do not read theirs are
/// disconnected.
pub(super) fn has_room_for_answer(traffic: &TrafficState) -> bool {
    let missing_bytes = traffic.memory_budgets.missing_for_answers();
    missing_bytes == 0 || traffic.caller_slots.free_memory(MemoryNeed::Answer, missing_bytes)
}

/// Announces the answer to a caller's request, if it is of the kind with long answers. Callers that read
/// slowly keep theirs in memory for as long as they read. Refuses any request if there is too little
/// memory left, before it runs.
pub(super) fn announce_answer(
    traffic: &TrafficState,
    request: &CallerRequest,
) -> Result<Option<AnnouncedBody>, Refusal> {
    if !has_room_for_answer(traffic) {
        return Err(Refusal::NoMemory);
    }
    if !request.route.kind.has_long_answers() {
        return Ok(None);
    }
    let expected_bytes = traffic.caller_answers.expected_bytes();
    match traffic.memory_budgets.answers.announce(expected_bytes) {
        Some(announced) => Ok(Some(announced)),
        None => Err(Refusal::NoMemory),
    }
}

/// Announces the transfer of a long answer, and returns it with the deadlines by which the target has
/// to have answered. Returns the reply to a request whose answer could not be sent in time.
pub(super) fn plan_transfer(
    traffic: &TrafficState,
    request: &ForwardedRequest,
    way: AnswerWay,
    deadlines: Deadlines,
) -> Result<(Option<Transfer>, Deadlines), ForwardedReply> {
    if !request.has_long_answer || way == AnswerWay::Local {
        return Ok((None, deadlines));
    }
    let (soft_deadline, deadline) = deadlines;
    let now = boot_now();
    let rank = u8::try_from(request.rank).unwrap_or(u8::MAX);
    let order = TransferOrder { rank, due: soft_deadline.min(deadline).at() };
    let (wait, duration) = traffic.link.expected_times(order);
    let has_memory = traffic.memory_budgets.answers.has_room_for(traffic.link.mean_answer_bytes());
    let sent_at = now + wait + duration;
    let is_late = soft_deadline.has_passed(sent_at) && wait > MAX_LATE_WAIT;
    if is_late || deadline.has_passed(sent_at) || !has_memory {
        // The link is free for it once it has sent what would be too late.
        let free_in = (wait + duration).saturating_sub(soft_deadline.remaining(now));
        let free_in_ms = u32::try_from(free_in.max(duration).as_millis()).unwrap_or(u32::MAX);
        let retry_after_ms = free_in_ms.max(MOVING_RETRY_AFTER_MS);
        return Err(not_sent(ReplyReason::NoRoomForAnswer, retry_after_ms));
    }
    let earlier = |it: Deadline| {
        let remaining = it.remaining(now).saturating_sub(duration);
        Deadline::new(now, u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX))
    };
    let deadlines = (earlier(soft_deadline), earlier(deadline));
    Ok((Some(traffic.link.announce(order)), deadlines))
}
