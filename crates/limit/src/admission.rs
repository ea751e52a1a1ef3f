//! Admission of requests to engines whose memory is short.
//!
//! A request is admitted while the pressure of its path, the used fraction of the memory of its
//! fullest engine, is at most its threshold. The threshold is 1 less a reserve for more urgent
//! ranks, as large a part of the memory as their blocked requests were of all requests of late. A
//! request above its threshold waits in a bounded queue if it is likely to be admitted within its
//! latency goal, and is refused otherwise. The queue is ordered by rank, by the organisations'
//! max-min fair shares and by slack.
//!
//! With requests of one rank and one organisation, the thresholds are 1 and all requests are equal.
//!
//! [`Room`] is a state machine without clock, thread or socket. Each node has one and decides alone.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use fleet::OrganisationName;
use smol_str::SmolStr;

mod demand;
mod pace;
mod tally;

use demand::{Demand, Standing};
use pace::Pace;

/// Urgency of a request; 0 is the most urgent.
pub type Rank = u8;
/// Number of a queued request at this node.
pub type Ticket = u64;

/// Pressure up to which a request is admitted without a reserve: the memory is full.
pub const FULL_PRESSURE: f64 = 1.0;
/// Pressure above the threshold up to which a request can be queued. Streams last seconds, so that
/// within a latency goal only a small part of the memory becomes free.
const QUEUE_REACH: f64 = 0.25;
/// Fraction of the memory of an engine up to which a request can be queued. One that waits for more
/// would hold up those behind it for which there is room.
const MAX_QUEUED_SHARE: f64 = 0.12;
/// The same in typical requests, where an engine has memory for few of them.
const MAX_QUEUED_SIZE: f64 = 5.0;
/// Part of a blocked request that one counts for when it is queued. Most are admitted in time, and a
/// reserve that counted them in full kept more memory free than urgent requests used.
const QUEUED_PART: f64 = 0.25;
/// Maximum number of queued requests of a node.
const MAX_QUEUED: usize = 128;
/// Maximum size of the bodies of all queued requests of a node, bytes.
const MAX_QUEUED_BYTES: usize = 4 << 20;
/// Median of the wait of the first request, in means: that of the sum of `n` exponential waits is
/// near `n - 1/3` means.
const MEDIAN_FIRST: f64 = 2.0 / 3.0;
/// Time until memory becomes free under overload: streams last a few seconds.
pub const RETRY_AFTER: Duration = Duration::from_millis(1500);
/// Retry delay of the most urgent of several ranks, as a part of [`RETRY_AFTER`].
const MIN_RETRY_FACTOR: f64 = 0.5;
/// Retry delay of the least urgent of several ranks, as a multiple of [`RETRY_AFTER`].
const MAX_RETRY_FACTOR: f64 = 1.5;

/// A request that asks for admission.
#[derive(Clone, Debug)]
pub struct Demanded<'a> {
    /// Service that runs the request.
    pub service: &'a SmolStr,
    /// Its urgency.
    pub rank: Rank,
    /// The caller's organisation; empty if the caller has none.
    pub organisation: &'a OrganisationName,
    /// Length of the prompt and the expected answer, tokens.
    pub tokens: f64,
    /// Size of the body, bytes.
    pub bytes: usize,
    /// Fraction of the memory of an engine that the request takes alone.
    pub share: f64,
    /// Time until which the request can wait for admission; `None` if it must not wait.
    pub until: Option<Duration>,
    /// Whether the request asks for the first time, so that it counts as demand.
    pub is_new: bool,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// It may be sent.
    Admit,
    /// It waits in the queue.
    Queue(Ticket),
    /// It is refused, and its caller may retry after about this time.
    Refuse(Duration),
}

/// A decision, with the pressure up to which the request is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    /// The decision.
    pub decision: Decision,
    /// The pressure.
    pub threshold: f64,
}

/// Place of a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// The first of its service: [`Room::poll`] decides on it.
    First,
    /// Others of its service go first.
    Behind,
    /// Not queued any more: a more urgent request has taken its place.
    Gone,
}

/// Order of the queue: urgency, standing, end of the wait, and arrival.
type Position = (Rank, Standing, Duration, Ticket);

