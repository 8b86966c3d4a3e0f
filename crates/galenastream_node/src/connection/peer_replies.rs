//! Writing of replies on the connections that other nodes open.

use std::sync::Arc;

use galenastream_runtime::{FrameWriter, LinkShare, Transfer};
use galenastream_wire::{CorrelatedFrame, PeerFrame, ReplyReason, WireError, peer_frame::Body};
use tokio::{net::tcp::OwnedWriteHalf, sync::mpsc};

use crate::request::unknown;

/// The size of a reply without its body, about.
const REPLY_HEAD_BYTES: usize = 300;

/// What is written on a connection that another node opened.
#[derive(Debug)]
pub(super) enum OutgoingReply {
    /// A message that is written as soon as the connection takes it.
    Prompt(PeerFrame),
    /// A long answer, whose parts wait for turns on the link.
    Paced { frame: PeerFrame, transfer: Transfer },
    /// The other node no longer wants the reply to a request.
    Unwanted { correlation: u64 },
}

/// What a writer does next.
enum NextWrite {
    Reply(Box<OutgoingReply>),
    /// Write a part of a long reply that waits for nothing.
    Part,
    /// Write a part of a long reply, for which there was a turn on the link.
    PacedPart,
}

impl NextWrite {
    fn of_reply(reply: OutgoingReply) -> Self {
        Self::Reply(Box::new(reply))
    }
}

/// Writes replies until the connection ends, or nothing more can be queued.
pub(super) async fn write_replies(
    link: Arc<LinkShare>,
    stream: OwnedWriteHalf,
    mut queue: mpsc::Receiver<OutgoingReply>,
) {
    let mut writer = FrameWriter::new(stream);
    loop {
        let Some(next) = next_write(&mut writer, &mut queue).await else {
            writer.close().await;
            return;
        };
        if let Err(error) = write_next(&link, &mut writer, next).await {
            log::info!(event = "reply_not_written", reason:% = error; "");
            return;
        }
        // Replies that are already queued are sent in one write.
        if queue.is_empty() && writer.flush().await.is_err() {
            return;
        }
    }
}

/// Waits for what is to be written next. Returns `None` at the end of the connection.
async fn next_write(
    writer: &mut FrameWriter<PeerFrame>,
    queue: &mut mpsc::Receiver<OutgoingReply>,
) -> Option<NextWrite> {
    // While parts of long replies are left, they take turns with the replies in the queue.
    if writer.has_parts() {
        return Some(queue.try_recv().map_or(NextWrite::Part, NextWrite::of_reply));
    }
    if !writer.has_paced() {
        return queue.recv().await.map(NextWrite::of_reply);
    }
    tokio::select! {
        biased;
        reply = queue.recv() => reply.map(NextWrite::of_reply),
        () = writer.paced_turn() => Some(NextWrite::PacedPart),
    }
}

/// Writes a reply or a part of one, and a part of a long reply that waits for nothing, if there is
/// one.
async fn write_next(
    link: &LinkShare,
    writer: &mut FrameWriter<PeerFrame>,
    next: NextWrite,
) -> Result<(), WireError> {
    match next {
        NextWrite::Reply(reply) => write_reply(link, writer, *reply).await?,
        NextWrite::Part => {}
        NextWrite::PacedPart => writer.feed_paced_part().await?,
    }
    writer.feed_part(|_| true).await
}

async fn write_reply(
    link: &LinkShare,
    writer: &mut FrameWriter<PeerFrame>,
    reply: OutgoingReply,
) -> Result<(), WireError> {
    match reply {
        OutgoingReply::Prompt(frame) => {
            link.record(frame.body_bytes() + REPLY_HEAD_BYTES);
            let correlation = frame.correlation;
            let result = writer.feed(frame).await;
            replace_too_long(writer, correlation, result).await
        }
        OutgoingReply::Paced { frame, transfer } => {
            let correlation = frame.correlation;
            let result = writer.add_paced(frame, transfer);
            replace_too_long(writer, correlation, result).await
        }
        OutgoingReply::Unwanted { correlation } => {
            writer.forget(correlation);
            Ok(())
        }
    }
}

/// Says to the other node that a reply is too long, if that is why it was not written.
async fn replace_too_long(
    writer: &mut FrameWriter<PeerFrame>,
    correlation: u64,
    result: Result<(), WireError>,
) -> Result<(), WireError> {
    match result {
        Err(error @ WireError::TooLong { .. }) => {
            log::warn!(event = "reply_too_long", reason:% = error; "");
            writer.feed(reply_too_long(correlation)).await
        }
        result => result,
    }
}

/// What is sent in place of a reply that is too long for a connection between nodes.
fn reply_too_long(correlation: u64) -> PeerFrame {
    let reply = unknown(ReplyReason::AnswerTooLong);
    PeerFrame { correlation, body: Some(Body::Reply(reply)) }
}
