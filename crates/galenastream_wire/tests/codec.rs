//! Round trips, sizes and bad input of all codecs.

mod samples;

use expect_test::expect;
use galenastream_ownership::{ControlMessage, Epoch, GrantSet, KeyHash, Slice, SliceId};
use galenastream_wire::{
    Cancel, Forward, MAX_FRAME_BYTES, PeerCodec, PeerFrame, WireError, decode_control, decode_row,
    encode_control, encode_row, peer_frame,
};
use proptest::prelude::*;
use prost::bytes::{Bytes, BytesMut};
use samples::*;
use tokio_util::codec::{Decoder, Encoder};

proptest! {
    #[test]
    fn control_messages_survive_a_round_trip(message in control_message()) {
        let bytes = encode_control(&message);
        prop_assert_eq!(decode_control(&bytes), Ok(message));
    }

    #[test]
    fn rows_survive_a_round_trip(row in cell_row()) {
        prop_assert_eq!(decode_row(&encode_row(&row)), Ok(row));
    }

    #[test]
    fn garbage_is_an_error_or_a_valid_message(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode_control(&bytes);
        let _ = decode_row(&bytes);
        let mut behind_header = vec![0xA7, 1];
        behind_header.extend(&bytes);
        let _ = decode_control(&behind_header);
        behind_header[0] = 0xA8;
        let _ = decode_row(&behind_header);
    }

    #[test]
    fn a_cut_datagram_is_an_error(
        message in control_message(),
        cut in any::<prop::sample::Index>(),
    ) {
        let bytes = encode_control(&message);
        let cut = cut.index(bytes.len());
        prop_assert!(decode_control(&bytes[..cut]).is_err());
    }

    #[test]
    fn damaged_messages_never_panic(
        message in control_message(),
        position in any::<prop::sample::Index>(),
        flip in 1u8..,
    ) {
        let mut bytes = encode_control(&message).to_vec();
        let position = position.index(bytes.len());
        bytes[position] ^= flip;
        let _ = decode_control(&bytes);
    }

    #[test]
    fn a_cut_row_is_an_error(
        row in cell_row(),
        cut in any::<prop::sample::Index>(),
    ) {
        let bytes = encode_row(&row);
        let cut = cut.index(bytes.len());
        prop_assert!(decode_row(&bytes[..cut]).is_err());
    }

    #[test]
    fn frames_survive_arrival_in_pieces(
        correlation in any::<u64>(),
        body in prop::collection::vec(any::<u8>(), 0..500),
        piece_bytes in 1usize..40,
    ) {
        let frame = forward_frame(correlation, body);
        let mut codec = PeerCodec::new();
        let mut sent = BytesMut::new();
        codec.encode(frame.clone(), &mut sent).unwrap();
        codec.encode(frame.clone(), &mut sent).unwrap();
        let mut arrived = BytesMut::new();
        let mut frames = Vec::new();
        for piece in sent.chunks(piece_bytes) {
            arrived.extend_from_slice(piece);
            while let Some(frame) = codec.decode(&mut arrived).unwrap() {
                frames.push(frame);
            }
        }
        prop_assert_eq!(frames, vec![frame.clone(), frame]);
    }
}

#[test]
fn steady_messages_are_small() {
    let beat = encode_control(&ControlMessage::Beat(steady_beat())).len();
    let grant = encode_control(&ControlMessage::Grant(steady_grant())).len();
    expect!["beat 62 bytes, grant 64 bytes"]
        .assert_eq(&format!("beat {beat} bytes, grant {grant} bytes"));
}

#[test]
fn a_row_of_4096_slices_is_small() {
    let row = large_row(4_096, 64);
    let bytes = encode_row(&row);
    expect!["54265"].assert_eq(&bytes.len().to_string());
    assert_eq!(decode_row(&bytes), Ok(row));
}