/// A queued request.
#[derive(Clone, Debug)]
struct Waiting {
    rank: Rank,
    organisation: OrganisationName,
    tokens: f64,
    bytes: usize,
    is_counted: bool,
}

/// Queue and recent demand of one service.
#[derive(Clone, Debug, Default)]
struct Line {
    demand: Demand,
    queue: BTreeMap<Position, Waiting>,
    paces: HashMap<Rank, Pace>,
}

impl Line {
    /// Returns the queued requests of a rank before a position.
    fn ahead(&self, rank: Rank, position: Position) -> usize {
        self.queue.range(..position).filter(|(_, waiting)| waiting.rank == rank).count()
    }

    fn remove(&mut self, now: Duration, position: Position, is_admitted: bool) -> Option<Waiting> {
        let waiting = self.queue.remove(&position)?;
        let is_left = self.queue.values().any(|other| other.rank == waiting.rank);
        let pace = self.paces.entry(waiting.rank).or_default();
        pace.record_left(now, is_admitted, is_left);
        Some(waiting)
    }

    fn retry_after(&self, now: Duration, rank: Rank) -> Duration {
        let (position, last) = self.demand.urgency(now, rank);
        if last == 0 {
            return RETRY_AFTER;
        }
        let part = position as f64 / last as f64;
        RETRY_AFTER.mul_f64(MIN_RETRY_FACTOR + (MAX_RETRY_FACTOR - MIN_RETRY_FACTOR) * part)
    }
}

/// Decides which requests of a node are admitted to engines whose memory is short.
#[derive(Clone, Debug, Default)]
pub struct Room {
    lines: HashMap<SmolStr, Line>,
    tickets: HashMap<Ticket, (SmolStr, Position)>,
    bytes: usize,
    issued: Ticket,
}

impl Room {
    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Decides on a request whose best path has this pressure with it.
    pub fn enter(&mut self, now: Duration, request: &Demanded<'_>, pressure: f64) -> Verdict {
        let ticket = self.issued + 1;
        let line = self.lines.entry(request.service.clone()).or_default();
        let Demanded { rank, organisation, tokens, .. } = *request;
        if request.is_new {
            line.demand.record_size(now, tokens);
        }
        let is_large = request.share > MAX_QUEUED_SHARE
            && tokens > MAX_QUEUED_SIZE * line.demand.typical_tokens();
        // Large requests are refused whatever their rank, and no reserve helps them: they would make
        // their rank and organisation appear to be served too rarely.
        let is_counted = request.is_new && !is_large;
        if is_counted {
            line.demand.record_offered(now, rank, organisation, tokens);
        }
        let view = line.demand.view(now, rank, organisation, tokens);
        let threshold = view.threshold;
        let until = request.until.unwrap_or_default();
        let position = (view.rank, view.standing, until, ticket);
        let is_first = line.queue.first_key_value().is_none_or(|(first, _)| position < *first);
        if is_first && pressure <= threshold {
            if is_counted {
                line.demand.record_admitted(now, rank, organisation, tokens);
            }
            return Verdict { decision: Decision::Admit, threshold };
        }
        let slack = until.saturating_sub(now);
        let is_in_reach =
            !is_large && request.share <= threshold && pressure <= threshold + QUEUE_REACH;
        let pace = line.paces.entry(rank).or_default();
        let wait = pace.expected_wait(now, line.demand.rate(now, rank));
        let ahead = line.ahead(rank, position);
        let is_soon = wait.mul_f64(ahead as f64 + MEDIAN_FIRST) <= slack;
        let is_likely = !slack.is_zero() && is_in_reach && is_soon;
        let refusal =
            Verdict { decision: Decision::Refuse(line.retry_after(now, rank)), threshold };
        let is_queued = is_likely && self.make_place(now, request, position);
        let line = self.lines.entry(request.service.clone()).or_default();
        if is_counted {
            line.demand.record_blocked(now, rank, if is_queued { QUEUED_PART } else { 1.0 });
        }
        if !is_queued {
            return refusal;
        }
        line.paces.entry(rank).or_default().record_queued(now);
        line.queue.insert(
            position,
            Waiting {
                rank,
                organisation: organisation.clone(),
                tokens,
                bytes: request.bytes,
                is_counted,
            },
        );
        self.issued = ticket;
        self.bytes += request.bytes;
        self.tickets.insert(ticket, (request.service.clone(), position));
        debug_assert!(self.len() <= MAX_QUEUED && self.bytes <= MAX_QUEUED_BYTES);
        Verdict { decision: Decision::Queue(ticket), threshold }
    }

