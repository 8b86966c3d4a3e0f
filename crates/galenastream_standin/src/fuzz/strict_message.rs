//! Strict reader of HTTP/1.1 messages, to compare other readers with.

use std::str;

/// An HTTP/1.1 message that was read by the letter of RFC 9112, with the end of a line as the only
/// tolerance: in the head, a line may end with LF alone, as section 2.2 permits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StrictMessage {
    /// The request line or the status line.
    pub start_line: Vec<u8>,
    /// The names, in lower case, and the values of the headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body without the framing of chunks.
    pub body: Vec<u8>,
    /// The number of bytes of the whole message.
    pub length_bytes: usize,
}

/// What a strict reader makes of bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StrictReading {
    /// A complete message comes first.
    Complete(StrictMessage),
    /// The message goes on after the bytes.
    Incomplete,
    /// The bytes are no valid message, or its length is ambiguous.
    Refused,
}

/// Why there is no complete message.
enum Stop {
    Incomplete,
    Refused,
}

/// Unread bytes.
struct Reader<'a> {
    rest: &'a [u8],
}

impl StrictMessage {
    /// Reads the first request of a stream.
    pub fn read_request(bytes: &[u8]) -> StrictReading {
        StrictReading::from(read(bytes, |message, reader| {
            let line = str::from_utf8(&message.start_line).map_err(|_| Stop::Refused)?;
            let version = line.rsplit(' ').next().unwrap_or_default();
            let has_codings = message.values("transfer-encoding").next().is_some();
            let has_lengths = message.values("content-length").next().is_some();
            match (has_codings, has_lengths) {
                (false, false) => Ok(Vec::new()),
                (false, true) => reader.take(message.repeated_length()?),
                (true, false) if version == "HTTP/1.1" && message.is_only_chunked() => {
                    reader.chunks()
                }
                (true, _) => Err(Stop::Refused),
            }
        }))
    }

    /// Reads the response to a `GET` from all bytes of a connection, which has been closed.
    /// Informational responses before it are skipped.
    pub fn read_response(bytes: &[u8]) -> StrictReading {
        StrictReading::from(read(bytes, |message, reader| {
            let status = message.status().ok_or(Stop::Refused)?;
            let codings: Vec<&[u8]> = message.values("transfer-encoding").collect();
            let lengths: Vec<&[u8]> = message.values("content-length").collect();
            match (codings[..].as_ref(), lengths[..].as_ref()) {
                _ if status < 200 || status == 204 || status == 304 => Ok(Vec::new()),
                ([], []) => reader.take(reader.rest.len()),
                ([], [length, others @ ..]) if others.iter().all(|it| it == length) => {
                    reader.take(parse_length(length)?)
                }
                // The coding of the transfer overrides the length.
                ([.., coding], _) => match is_chunked(last_coding(coding)) {
                    true => reader.chunks(),
                    false => reader.take(reader.rest.len()),
                },
                _ => Err(Stop::Refused),
            }
        }))
    }

    /// Returns the values of a header whose name is given in lower case.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.headers.iter().filter(move |(it, _)| it == name).map(|(_, value)| value.as_slice())
    }

    /// The length that all elements of the lists in `Content-Length` state. RFC 9110, section 8.6,
    /// and RFC 9112, section 6.3, permit one decimal value that is repeated. No element may be empty.
    fn repeated_length(&self) -> Result<usize, Stop> {
        let mut elements = self.values("content-length").flat_map(list_elements);
        let length = parse_length(elements.next().ok_or(Stop::Refused)?)?;
        for element in elements {
            if parse_length(element)? != length {
                return Err(Stop::Refused);
            }
        }
        Ok(length)
    }

    /// Whether `chunked`, once, is the only coding. RFC 9110, section 5.6.1.2, has recipients ignore
    /// empty elements of lists.
    fn is_only_chunked(&self) -> bool {
        let elements = self.values("transfer-encoding").flat_map(list_elements);
        let codings: Vec<&[u8]> = elements.filter(|it| !it.is_empty()).collect();
        matches!(codings[..], [coding] if is_chunked(coding))
    }

    /// Returns the status of a response.
    pub fn status(&self) -> Option<u16> {
        let line = self.start_line.strip_prefix(b"HTTP/1.")?;
        let digits = line.get(2..5).filter(|it| it.iter().all(u8::is_ascii_digit))?;
        str::from_utf8(digits).ok()?.parse().ok()
    }
}

impl From<Result<StrictMessage, Stop>> for StrictReading {
    fn from(result: Result<StrictMessage, Stop>) -> Self {
        match result {
            Ok(message) => Self::Complete(message),
            Err(Stop::Incomplete) => Self::Incomplete,
            Err(Stop::Refused) => Self::Refused,
        }
    }
}

