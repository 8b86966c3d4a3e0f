//! Fuzz tests of the messages between nodes and of the rows that they share.

use std::sync::LazyLock;

use bytes::BytesMut;
use galenastream_standin::{Corpus, Pieces, fuzz_config};
use galenastream_wire::{
    EraRow, FrameCodec, MAX_FRAME_BYTES, NodeRow, PeerFrame, SharedRowKey, WireError,
};
use proptest::prelude::*;
use prost::Message;
use tokio_util::codec::{Decoder, Encoder};

static FRAMES: LazyLock<Corpus> = LazyLock::new(|| corpus("frame"));
static NODE_ROWS: LazyLock<Corpus> = LazyLock::new(|| corpus("node_row"));
static ERA_ROWS: LazyLock<Corpus> = LazyLock::new(|| corpus("era_row"));

fn corpus(decoder: &str) -> Corpus {
    Corpus::load(format!("{}/tests/corpus/{decoder}", env!("CARGO_MANIFEST_DIR")))
        .expect("the corpus is in the repository")
}

/// Decodes a stream that arrives in pieces and ends, as `FramedRead` does: up to the first error.
fn decode(pieces: &[&[u8]]) -> (Vec<PeerFrame>, Result<(), WireError>) {
    let mut codec = FrameCodec::<PeerFrame>::new();
    let mut buffer = BytesMut::new();
    let mut frames = Vec::new();
    for piece in pieces {
        buffer.extend_from_slice(piece);
        loop {
            match codec.decode(&mut buffer) {
                Ok(Some(frame)) => frames.push(frame),
                Ok(None) => break,
                Err(error) => return (frames, Err(error)),
            }
        }
        // At most one frame and the piece that has arrived are kept.
        assert!(buffer.len() <= MAX_FRAME_BYTES + piece.len() + 4);
    }
    loop {
        match codec.decode_eof(&mut buffer) {
            Ok(Some(frame)) => frames.push(frame),
            Ok(None) => return (frames, Ok(())),
            Err(error) => return (frames, Err(error)),
        }
    }
}

fn encode(frames: &[PeerFrame]) -> BytesMut {
    let mut bytes = BytesMut::new();
    for frame in frames {
        FrameCodec::new().encode(frame.clone(), &mut bytes).expect("a frame within the limit");
    }
    bytes
}

/// Checks a stream, and returns whether it is accepted up to its end.
fn check_stream(bytes: &[u8], pieces: &Pieces) -> Result<bool, TestCaseError> {
    let (frames, end) = decode(&[bytes]);
    let (in_pieces, end_in_pieces) = decode(&pieces.of(bytes));
    prop_assert_eq!(&in_pieces, &frames, "in pieces");
    prop_assert_eq!(end_in_pieces.is_ok(), end.is_ok(), "in pieces");
    let (again, _) = decode(&[&encode(&frames)]);
    prop_assert_eq!(again, frames, "after a round trip");
    Ok(end.is_ok())
}

/// Checks a row, and returns whether it is accepted.
fn check_row<M: Message + Default + PartialEq + std::fmt::Debug>(
    bytes: &[u8],
) -> Result<bool, TestCaseError> {
    let Ok(row) = M::decode(bytes) else {
        return Ok(false);
    };
    prop_assert_eq!(M::decode(&row.encode_to_vec()[..]), Ok(row));
    Ok(true)
}

fn replay(corpus: &Corpus, check: impl Fn(&[u8]) -> Result<bool, TestCaseError>) {
    for document in corpus.documents() {
        let is_accepted = check(&document.bytes).expect(&document.name);
        assert_eq!(is_accepted, !document.is_refused(), "{}", document.name);
    }
}

#[test]
fn kept_streams_are_decoded_or_refused() {
    for length in [1, 2, 3, 5, 64] {
        replay(&FRAMES, |it| check_stream(it, &Pieces::of_length(length)));
    }
}

#[test]
fn kept_rows_are_decoded_or_refused() {
    replay(&NODE_ROWS, check_row::<NodeRow>);
    replay(&ERA_ROWS, check_row::<EraRow>);
}

proptest! {
    #![proptest_config(fuzz_config(4_000))]

    #[test]
    fn mutated_streams_are_decoded_in_pieces_as_in_one(
        bytes in FRAMES.mutated(),
        pieces in Pieces::any(),
    ) {
        check_stream(&bytes, &pieces)?;
    }

    #[test]
    fn mutated_messages_in_a_frame_are_decoded_as_in_one(
        message in FRAMES.mutated(),
        pieces in Pieces::any(),
    ) {
        // A correct length in front, so that the mutations reach the decoder of messages.
        let message = message.get(4..).unwrap_or_default();
        let length = u32::try_from(message.len()).expect("a short message");
        check_stream(&[&length.to_be_bytes()[..], message].concat(), &pieces)?;
    }

    #[test]
    fn mutated_rows_are_decoded_or_refused(
        node_row in NODE_ROWS.mutated(),
        era_row in ERA_ROWS.mutated(),
    ) {
        check_row::<NodeRow>(&node_row)?;
        check_row::<EraRow>(&era_row)?;
    }

    #[test]
    fn keys_of_rows_are_parsed_as_they_are_written(
        key in prop_oneof!["(node/|keys/|settings/|era|tree){0,3}[ -~]{0,12}", any::<String>()],
    ) {
        if let Some(parsed) = SharedRowKey::parse(&key) {
            prop_assert_eq!(parsed.key(), key);
        }
    }
}