    /// Returns the place of a ticket.
    pub fn place(&self, ticket: Ticket) -> Place {
        let Some((service, position)) = self.tickets.get(&ticket) else { return Place::Gone };
        let line = self.lines.get(service);
        match line.and_then(|line| line.queue.first_key_value()) {
            Some((first, _)) if first == position => Place::First,
            _ => Place::Behind,
        }
    }

    /// Returns the time at which a queued request is refused.
    pub fn until(&self, ticket: Ticket) -> Duration {
        self.tickets.get(&ticket).map_or(Duration::ZERO, |(_, (_, _, until, _))| *until)
    }

    /// Decides on a queued request whose best path has this pressure with it. Unless the decision
    /// is to wait, it leaves the queue.
    pub fn poll(&mut self, now: Duration, ticket: Ticket, pressure: f64) -> Verdict {
        let refused =
            |retry_after, threshold| Verdict { decision: Decision::Refuse(retry_after), threshold };
        let place = self.tickets.get(&ticket);
        let line = place.and_then(|(service, _)| self.lines.get_mut(service));
        let (Some(&(_, position)), Some(line)) = (place, line) else {
            return refused(RETRY_AFTER, FULL_PRESSURE);
        };
        let Some(waiting) = line.queue.get(&position) else {
            return refused(RETRY_AFTER, FULL_PRESSURE);
        };
        let is_first = line.queue.first_key_value().is_some_and(|(first, _)| *first == position);
        let (rank, tokens) = (waiting.rank, waiting.tokens);
        let view = line.demand.view(now, rank, &waiting.organisation, tokens);
        let threshold = view.threshold;
        if is_first && pressure <= threshold {
            if waiting.is_counted {
                line.demand.record_admitted(now, rank, &waiting.organisation, tokens);
            }
            self.remove(now, ticket, true);
            return Verdict { decision: Decision::Admit, threshold };
        }
        if now >= position.2 {
            if waiting.is_counted {
                line.demand.record_blocked(now, rank, 1.0 - QUEUED_PART);
            }
            let retry_after = line.retry_after(now, rank);
            self.remove(now, ticket, false);
            return refused(retry_after, threshold);
        }
        Verdict { decision: Decision::Queue(ticket), threshold }
    }

    /// Removes a queued request, because its caller has left or the node stops.
    pub fn leave(&mut self, now: Duration, ticket: Ticket) {
        self.remove(now, ticket, false);
    }

    /// Returns the retry delay of a request that has lost its place in the queue.
    pub fn retry_after(&self, now: Duration, service: &str, rank: Rank) -> Duration {
        self.lines.get(service).map_or(RETRY_AFTER, |line| line.retry_after(now, rank))
    }

    /// Makes a place for a request: the last ones of its service leave for it if they are less
    /// urgent. Returns whether there is a place.
    fn make_place(&mut self, now: Duration, request: &Demanded<'_>, position: Position) -> bool {
        if request.bytes > MAX_QUEUED_BYTES {
            return false;
        }
        while self.len() >= MAX_QUEUED || self.bytes + request.bytes > MAX_QUEUED_BYTES {
            let line = self.lines.get(request.service);
            let last = line.and_then(|line| line.queue.last_key_value());
            match last.map(|(last, _)| *last) {
                Some(last) if last.0 > position.0 => self.remove(now, last.3, false),
                _ => return false,
            }
        }
        true
    }

    fn remove(&mut self, now: Duration, ticket: Ticket, is_admitted: bool) {
        let Some((service, position)) = self.tickets.remove(&ticket) else { return };
        let Some(line) = self.lines.get_mut(&service) else { return };
        if let Some(waiting) = line.remove(now, position, is_admitted) {
            self.bytes -= waiting.bytes;
        }
    }
}
