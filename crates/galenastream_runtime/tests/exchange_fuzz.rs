//! Fuzz tests of an exchange with a server that answers with any bytes: it ends in time, and gives a
//! response only if a strict reader reads the same one.

use std::{sync::LazyLock, time::Duration};

use bytes::Bytes;
use galenastream_runtime::{BodyBuffer, ExchangeError, HttpConnection, WholeResponse};
use galenastream_standin::{Corpus, Pieces, RawServer, StrictMessage, StrictReading, fuzz_config};
use http::Request;
use http_body_util::Full;
use proptest::prelude::*;
use tokio::{
    runtime::{Builder, Runtime},
    time::timeout,
};

const MAX_BODY_BYTES: usize = 4_096;

/// The time within which an exchange ends, as the server closes the connection.
const TEST_TIMEOUT: Duration = Duration::from_secs(3);

static RESPONSES: LazyLock<Corpus> = LazyLock::new(|| {
    Corpus::load(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/corpus/response"))
        .expect("the corpus is in the repository")
});

static RUNTIME: LazyLock<Runtime> = LazyLock::new(|| {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(1).enable_all().build().expect("a runtime starts")
});

fn exchange(bytes: &[u8], pieces: &Pieces) -> Result<WholeResponse, ExchangeError> {
    let pieces = pieces.of(bytes).into_iter().map(<[u8]>::to_vec).collect();
    RUNTIME.block_on(async {
        let server = RawServer::start(pieces).await.expect("a free port");
        let mut connection = HttpConnection::connect(server.address(), TEST_TIMEOUT).await?;
        let request = Request::get("/").header("host", "h").body(Full::new(Bytes::new()));
        let request = request.expect("a valid request");
        let exchange = connection.exchange(request, BodyBuffer::new(MAX_BODY_BYTES));
        let result = timeout(TEST_TIMEOUT, exchange).await.expect("the exchange does not end");
        server.close();
        result
    })
}

/// Checks a response, and returns whether it is accepted.
fn check_response(bytes: &[u8], pieces: &Pieces) -> Result<bool, TestCaseError> {
    let response = match exchange(bytes, pieces) {
        Ok(response) => response,
        Err(ExchangeError::NotSent { reason }) => {
            // The server reads the whole request before it answers.
            prop_assert!(false, "the request was sent: {}", reason);
            return Ok(false);
        }
        Err(ExchangeError::Unknown { .. } | ExchangeError::TooLong { .. }) => return Ok(false),
    };
    prop_assert!(response.body.len() <= MAX_BODY_BYTES);
    match StrictMessage::read_response(bytes) {
        StrictReading::Complete(strict) => {
            prop_assert_eq!(Some(response.parts.status.as_u16()), strict.status());
            prop_assert_eq!(&response.body[..], &strict.body[..]);
            for (name, value) in &response.parts.headers {
                let is_read = strict.values(name.as_str()).any(|it| it == value.as_bytes());
                prop_assert!(is_read, "{}: {:?}", name, value);
            }
        }
        other => {
            let strict = format!("{response:?} was accepted, the strict reading is {other:?}");
            return Err(TestCaseError::fail(strict));
        }
    }
    Ok(true)
}

#[test]
fn kept_responses_are_read_or_refused() {
    for document in RESPONSES.documents() {
        for length in [1, 9, 4_096] {
            let pieces = Pieces::of_length(length);
            let is_accepted = check_response(&document.bytes, &pieces).expect(&document.name);
            assert_eq!(is_accepted, !document.is_refused(), "{}", document.name);
        }
    }
}

proptest! {
    #![proptest_config(fuzz_config(600))]

    #[test]
    fn mutated_responses_are_read_as_by_a_strict_reader_or_refused(
        bytes in RESPONSES.mutated(),
        pieces in Pieces::any(),
    ) {
        check_response(&bytes, &pieces)?;
    }
}
