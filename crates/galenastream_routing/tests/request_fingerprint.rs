//! Which requests are the same request.

use galenastream_routing::{RequestContent, RequestFingerprint};

const CONTENT: RequestContent<'static> = RequestContent {
    method: "POST",
    host: "shop.example",
    path: "/cart/7?add=2",
    caller_service: b"storefront",
    body: b"two",
};

fn fingerprint(content: RequestContent<'_>) -> RequestFingerprint {
    RequestFingerprint::of(&content)
}

#[test]
fn repeats_of_a_request_have_the_same_fingerprint() {
    let repeated = fingerprint(RequestContent { host: "SHOP.example:8080", ..CONTENT });
    assert_eq!(fingerprint(CONTENT), repeated);
}

#[test]
fn requests_that_differ_in_any_part_have_different_fingerprints() {
    let others = [
        RequestContent { method: "PUT", ..CONTENT },
        RequestContent { host: "shops.example", ..CONTENT },
        RequestContent { path: "/cart/7?add=3", ..CONTENT },
        RequestContent { caller_service: b"backoffice", ..CONTENT },
        RequestContent { body: b"three", ..CONTENT },
        // The same bytes, split at another place.
        RequestContent { path: "/cart/7?add=2s", caller_service: b"torefront", ..CONTENT },
        RequestContent { caller_service: b"storefronttwo", body: b"", ..CONTENT },
    ];
    for other in others {
        assert_ne!(fingerprint(CONTENT), fingerprint(other), "{other:?}");
    }
}

#[test]
fn the_texts_of_fingerprints_are_parsed() {
    let fingerprint = fingerprint(CONTENT);
    assert_eq!(RequestFingerprint::parse(&fingerprint.to_string()), Some(fingerprint));
    assert_eq!(RequestFingerprint::from_bytes(&fingerprint.to_bytes()), Some(fingerprint));
    for text in ["", "0", "+0000000000000000000000000000001", "x0000000000000000000000000000000"] {
        assert_eq!(RequestFingerprint::parse(text), None, "{text}");
    }
}
