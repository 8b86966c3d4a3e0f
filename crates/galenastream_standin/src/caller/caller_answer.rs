//! An answer to a caller.

/// A complete answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerAnswer {
    /// The status code.
    pub status: u16,
    /// Names and values of the headers, in the order of arrival.
    pub headers: Vec<(String, String)>,
    /// The body; invalid UTF-8 is replaced.
    pub body: String,
}

impl CallerAnswer {
    /// Returns the first value of a header, whose name is matched without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name));
        found.map(|it| it.1.as_str())
    }

    /// Removes the first answer from the front of `unread` and returns it. Returns `None` if it is
    /// incomplete.
    pub(super) fn parse(unread: &mut Vec<u8>) -> Option<Self> {
        let end = unread.windows(4).position(|it| it == b"\r\n\r\n")?;
        let head = String::from_utf8_lossy(&unread[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
        let headers: Vec<(String, String)> = lines
            .filter_map(|it| it.split_once(": "))
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        let length = headers.iter().find(|it| it.0.eq_ignore_ascii_case("content-length"));
        let length: usize = length.map_or(Some(0), |it| it.1.parse().ok())?;
        let body = unread.get(end + 4..end + 4 + length)?;
        let body = String::from_utf8_lossy(body).into_owned();
        unread.drain(..end + 4 + length);
        Some(Self { status, headers, body })
    }
}
