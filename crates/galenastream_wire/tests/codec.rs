//! Tests of the codec between nodes: round trips, the size limit, the encoding and malformed input.

use bytes::{Bytes, BytesMut};
use expect_test::expect;
use galenastream_wire::{
    Cancel, ForwardedReply, ForwardedRequest, FrameCodec, Header, KeyLoadRecord, MAX_FRAME_BYTES,
    NodeStatus, Part, PeerFrame, ReplyOutcome, ReplyReason, SharedRow, StatusSeen, SyncQuery,
    SyncState, TargetStatus, WireError, Withdrawal, peer_frame::Body,
};
use proptest::prelude::*;
use tokio_util::codec::{Decoder, Encoder};

type PeerCodec = FrameCodec<PeerFrame>;

fn header() -> impl Strategy<Value = Header> {
    ("[a-z-]{1,12}", prop::collection::vec(any::<u8>(), 0..20))
        .prop_map(|(name, value)| Header { name, value: Bytes::from(value) })
}

fn request() -> impl Strategy<Value = Body> {
    let identity = ("[a-z0-9-]{0,12}", "[a-z0-9-]{0,12}", any::<u64>());
    let head = ("GET|POST", "/[a-z/]{0,20}", prop::collection::vec(header(), 0..4));
    let body = prop::collection::vec(any::<u8>(), 0..300);
    (identity, head, body, any::<u32>(), any::<bool>()).prop_map(
        |((request_id, target_id, target_born_ms), (method, path, headers), body, number, flag)| {
            Body::Request(ForwardedRequest {
                request_id,
                target_id,
                target_born_ms,
                method,
                path,
                headers,
                body: Bytes::from(body),
                remaining_ms: number,
                key_plus_one: number % 65_537,
                is_idempotent: flag,
                ..Default::default()
            })
        },
    )
}

fn reply() -> impl Strategy<Value = Body> {
    (any::<u16>(), prop::collection::vec(header(), 0..4), any::<u32>()).prop_map(
        |(status, headers, number)| {
            Body::Reply(ForwardedReply {
                outcome: ReplyOutcome::Answered as i32,
                reason: ReplyReason::None as i32,
                status: u32::from(status),
                headers,
                retry_after_ms: number,
                ..Default::default()
            })
        },
    )
}

fn status() -> impl Strategy<Value = Body> {
    ("[a-z0-9-]{0,12}", any::<u64>(), any::<bool>(), any::<u16>()).prop_map(
        |(node, number, flag, key)| {
            let loads = KeyLoadRecord { first: 0, last: u32::from(key), milli_per_s: number };
            let target = TargetStatus { key_loads: vec![loads], ..Default::default() };
            Body::Status(NodeStatus {
                node,
                started_boot_ns: number,
                is_closing: flag,
                target: Some(target),
                ..Default::default()
            })
        },
    )
}

fn sync_state() -> impl Strategy<Value = Body> {
    (prop::collection::vec(any::<u8>(), 0..200), any::<u64>()).prop_map(|(value, version)| {
        let is_removed = value.is_empty();
        let value = Bytes::from(value);
        let row = SharedRow { key: "keys/carts".to_owned(), value, version, is_removed };
        Body::SyncState(SyncState { rows: vec![row], rows_version: version, ..Default::default() })
    })
}

fn part() -> impl Strategy<Value = Body> {
    let bytes = || prop::collection::vec(any::<u8>(), 0..200).prop_map(Bytes::from);
    (any::<u64>(), bytes(), bytes())
        .prop_map(|(offset, bytes, message)| Body::Part(Part { offset, bytes, message }))
}

fn frame() -> impl Strategy<Value = PeerFrame> {
    let body = prop_oneof![
        request(),
        reply(),
        status(),
        sync_state(),
        part(),
        Just(Body::Cancel(Cancel {})),
        Just(Body::Withdrawal(Withdrawal {})),
        (any::<u64>(), prop::option::of(any::<u64>())).prop_map(
            |(config_version, config_age_ms)| {
                Body::StatusSeen(StatusSeen {
                    config_version,
                    config_age_ms,
                    target_leaving_for_ms: config_age_ms.map(|it| it / 2),
                })
            }
        ),
        any::<u64>()
            .prop_map(|it| Body::SyncQuery(SyncQuery { rows_version: it, config_version: it })),
    ];
    (any::<u64>(), body).prop_map(|(correlation, body)| PeerFrame { correlation, body: Some(body) })
}

