//! The pieces in which bytes arrive.

use proptest::{collection::vec, prelude::*};

/// The lengths of the pieces in which bytes arrive, repeated until the end.
#[derive(Debug, Clone)]
pub struct Pieces {
    lengths: Vec<usize>,
}

impl Pieces {
    /// Any pieces, many of them of one byte.
    pub fn any() -> impl Strategy<Value = Self> {
        vec(prop_oneof![Just(1_usize), 1_usize..8, 1_usize..200], 1..8)
            .prop_map(|lengths| Self { lengths })
    }

    /// Pieces of one length, which is at least 1.
    pub fn of_length(length: usize) -> Self {
        Self { lengths: vec![length] }
    }

    /// Cuts bytes into the pieces.
    pub fn of<'a>(&self, bytes: &'a [u8]) -> Vec<&'a [u8]> {
        let mut pieces = Vec::new();
        let mut rest = bytes;
        for length in self.lengths.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, after) = rest.split_at((*length).min(rest.len()));
            pieces.push(piece);
            rest = after;
        }
        pieces
    }
}