#[test]
fn bad_datagrams_are_named() {
    let whole = encode_control(&ControlMessage::Grant(steady_grant()));
    let mut other_version = whole.to_vec();
    other_version[1] = 9;
    let mut high_bits = steady_grant();
    high_bits.to.vm = galenastream_ownership::VmId::from_bits(u64::MAX);
    let cases: [(&str, Vec<u8>); 7] = [
        ("empty", Vec::new()),
        ("one byte", vec![0xA7]),
        ("foreign", b"GET / HTTP/1.1\r\n\r\n".to_vec()),
        ("other version", other_version),
        ("header alone", vec![0xA7, 1]),
        ("cut off", whole[..whole.len() - 3].to_vec()),
        ("impossible VM", encode_control(&ControlMessage::Grant(high_bits)).to_vec()),
    ];
    let mut report = String::new();
    for (name, bytes) in cases {
        let error = decode_control(&bytes).unwrap_err();
        report += &format!("{name}: {error}\n");
    }
    expect![[r#"
        empty: these bytes are no message of this system; check which program sends to this address
        one byte: these bytes are no message of this system; check which program sends to this address
        foreign: these bytes are no message of this system; check which program sends to this address
        other version: format version 9 is not supported (this program reads version 1); run the same release on both sides
        header alone: the message has no `body`; run the same release on both sides
        cut off: the message is cut off or damaged (failed to decode Protobuf message: ControlDatagram.body: buffer underflow); the sender will repeat it
        impossible VM: `vm` of the message has the impossible value 18446744073709551615; run the same release on both sides
    "#]].assert_eq(&report);
}

#[test]
fn bad_rows_are_named() {
    let mut disordered = large_row(3, 2);
    disordered.slices[2].first = KeyHash(1);
    let mut late_start = large_row(3, 2);
    late_start.slices[0].first = KeyHash(1);
    let whole = encode_row(&large_row(3, 2));
    let cases: [(&str, Bytes); 4] = [
        ("a datagram", encode_control(&ControlMessage::Beat(steady_beat()))),
        ("slices out of order", encode_row(&disordered)),
        ("space not covered", encode_row(&late_start)),
        ("cut off", whole.slice(..whole.len() - 1)),
    ];
    let mut report = String::new();
    for (name, bytes) in cases {
        let error = decode_row(&bytes).unwrap_err();
        report += &format!("{name}: {error}\n");
    }
    expect![[r#"
        a datagram: these bytes are no message of this system; check which program sends to this address
        slices out of order: `firsts` of the message has the impossible value 1; run the same release on both sides
        space not covered: `firsts` of the message has the impossible value 1; run the same release on both sides
        cut off: the message is cut off or damaged (115 of 116 bytes are there); the sender will repeat it
    "#]].assert_eq(&report);
}

#[test]
fn a_granted_slice_that_ends_before_it_begins_is_refused() {
    let mut grant = steady_grant();
    grant.set = GrantSet::Full {
        version: galenastream_ownership::HoldingVersion(1),
        slices: vec![granted_slice(1, 0, 10)],
    };
    let bytes = encode_control(&ControlMessage::Grant(grant.clone()));
    assert!(decode_control(&bytes).is_ok());
    grant.set = GrantSet::Full {
        version: galenastream_ownership::HoldingVersion(1),
        slices: vec![granted_slice(1, 10, 0)],
    };
    let error = decode_control(&encode_control(&ControlMessage::Grant(grant))).unwrap_err();
    assert_eq!(error, WireError::Invalid { field: "last", value: 0 });
}

#[test]
fn an_oversized_frame_is_refused_on_both_sides() {
    let mut codec = PeerCodec::new();
    let frame = forward_frame(1, vec![0; MAX_FRAME_BYTES]);
    let error = codec.encode(frame, &mut BytesMut::new()).unwrap_err();
    assert!(matches!(error, WireError::TooLong { .. }), "{error}");
    let mut announced = BytesMut::from(&[0x7F, 0xFF, 0xFF, 0xFF, 0][..]);
    let error = codec.decode(&mut announced).unwrap_err();
    assert_eq!(
        error,
        WireError::TooLong { length_bytes: 0x7FFF_FFFF, limit_bytes: MAX_FRAME_BYTES }
    );
}

#[test]
fn a_connection_that_ends_inside_a_frame_is_an_error() {
    let mut codec = PeerCodec::new();
    let mut sent = BytesMut::new();
    let frame = PeerFrame { correlation: 7, body: Some(peer_frame::Body::Cancel(Cancel {})) };
    codec.encode(frame, &mut sent).unwrap();
    let mut cut = BytesMut::from(&sent[..sent.len() - 1]);
    let error = codec.decode_eof(&mut cut).unwrap_err();
    assert!(matches!(error, WireError::Malformed { .. }), "{error}");
    assert_eq!(codec.decode_eof(&mut BytesMut::new()), Ok(None));
}

fn forward_frame(correlation: u64, body: Vec<u8>) -> PeerFrame {
    let forward = Forward { body: Bytes::from(body), ..Forward::default() };
    PeerFrame { correlation, body: Some(peer_frame::Body::Forward(forward)) }
}

fn large_row(slices: u32, members: u32) -> galenastream_ownership::CellRow {
    let mut row = base_row();
    let width = u64::MAX / u64::from(slices);
    for index in 0..slices {
        row.slices.push(Slice {
            id: SliceId(index),
            first: KeyHash(width * u64::from(index)),
            epoch: Epoch(u64::from(index) + 1),
            owner: Some(member(index % members)),
        });
    }
    row.next_slice = SliceId(slices);
    row
}
