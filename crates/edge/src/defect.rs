//! Defects of responses whose head is not valid by the rules of HTTP (RFC 9110, RFC 9112).

use std::fmt;
use std::net::SocketAddr;

use fleet::Event;
use httparse::{EMPTY_HEADER, Response, Status};
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use hyper::{Error, StatusCode};

use crate::event::RESPONSE_MALFORMED;

/// First number above the status codes of HTTP: a code has one of five classes, 1 to 5.
const STATUS_CODES_END: u16 = 600;
/// The only transfer coding that is decoded. No request of this process permits others.
const CHUNKED: &[u8] = b"chunked";
/// Maximum number of fields in a head that the HTTP library accepts.
const MAX_FIELDS: usize = 100;

/// Why a response is not valid. Such a response says nothing about whether its request has run, and
/// its connection must not be used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// The head cannot be parsed, or its `Content-Length` fields contradict each other.
    Head,
    /// The head is larger than the read buffer.
    Size,
    /// The status code is not one of 100 to 599.
    Status,
    /// The response switches to another protocol, which no request asks for.
    Upgrade,
    /// The response has a length as well as a transfer coding, so that two readers may find
    /// different ends.
    Framing,
    /// The response has another transfer coding than `chunked`.
    Coding,
    /// A response of a status that forbids a body announces or has one.
    Body,
}

impl Defect {
    /// Returns the defect of a response whose head could be parsed.
    pub fn of(status: StatusCode, headers: &HeaderMap) -> Option<Self> {
        let has_coding = headers.contains_key(TRANSFER_ENCODING);
        if status.is_informational() {
            Some(Self::Upgrade)
        } else if status.as_u16() >= STATUS_CODES_END {
            Some(Self::Status)
        } else if has_coding && headers.contains_key(CONTENT_LENGTH) {
            Some(Self::Framing)
        } else if has_coding && !is_chunked(headers) {
            Some(Self::Coding)
        } else if status == StatusCode::NO_CONTENT && (has_coding || has_length(headers)) {
            Some(Self::Body)
        } else {
            None
        }
    }

    /// Returns the defect of a response that the HTTP library rejected; `None` if there was none,
    /// as on a connection that was closed.
    pub(crate) fn of_error(error: &Error) -> Option<Self> {
        if error.is_parse_too_large() {
            Some(Self::Size)
        } else if error.is_parse_status() {
            Some(Self::Status)
        } else if error.is_parse() {
            Some(Self::Head)
        } else {
            None
        }
    }

    /// Logs and counts a response from this address that is not valid.
    pub fn record(self, address: SocketAddr) {
        let event = Event::new(RESPONSE_MALFORMED).with("address", address).with("reason", self);
        log::warn!("{event}");
        metrics::counter!("magnolia_malformed_responses", "reason" => self.reason()).increment(1);
    }

    /// Returns the defect in words, for the log.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Head => "malformed head",
            Self::Size => "head too large",
            Self::Status => "invalid status code",
            Self::Upgrade => "unsolicited change of protocol",
            Self::Framing => "length and transfer coding together",
            Self::Coding => "unknown transfer coding",
            Self::Body => "body where the status forbids one",
        }
    }
}

impl fmt::Display for Defect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.reason())
    }
}

/// Returns whether the body of a response with this status ends with the head.
pub(crate) fn is_bodiless(status: StatusCode) -> bool {
    matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

/// Returns whether the only transfer coding is `chunked`.
fn is_chunked(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(TRANSFER_ENCODING).iter();
    let is_chunked =
        values.next().is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(CHUNKED));
    is_chunked && values.next().is_none()
}

/// Returns whether a body of some length is announced. Many servers announce a length of zero where
/// the status forbids a body, which is harmless.
fn has_length(headers: &HeaderMap) -> bool {
    headers.get_all(CONTENT_LENGTH).iter().any(|length| length.as_bytes() != b"0")
}

/// Returns whether these bytes hold the head of a final response without a field of this name: the
/// HTTP library removes `Content-Length` from the parsed head of a response in chunks. The head is missing if those of informational responses fill the record.
pub(crate) fn lacks_field(mut bytes: &[u8], name: &str) -> bool {
    loop {
        let mut fields = [EMPTY_HEADER; MAX_FIELDS];
        let mut response = Response::new(&mut fields);
        let Ok(Status::Complete(length)) = response.parse(bytes) else { return false };
        if response.code.is_some_and(|code| code >= 200) {
            return !response.headers.iter().any(|field| field.name.eq_ignore_ascii_case(name));
        }
        bytes = &bytes[length..];
    }
}
