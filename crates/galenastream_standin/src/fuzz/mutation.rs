//! Changes of a document.

use proptest::{prelude::*, sample::Index};

use crate::Corpus;

/// The largest number of bytes that one mutation removes or inserts.
const MAX_BYTES: usize = 64;

/// Texts that decoders handle apart.
const TOKENS: &[&[u8]] = &[
    b"\r\n",
    b"\n",
    b"\r",
    b"\0",
    b" ",
    b"\t",
    b":",
    b";",
    b",",
    b"/",
    b"\"",
    b"[",
    b"{",
    b"}",
    b"-",
    b"+",
    b"0",
    b"null",
    b"1e400",
    b"NaN",
    b"\xff\xfe",
    b"\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01",
    b"Transfer-Encoding: chunked\r\n",
    b"Content-Length: 3\r\n",
    b"0\r\n\r\n",
];

/// Numbers at the limits of types.
const NUMBERS: &[&[u8]] = &[
    b"0",
    b"-1",
    b"1.5",
    b"65535",
    b"65536",
    b"4294967295",
    b"4294967296",
    b"9223372036854775808",
    b"18446744073709551615",
    b"18446744073709551616",
    b"1e308",
    b"0x10",
    b"007",
    b"",
];

/// A change of a document.
#[derive(Debug, Clone)]
pub enum Mutation {
    /// Flips bits of a byte.
    Flip {
        /// The position.
        at: Index,
        /// The bits.
        mask: u8,
    },
    /// Removes bytes.
    Cut {
        /// The position of the first one.
        from: Index,
        /// How many.
        length: usize,
    },
    /// Removes all bytes after a position.
    Truncate {
        /// The position.
        at: Index,
    },
    /// Repeats bytes behind themselves.
    Duplicate {
        /// The position of the first one.
        from: Index,
        /// How many.
        length: usize,
    },
    /// Inserts bytes of another document.
    Splice {
        /// The other document.
        donor: Index,
        /// The position of the first byte in the other document.
        from: Index,
        /// How many.
        length: usize,
        /// The position where they are inserted.
        at: Index,
    },
    /// Inserts a text that decoders handle apart.
    Insert {
        /// The text.
        token: &'static [u8],
        /// The position.
        at: Index,
    },
    /// Replaces a run of digits by a number at the limits of a type.
    Number {
        /// The run.
        run: Index,
        /// The number.
        number: &'static [u8],
    },
}

impl Mutation {
    /// Any mutation.
    pub fn any() -> impl Strategy<Value = Self> {
        let at = any::<Index>;
        prop_oneof![
            (at(), 1_u8..).prop_map(|(at, mask)| Self::Flip { at, mask }),
            (at(), 1..MAX_BYTES).prop_map(|(from, length)| Self::Cut { from, length }),
            at().prop_map(|at| Self::Truncate { at }),
            (at(), 1..MAX_BYTES).prop_map(|(from, length)| Self::Duplicate { from, length }),
            (at(), at(), 1..MAX_BYTES, at()).prop_map(|(donor, from, length, at)| Self::Splice {
                donor,
                from,
                length,
                at
            }),
            (prop::sample::select(TOKENS), at()).prop_map(|(token, at)| Self::Insert { token, at }),
            (at(), prop::sample::select(NUMBERS))
                .prop_map(|(run, number)| Self::Number { run, number }),
        ]
    }

    /// Applies the mutation to a document of a corpus.
    pub fn apply(&self, bytes: &mut Vec<u8>, corpus: &Corpus) {
        match self {
            Self::Flip { at, mask } => {
                if !bytes.is_empty() {
                    let at = at.index(bytes.len());
                    bytes[at] ^= mask;
                }
            }
            Self::Cut { from, length } => {
                let part = part_of(bytes, from, *length);
                bytes.drain(part);
            }
            Self::Truncate { at } => bytes.truncate(at.index(bytes.len() + 1)),
            Self::Duplicate { from, length } => {
                let part = part_of(bytes, from, *length);
                let repeated = bytes[part.clone()].to_vec();
                insert(bytes, part.end, &repeated);
            }
            Self::Splice { donor, from, length, at } => {
                let donor = &donor.get(corpus.documents()).bytes;
                let at = at.index(bytes.len() + 1);
                insert(bytes, at, &donor[part_of(donor, from, *length)]);
            }
            Self::Insert { token, at } => {
                let at = at.index(bytes.len() + 1);
                insert(bytes, at, token);
            }
            Self::Number { run, number } => {
                let runs = digit_runs(bytes);
                if !runs.is_empty() {
                    bytes.splice(run.get(&runs).clone(), number.iter().copied());
                }
            }
        }
    }
}

fn part_of(bytes: &[u8], from: &Index, length: usize) -> std::ops::Range<usize> {
    let from = from.index(bytes.len() + 1);
    from..(from + length).min(bytes.len())
}

fn insert(bytes: &mut Vec<u8>, at: usize, inserted: &[u8]) {
    bytes.splice(at..at, inserted.iter().copied());
}

fn digit_runs(bytes: &[u8]) -> Vec<std::ops::Range<usize>> {
    let mut runs = Vec::new();
    let mut start = None;
    for (position, byte) in bytes.iter().chain(b" ").enumerate() {
        match (byte.is_ascii_digit(), start) {
            (true, None) => start = Some(position),
            (false, Some(first)) => {
                runs.push(first..position);
                start = None;
            }
            _ => {}
        }
    }
    runs
}
