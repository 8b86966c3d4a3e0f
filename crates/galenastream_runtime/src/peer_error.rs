//! Errors of requests to another node.

use thiserror::Error;

/// Why a request to another node got no usable reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PeerError {
    /// There is no connection: it was refused or has broken, or an earlier attempt to open it has
    /// just failed. Nothing was sent.
    #[error("there is no connection to the node; its VM may have stopped")]
    NotSent,
    /// Opening a connection timed out. Nothing was sent.
    #[error("the connection to the node timed out; the network between the VMs may be interrupted")]
    Unreachable,
    /// The write queue of the connection is full. Nothing was sent.
    #[error("the write queue to the node is full; retry later")]
    QueueFull,
    /// The request is longer than a connection between nodes carries. Nothing was sent.
    #[error("the request is too long for a connection between nodes; send a smaller body")]
    RequestTooLong,
    /// The reply is longer than this node takes, or than its memory allows now. The request may have
    /// run.
    #[error("the reply is too long; let targets send less, or fewer long answers at once")]
    ReplyTooLong,
    /// The connection broke before the reply. The request may have run.
    #[error("the connection broke after the request was sent")]
    Lost,
    /// The reply timed out. The request may have run.
    #[error("no reply came before the deadline")]
    TimedOut,
    /// The reply is not of the kind that belongs to the request.
    #[error("the reply is of an unexpected kind; run the same release on all nodes")]
    Unexpected,
}

impl PeerError {
    /// The word for metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not-sent",
            Self::Unreachable => "unreachable",
            Self::QueueFull => "queue-full",
            Self::RequestTooLong => "request-too-long",
            Self::ReplyTooLong => "reply-too-long",
            Self::Lost => "lost",
            Self::TimedOut => "timed-out",
            Self::Unexpected => "unexpected",
        }
    }
}
