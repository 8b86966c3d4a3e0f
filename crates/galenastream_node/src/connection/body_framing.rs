//! How the body of a caller's request is delimited.

use http::{HeaderMap, HeaderValue, Version, header};

use super::request_codec::RequestError;

/// How the body of a request is delimited.
pub(super) enum Framing {
    Sized(usize),
    Chunked,
}

/// How the body is delimited. Ambiguous headers are malformed: another server could read an
/// ambiguous message differently, which permits request smuggling.
pub(super) fn body_framing(version: Version, headers: &HeaderMap) -> Result<Framing, RequestError> {
    let length = content_length(headers)?;
    if !headers.contains_key(header::TRANSFER_ENCODING) {
        return Ok(Framing::Sized(length.unwrap_or(0)));
    }
    // RFC 9112, section 6.1: the framing of an HTTP/1.0 message with a coding is faulty.
    if length.is_some() || version == Version::HTTP_10 {
        return Err(RequestError::Malformed);
    }
    let values = headers.get_all(header::TRANSFER_ENCODING).iter();
    let mut codings = values.flat_map(list_elements).filter(|it| !it.is_empty());
    let (mut is_chunked, mut has_other) = (false, false);
    for coding in &mut codings {
        if is_chunked {
            // Nothing may follow the coding that delimits the body.
            return Err(RequestError::Malformed);
        }
        is_chunked = coding.eq_ignore_ascii_case(b"chunked");
        has_other |= !is_chunked;
    }
    match (is_chunked, has_other) {
        (true, false) => Ok(Framing::Chunked),
        (true, true) => Err(RequestError::Unsupported),
        (false, _) => Err(RequestError::Malformed),
    }
}

/// The length that the headers state. It may be repeated (RFC 9110, section 8.6).
fn content_length(headers: &HeaderMap) -> Result<Option<usize>, RequestError> {
    let mut length = None;
    for digits in headers.get_all(header::CONTENT_LENGTH).iter().flat_map(list_elements) {
        if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
            return Err(RequestError::Malformed);
        }
        let stated = number(digits, 10);
        if length.is_some_and(|it| it != stated) {
            return Err(RequestError::Malformed);
        }
        length = Some(stated);
    }
    Ok(length)
}

fn list_elements(value: &HeaderValue) -> impl Iterator<Item = &[u8]> {
    value.as_bytes().split(|it| *it == b',').map(<[u8]>::trim_ascii)
}

/// The value of digits. One that is beyond all sizes is longer than every limit.
pub(super) fn number(digits: &[u8], radix: u32) -> usize {
    let values = digits.iter().filter_map(|it| char::from(*it).to_digit(radix));
    values.fold(0, |sum: usize, it| sum.saturating_mul(radix as usize).saturating_add(it as usize))
}
