//! Parsing of the heads of callers' requests.

use http::{HeaderName, HeaderValue, Method, Request, Version};
use httparse::Status;

use super::request_codec::RequestError;

/// Maximum length of a request target that [`http::Uri`] can represent.
const MAX_TARGET_BYTES: usize = 65_534;

/// A head and its length.
pub(super) type ParsedHead = (usize, Box<Request<()>>);

/// Why a head cannot be parsed.
pub(super) enum HeadError {
    /// There are more headers than the parser was given room for.
    TooManyHeaders,
    Request(RequestError),
}

/// Parses a head. Returns `None` if it is incomplete.
pub(super) fn parse_head<'b>(
    bytes: &'b [u8],
    headers: &mut [httparse::Header<'b>],
) -> Result<Option<ParsedHead>, HeadError> {
    let mut parsed = httparse::Request::new(headers);
    match parsed.parse(bytes) {
        Ok(Status::Complete(length)) => {
            let head = build_head(&parsed).map_err(HeadError::Request)?;
            Ok(Some((length, head)))
        }
        Ok(Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooManyHeaders),
        Err(_) => Err(HeadError::Request(RequestError::Malformed)),
    }
}

fn build_head(parsed: &httparse::Request<'_, '_>) -> Result<Box<Request<()>>, RequestError> {
    let (Some(method), Some(target), Some(version)) = (parsed.method, parsed.path, parsed.version)
    else {
        return Err(RequestError::Malformed);
    };
    if target.len() > MAX_TARGET_BYTES {
        return Err(RequestError::Unsupported);
    }
    let mut head = Box::new(Request::new(()));
    *head.method_mut() =
        Method::from_bytes(method.as_bytes()).map_err(|_| RequestError::Malformed)?;
    *head.uri_mut() = target.parse().map_err(|_| RequestError::Malformed)?;
    *head.version_mut() = if version == 0 { Version::HTTP_10 } else { Version::HTTP_11 };
    for field in parsed.headers.iter() {
        // The parser has checked the characters, so that only a name that is too long is refused.
        let name =
            HeaderName::from_bytes(field.name.as_bytes()).map_err(|_| RequestError::Unsupported)?;
        let value = HeaderValue::from_bytes(field.value).map_err(|_| RequestError::Malformed)?;
        head.headers_mut().try_append(name, value).map_err(|_| RequestError::Unsupported)?;
    }
    Ok(head)
}
