//! Fuzz tests of headers in messages between nodes: whatever a peer sends, no header is passed on
//! that ends a message, names another host or belongs to the connection.

use bytes::Bytes;
use galenastream_runtime::{append_headers, end_to_end_headers};
use galenastream_standin::fuzz_config;
use galenastream_wire::Header;
use http::HeaderMap;
use proptest::{collection::vec, prelude::*};

const FORBIDDEN: [&str; 6] =
    ["connection", "content-length", "host", "keep-alive", "transfer-encoding", "upgrade"];

fn header() -> impl Strategy<Value = Header> {
    let name = prop_oneof![
        prop::sample::select(&FORBIDDEN[..]).prop_map(str::to_owned),
        "(Content-Length|HOST|x-[a-z]{1,3}|[ -~]{0,5})",
    ];
    let value = prop_oneof![vec(any::<u8>(), 0..8), Just(b"x-a, x-b".to_vec())];
    (name, value).prop_map(|(name, value)| Header { name, value: Bytes::from(value) })
}

/// Guards against a response whose length a peer sets, so that callers read another one behind it.
#[test]
fn the_length_that_a_peer_sends_is_not_passed_on() {
    let mut headers = HeaderMap::new();
    let value = Bytes::from_static(b"0");
    append_headers(&mut headers, &[Header { name: "content-length".to_owned(), value }]);
    assert!(headers.is_empty(), "{headers:?}");
}

proptest! {
    #![proptest_config(fuzz_config(1_000))]

    #[test]
    fn only_end_to_end_headers_of_a_peer_are_passed_on(sent in vec(header(), 0..6)) {
        let mut headers = HeaderMap::new();
        append_headers(&mut headers, &sent);
        for name in headers.keys() {
            prop_assert!(!FORBIDDEN.contains(&name.as_str()), "{:?}", headers);
        }
        for value in headers.values() {
            prop_assert!(!value.as_bytes().iter().any(|it| b"\r\n\0".contains(it)));
        }
        // What is passed on is passed on by the next node as well.
        let mut again = HeaderMap::new();
        append_headers(&mut again, &end_to_end_headers(&headers));
        prop_assert_eq!(again, headers);
    }
}
