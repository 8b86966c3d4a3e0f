//! One control message in one datagram.

use galenastream_ownership::ControlMessage;
use prost::{
    Message, Oneof,
    bytes::{BufMut, Bytes, BytesMut},
};

use super::{
    beat::{BeatMessage, BeatRefusalMessage, NudgeMessage},
    grant::GrantMessage,
    promise::{PromiseMessage, PromiseRequestMessage},
    seal::{SealReplyMessage, SealRequestMessage},
};
use crate::{WireError, header::Header};

/// The longest datagram that UDP over IPv4 carries, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 65_507;

const HEADER: Header = Header { magic: 0xA7, version: 1 };

#[derive(Clone, PartialEq, Message)]
struct ControlDatagram {
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    body: Option<Body>,
}

#[derive(Clone, PartialEq, Oneof)]
enum Body {
    #[prost(message, tag = "1")]
    Beat(BeatMessage),
    #[prost(message, tag = "2")]
    Grant(GrantMessage),
    #[prost(message, tag = "3")]
    BeatRefusal(BeatRefusalMessage),
    #[prost(message, tag = "4")]
    Nudge(NudgeMessage),
    #[prost(message, tag = "5")]
    PromiseRequest(PromiseRequestMessage),
    #[prost(message, tag = "6")]
    Promise(PromiseMessage),
    #[prost(message, tag = "7")]
    SealRequest(SealRequestMessage),
    #[prost(message, tag = "8")]
    SealReply(SealReplyMessage),
}

/// Writes a control message as a datagram.
///
/// A grant of several thousand slices may be longer than [`MAX_DATAGRAM_BYTES`]; the sender checks.
pub fn encode_control(message: &ControlMessage) -> Bytes {
    let datagram = ControlDatagram { body: Some(Body::from(message)) };
    let mut bytes = BytesMut::with_capacity(Header::LENGTH_BYTES + datagram.encoded_len());
    bytes.put_slice(&HEADER.bytes());
    datagram.encode_raw(&mut bytes);
    bytes.freeze()
}

/// Reads a datagram. Use it on whatever arrives: anything but a whole message is an error.
pub fn decode_control(bytes: &[u8]) -> Result<ControlMessage, WireError> {
    let datagram = ControlDatagram::decode(HEADER.strip(bytes)?)?;
    datagram.body.ok_or(WireError::Missing { field: "body" })?.try_into()
}

impl From<&ControlMessage> for Body {
    fn from(message: &ControlMessage) -> Self {
        match message {
            ControlMessage::Beat(it) => Self::Beat(it.into()),
            ControlMessage::Grant(it) => Self::Grant(it.into()),
            ControlMessage::BeatRefusal(it) => Self::BeatRefusal(it.into()),
            ControlMessage::Nudge(it) => Self::Nudge(it.into()),
            ControlMessage::PromiseRequest(it) => Self::PromiseRequest(it.into()),
            ControlMessage::Promise(it) => Self::Promise(it.into()),
            ControlMessage::SealRequest(it) => Self::SealRequest(it.into()),
            ControlMessage::SealReply(it) => Self::SealReply(it.into()),
        }
    }
}

impl TryFrom<Body> for ControlMessage {
    type Error = WireError;

    fn try_from(body: Body) -> Result<Self, WireError> {
        Ok(match body {
            Body::Beat(it) => Self::Beat(it.try_into()?),
            Body::Grant(it) => Self::Grant(it.try_into()?),
            Body::BeatRefusal(it) => Self::BeatRefusal(it.try_into()?),
            Body::Nudge(it) => Self::Nudge(it.try_into()?),
            Body::PromiseRequest(it) => Self::PromiseRequest(it.try_into()?),
            Body::Promise(it) => Self::Promise(it.try_into()?),
            Body::SealRequest(it) => Self::SealRequest(it.try_into()?),
            Body::SealReply(it) => Self::SealReply(it.try_into()?),
        })
    }
}
