//! A caller's request, ready to be sent to targets.

use std::cell::Cell;
use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use fleet::{Event, EventKind, OrganisationName};
use http_body_util::Full;
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, HeaderValue, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Method, Request, Uri};
use limit::admission::Rank;
use path::{Level, Path};
use platform::{PartId, head};
use site::Kind;
use smol_str::SmolStr;
use suspect::Fingerprint;

use crate::forward::{Origin, remove_internal};
use crate::used::Used;

/// The least urgent priority.
const MAX_PRIORITY: u8 = 9;
/// Maximum parts of a prompt that a log line lists: the narrowest ones.
const MAX_LISTED_PARTS: usize = 16;

/// Headers that apply to a single connection.
const CONNECTION_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    HeaderName::from_static("proxy-authorization"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    EXPECT,
];

/// A request with its route, service and limits.
pub(crate) struct Call {
    /// Id of this attempt, given by the caller.
    pub(crate) id: SmolStr,
    /// Fingerprint of the request, equal for all attempts at it.
    pub(crate) fingerprint: Fingerprint,
    /// Fingerprints of the parts of the prompt that other requests may share, all but the last one,
    /// together with the service that runs them.
    pub(crate) parts: Vec<Fingerprint>,
    /// Whether the request has run past the point at which requests crash targets.
    pub(crate) has_run: Cell<bool>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// Headers that are forwarded to targets.
    pub(crate) headers: HeaderMap,
    /// The caller's key as it came, for another node that handles the request instead.
    pub(crate) authorization: Option<HeaderValue>,
    pub(crate) origin: Origin,
    /// Connections that carried the request before.
    pub(crate) used: Used,
    /// Whether the request is counted for the retry budget of its service, at this node or at the
    /// one that has forwarded it.
    pub(crate) counted: Cell<bool>,
    pub(crate) body: Bytes,
    pub(crate) route: SmolStr,
    pub(crate) kind: Kind,
    /// Service that runs the request.
    pub(crate) service: SmolStr,
    /// Maximum number of targets at which the request may run.
    pub(crate) attempts: u32,
    /// Priority, 0 is the most urgent.
    pub(crate) priority: u8,
    /// Level of the last attempt at the engines, if it was chosen within those of the priority.
    pub(crate) level: Cell<Option<Level>>,
    /// Priority of the route, which decides between requests of one priority.
    pub(crate) route_priority: u8,
    pub(crate) organisation: Option<OrganisationName>,
    /// Time at which the head of the request had arrived.
    pub(crate) received_at: Duration,
    /// Time by which the request must be answered: the caller's deadline or the route's timeout.
    pub(crate) deadline: Duration,
    /// Time to the first event that callers of the route expect; `None` if it states none.
    pub(crate) latency_goal: Option<Duration>,
    /// Length of the prompt, tokens.
    pub(crate) prompt_tokens: f64,
    /// Length of the prompt and the expected answer, tokens.
    pub(crate) tokens: f64,
}

impl Call {
    /// Returns the urgency of the request in the admission to engines, 0 is the most urgent: its
    /// priority, and the route's between requests of one priority. Organisations often share one.
    pub(crate) fn rank(&self) -> Rank {
        self.priority.min(MAX_PRIORITY) * (MAX_PRIORITY + 1) + self.route_priority.min(MAX_PRIORITY)
    }

    /// Returns a log event about this request.
    pub(crate) fn event(&self, kind: &'static EventKind) -> Event {
        Event::new(kind).with("request", &self.id).with("fingerprint", hex(self.fingerprint))
    }

    /// Returns the shared parts of the prompt as they appear in log lines: the last ones, after the
    /// number of those that are not listed.
    pub(crate) fn listed_parts(&self) -> String {
        let hidden = self.parts.len().saturating_sub(MAX_LISTED_PARTS);
        let hidden_count = (hidden > 0).then(|| format!("{hidden} more"));
        let listed = platform::shared_parts(&self.headers).skip(hidden).map(|id| id.to_string());
        hidden_count.into_iter().chain(listed).collect::<Vec<_>>().join(",")
    }

    /// Returns the request in the form in which a target receives it.
    pub(crate) fn request(
        &self,
        now: Duration,
        target: &str,
        path: Option<&Path>,
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut request = self.resent(now, last_event);
        let headers = request.headers_mut();
        set(headers, head::EXPECT_TARGET, target);
        set(headers, head::PRIORITY, &self.sent_priority().to_string());
        if let Some(organisation) = &self.organisation {
            set(headers, head::ORGANISATION, organisation);
        }
        if let Some(path) = path {
            let stages = path.stages.iter().map(|stage| (stage.address, stage.layers));
            set(headers, head::PATH, &platform::encode_path(stages));
        }
        request
    }

    /// Returns the priority that targets receive.
    pub(crate) fn sent_priority(&self) -> Level {
        self.level.get().unwrap_or(self.priority.min(MAX_PRIORITY))
    }

    /// Returns the caller's request with the time that is left, and for a stream that resumes the
    /// number of the event after which it does.
    pub(crate) fn resent(&self, now: Duration, last_event: Option<u64>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        let left = self.deadline.saturating_sub(now).as_millis().max(1);
        set(headers, head::DEADLINE, &left.to_string());
        if let Some(number) = last_event {
            set(headers, head::LAST_EVENT_ID, &number.to_string());
        }
        request
    }
}

/// Returns the fingerprints of the parts of the prompt that other requests may share.
pub(crate) fn shared_parts(headers: &HeaderMap, service: &str) -> Vec<Fingerprint> {
    let fingerprint = |id| match id {
        PartId::Number(number) => suspect::part_fingerprint(service, number),
        PartId::Text(text) => suspect::named_part_fingerprint(service, &text),
    };
    platform::shared_parts(headers).map(fingerprint).collect()
}

/// Formats a fingerprint as it appears in logs and store keys.
pub(crate) fn hex(fingerprint: Fingerprint) -> impl fmt::Display {
    fmt::from_fn(move |f| write!(f, "{fingerprint:016x}"))
}

fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    // The values are names and numbers from settings and the store. A value that no header can
    // carry is omitted, and the target refuses the request.
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Returns the headers of a caller's request that are forwarded to a target.
pub(crate) fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    remove_connection_headers(&mut headers);
    headers.remove(AUTHORIZATION);
    remove_internal(&mut headers);
    for name in head::RESERVED {
        headers.remove(name);
    }
    headers
}

/// Returns the headers of an answer of a target or another node that are returned to the caller.
pub(crate) fn returned_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    remove_connection_headers(&mut headers);
    remove_internal(&mut headers);
    headers
}

fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in CONNECTION_HEADERS.into_iter().chain(named) {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
}
