//! Tests of what a response at a target's address proves.

use galenastream_adapter::header_names;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use super::response_proof::ResponseProof;

const ID: (&str, &str) = (header_names::REQUEST_ID, "r-1");
const OTHER_ID: (&str, &str) = (header_names::REQUEST_ID, "r-2");
const SIGNED: (&str, &str) = (header_names::SIGNATURE, "3e1b.07.5a2");
const NOT_RUN: (&str, &str) = (header_names::NOT_RUN, "1");
const ENCODED: (&str, &str) = ("content-encoding", "gzip");

fn proof(status: u16, headers: &[(&'static str, &'static str)]) -> ResponseProof {
    proof_on(true, status, headers)
}

fn proof_on(
    is_first: bool,
    status: u16,
    headers: &[(&'static str, &'static str)],
) -> ResponseProof {
    let headers: HeaderMap = headers
        .iter()
        .map(|(name, value)| (HeaderName::from_static(name), HeaderValue::from_static(value)))
        .collect();
    ResponseProof::of(StatusCode::from_u16(status).unwrap(), &headers, ("r-1", "i-1"), is_first)
}

#[test]
fn only_a_signed_response_with_the_id_of_the_request_is_an_answer() {
    for status in [200, 204, 302, 400, 401, 403, 404, 408, 413, 429, 500, 503, 504] {
        assert_eq!(proof(status, &[ID, SIGNED]), ResponseProof::Answer, "{status}");
        assert_eq!(proof(status, &[ID]), ResponseProof::Unsigned, "{status}");
        assert_eq!(proof(status, &[SIGNED]), ResponseProof::Stray, "{status}");
        assert_eq!(proof(status, &[]), ResponseProof::Stray, "{status}");
        assert_eq!(proof(status, &[OTHER_ID, SIGNED]), ResponseProof::Stray, "{status}");
    }
    let blank = (header_names::SIGNATURE, " ");
    assert_eq!(proof(200, &[ID, blank]), ResponseProof::Unsigned);
    assert_eq!(proof(200, &[ID, SIGNED, SIGNED]), ResponseProof::Unsigned);
    assert_eq!(proof(200, &[ID, OTHER_ID, SIGNED]), ResponseProof::Stray);
    assert_eq!(proof(200, &[ID, SIGNED, ENCODED]), ResponseProof::Encoded);
}

#[test]
fn a_refusal_needs_no_signature() {
    for status in [400, 429, 503] {
        assert_eq!(proof(status, &[ID, NOT_RUN]), ResponseProof::NotRun, "{status}");
        assert_eq!(proof(status, &[NOT_RUN]), ResponseProof::NotRun, "{status}");
        assert_eq!(proof(status, &[OTHER_ID, NOT_RUN]), ResponseProof::Stray, "{status}");
    }
}

/// Guards against a late copy of another request's refusal.
#[test]
fn a_refusal_without_an_id_counts_only_as_the_first_response_of_its_connection() {
    let other = (header_names::TARGET_ID, "i-2");
    for status in [400, 429, 503] {
        assert_eq!(proof_on(false, status, &[NOT_RUN]), ResponseProof::Stray, "{status}");
        assert_eq!(proof_on(false, status, &[ID, NOT_RUN]), ResponseProof::NotRun, "{status}");
    }
    assert_eq!(proof_on(false, 421, &[other]), ResponseProof::Stray);
    assert_eq!(proof_on(false, 421, &[NOT_RUN]), ResponseProof::Stray);
    assert_eq!(proof_on(false, 421, &[ID, other]), ResponseProof::Misdirected);
}

/// Guards against requests that end as lost although another target at the address refused them.
#[test]
fn a_misdirected_request_did_not_run_if_its_id_or_another_target_is_named() {
    let own = (header_names::TARGET_ID, "i-1");
    let other = (header_names::TARGET_ID, "i-2");
    assert_eq!(proof(421, &[ID, NOT_RUN]), ResponseProof::Misdirected);
    assert_eq!(proof(421, &[ID, other]), ResponseProof::Misdirected);
    assert_eq!(proof(421, &[other]), ResponseProof::Misdirected);
    assert_eq!(proof(421, &[own]), ResponseProof::Stray);
    assert_eq!(proof(421, &[]), ResponseProof::Stray);
    assert_eq!(proof(421, &[OTHER_ID, other]), ResponseProof::Stray);
    assert_eq!(proof(200, &[other, SIGNED]), ResponseProof::Stray);
}

/// Guards against requests that run twice because a target in trouble ran them and answered with a
/// status that is a promise.
#[test]
fn a_bare_status_421_proves_nothing() {
    assert_eq!(proof(421, &[ID]), ResponseProof::Unsigned);
    assert_eq!(proof(421, &[ID, (header_names::TARGET_ID, "i-1")]), ResponseProof::Unsigned);
    assert_eq!(proof(421, &[ID, SIGNED]), ResponseProof::Answer);
}

/// Guards against answers of requests that ran and are taken for refusals.
#[test]
fn a_success_or_a_signed_response_is_no_refusal() {
    assert_eq!(proof(200, &[NOT_RUN]), ResponseProof::Stray);
    assert_eq!(proof(200, &[ID, NOT_RUN]), ResponseProof::Unsigned);
    assert_eq!(proof(503, &[NOT_RUN, SIGNED]), ResponseProof::Stray);
    assert_eq!(proof(503, &[ID, NOT_RUN, SIGNED]), ResponseProof::Answer);
    assert_eq!(proof(101, &[ID, SIGNED]), ResponseProof::Unsigned);
}