fn encode(frame: &PeerFrame) -> BytesMut {
    let mut buffer = BytesMut::new();
    PeerCodec::new().encode(frame.clone(), &mut buffer).expect("the frame is short enough");
    buffer
}

proptest! {
    #[test]
    fn frames_survive_a_round_trip_in_pieces(
        frames in prop::collection::vec(frame(), 1..4),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut bytes = BytesMut::new();
        for frame in &frames {
            bytes.extend_from_slice(&encode(frame));
        }
        let (mut codec, mut buffer, mut decoded) =
            (PeerCodec::new(), BytesMut::new(), Vec::new());
        let cut = cut.index(bytes.len());
        for piece in [&bytes[..cut], &bytes[cut..]] {
            buffer.extend_from_slice(piece);
            while let Some(frame) = codec.decode(&mut buffer).unwrap() {
                decoded.push(frame);
            }
        }
        prop_assert_eq!(decoded, frames);
    }

    #[test]
    fn random_bytes_do_not_make_the_decoder_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let length = u32::try_from(bytes.len()).unwrap();
        let mut framed = BytesMut::from(&length.to_be_bytes()[..]);
        framed.extend_from_slice(&bytes);
        let _ = PeerCodec::new().decode(&mut framed);
        let _ = PeerCodec::new().decode(&mut BytesMut::from(&bytes[..]));
    }

    #[test]
    fn corrupted_frames_do_not_make_the_decoder_panic(
        frame in frame(),
        position in any::<prop::sample::Index>(),
        flip in 1_u8..,
    ) {
        let mut bytes = encode(&frame);
        let position = position.index(bytes.len());
        bytes[position] ^= flip;
        let _ = PeerCodec::new().decode(&mut bytes);
    }

    #[test]
    fn a_frame_that_is_cut_off_is_an_error_at_the_end_of_the_connection(
        frame in frame(),
        cut in any::<prop::sample::Index>(),
    ) {
        let bytes = encode(&frame);
        let cut = cut.index(bytes.len() - 1) + 1;
        let mut buffer = BytesMut::from(&bytes[..cut]);
        let decoded = PeerCodec::new().decode_eof(&mut buffer);
        let is_cut = matches!(decoded, Err(WireError::Malformed { .. }));
        prop_assert_eq!(is_cut, cut < bytes.len(), "{:?}", decoded);
    }
}

#[test]
fn a_frame_above_the_limit_is_neither_sent_nor_read() {
    let body = Bytes::from(vec![0; MAX_FRAME_BYTES]);
    let request = ForwardedRequest { body, ..Default::default() };
    let frame = PeerFrame { correlation: 1, body: Some(Body::Request(request)) };
    let error = PeerCodec::new().encode(frame, &mut BytesMut::new()).unwrap_err();
    expect![
        "a message of 4194316 bytes is longer than the limit of 4194304 bytes; send a smaller body"
    ]
    .assert_eq(&error.to_string());
    let announced = u32::try_from(MAX_FRAME_BYTES + 1).unwrap().to_be_bytes();
    let error = PeerCodec::new().decode(&mut BytesMut::from(&announced[..])).unwrap_err();
    assert!(matches!(error, WireError::TooLong { .. }), "{error}");
}

#[test]
fn the_bytes_of_a_frame_stay_the_same() {
    let query = SyncQuery { config_version: 3, rows_version: 300 };
    let frame = PeerFrame { correlation: 7, body: Some(Body::SyncQuery(query)) };
    let bytes: Vec<String> = encode(&frame).iter().map(|it| format!("{it:02x}")).collect();
    expect!["00 00 00 09 08 07 3a 05 08 03 10 ac 02"].assert_eq(&bytes.join(" "));
}