fn read(
    bytes: &[u8],
    read_body: impl Fn(&StrictMessage, &mut Reader<'_>) -> Result<Vec<u8>, Stop>,
) -> Result<StrictMessage, Stop> {
    let mut reader = Reader { rest: bytes };
    let mut message = reader.head()?;
    message.body = read_body(&message, &mut reader)?;
    message.length_bytes = bytes.len() - reader.rest.len();
    if matches!(message.status(), Some(100 | 102..=199)) {
        return read(reader.rest, read_body);
    }
    Ok(message)
}

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Result<Vec<u8>, Stop> {
        if self.rest.len() < count {
            return Err(Stop::Incomplete);
        }
        let (taken, rest) = self.rest.split_at(count);
        self.rest = rest;
        Ok(taken.to_vec())
    }

    /// Reads a line that ends with CRLF and contains no other CR or LF.
    fn line(&mut self) -> Result<&'a [u8], Stop> {
        let line = self.lenient_line()?;
        line.strip_suffix(b"\r").ok_or(Stop::Refused)
    }

    /// Reads a line up to LF. A CR before it stays.
    fn lenient_line(&mut self) -> Result<&'a [u8], Stop> {
        let end = self.rest.iter().position(|it| *it == b'\n').ok_or(Stop::Incomplete)?;
        let line = &self.rest[..end];
        if line[..end.saturating_sub(1)].contains(&b'\r') {
            return Err(Stop::Refused);
        }
        self.rest = &self.rest[end + 1..];
        Ok(line)
    }

    fn head_line(&mut self) -> Result<&'a [u8], Stop> {
        let line = self.lenient_line()?;
        Ok(line.strip_suffix(b"\r").unwrap_or(line))
    }

    fn head(&mut self) -> Result<StrictMessage, Stop> {
        let mut start_line = self.head_line()?;
        // Empty lines before a message are ignored.
        while start_line.is_empty() {
            start_line = self.head_line()?;
        }
        let headers = self.fields(Self::head_line)?;
        let start_line = start_line.to_vec();
        Ok(StrictMessage { start_line, headers, body: Vec::new(), length_bytes: 0 })
    }

    fn fields(
        &mut self,
        next_line: impl Fn(&mut Self) -> Result<&'a [u8], Stop>,
    ) -> Result<Vec<(String, Vec<u8>)>, Stop> {
        let mut fields = Vec::new();
        loop {
            let line = next_line(self)?;
            if line.is_empty() {
                return Ok(fields);
            }
            let colon = line.iter().position(|it| *it == b':').ok_or(Stop::Refused)?;
            let (name, value) = (&line[..colon], &line[colon + 1..]);
            if name.is_empty() || !name.iter().copied().all(is_token_byte) {
                return Err(Stop::Refused);
            }
            let name = String::from_utf8_lossy(name).to_ascii_lowercase();
            fields.push((name, trim(value).to_vec()));
        }
    }

    fn chunks(&mut self) -> Result<Vec<u8>, Stop> {
        let mut body = Vec::new();
        loop {
            let line = self.line()?;
            let digits = line.split(|it| *it == b';').next().unwrap_or_default();
            // Spaces between the size and an extension are bad whitespace, which is tolerated.
            let digits = digits.trim_ascii_end();
            let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
            let digits = str::from_utf8(digits).ok().filter(|_| is_number).ok_or(Stop::Refused)?;
            let size = usize::from_str_radix(digits, 16).map_err(|_| Stop::Refused)?;
            if size == 0 {
                self.fields(Self::line)?;
                return Ok(body);
            }
            body.append(&mut self.take(size)?);
            if !self.line()?.is_empty() {
                return Err(Stop::Refused);
            }
        }
    }
}

fn parse_length(value: &[u8]) -> Result<usize, Stop> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = str::from_utf8(value).ok().filter(|_| is_number).ok_or(Stop::Refused)?;
    text.parse().map_err(|_| Stop::Refused)
}

fn is_chunked(coding: &[u8]) -> bool {
    coding.eq_ignore_ascii_case(b"chunked")
}

fn last_coding(codings: &[u8]) -> &[u8] {
    trim(codings.rsplit(|it| *it == b',').next().unwrap_or_default())
}

fn list_elements(value: &[u8]) -> impl Iterator<Item = &[u8]> {
    value.split(|it| *it == b',').map(trim)
}

fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

fn trim(value: &[u8]) -> &[u8] {
    let is_space = |it: &u8| *it == b' ' || *it == b'\t';
    let Some(first) = value.iter().position(|it| !is_space(it)) else {
        return &[];
    };
    let last = value.iter().rposition(|it| !is_space(it)).unwrap_or(first);
    &value[first..=last]
}
