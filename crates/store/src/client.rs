//! Client of the store, with blocking calls.

use std::fmt;
use std::io::Read;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use fleet::Event;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::{SmolStr, ToSmolStr};

use crate::call::{
    Bytes, Compare, DeleteRequest, Failure, KeyValue, Number, Operation, PutRequest, RangeRequest,
    RangeResponse, TxnRequest, TxnResponse,
};
use crate::event::{OUTAGE, OUTAGE_ENDED};
use crate::{Budget, Cause, Counts, Error, Health, LeaseId, Purpose, Rates, Settings};

/// Number of a change; the store numbers the changes of all keys in one sequence.
pub type Revision = u64;

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision at which the key was created.
    pub created: Revision,
    /// Revision of the last change.
    pub revision: Revision,
    /// Number of changes since the key was created, starting at 1.
    pub version: u64,
}

/// Entries of a key or a prefix, all as of one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Revision of the store at which the entries were read.
    pub revision: Revision,
    /// Entries in the order of their keys.
    pub entries: Vec<Entry>,
}

/// A write that takes effect only if the key still has the expected revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Write<'a> {
    /// Key.
    pub key: &'a str,
    /// Revision that the key must have; 0 requires its absence.
    pub expected: Revision,
    /// New value; `None` removes the key.
    pub value: Option<&'a [u8]>,
    /// Lease whose end removes the key.
    pub lease: Option<LeaseId>,
    /// Second key that must be unchanged too, such as the key of a lease holder.
    pub guard: Option<Guard<'a>>,
}

/// A second condition of a [`Write`]: a key that must have a given revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guard<'a> {
    /// Key.
    pub key: &'a str,
    /// Revision that the key must have.
    pub revision: Revision,
}

/// Result of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cas {
    /// The write took effect.
    Written {
        /// Revision of the change.
        revision: Revision,
    },
    /// The key or the guard has another revision; nothing was written.
    Conflict {
        /// Current entry of the key; `None` when it does not exist.
        current: Option<Entry>,
        /// Revision of the store at which the conflict was found.
        revision: Revision,
    },
}

/// Client of the store; shared by reference between threads.
pub struct Client {
    agent: ureq::Agent,
    settings: Settings,
    budget: Mutex<Budget>,
    health: Mutex<Health>,
    counts: Counts,
    created: Instant,
}

/// Largest body of an answer, in bytes. Leaves room beyond a value of one megabyte in base64.
const MAX_ANSWER_BYTES: u64 = 4 << 20;
const STATUS_TOO_MANY_REQUESTS: u16 = 429;
/// Longest idle time of a pooled connection. A write on a stale connection loses its answer.
const MAX_CONNECTION_IDLE: Duration = Duration::from_secs(2);

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client").field("base", &self.settings.base).finish_non_exhaustive()
    }
}

impl Client {
    /// Creates a client without connecting to the store.
    pub fn new(settings: Settings) -> Self {
        let config = ureq::Agent::config_builder()
            .proxy(None)
            .http_status_as_error(false)
            .timeout_connect(Some(settings.connect_timeout))
            .timeout_global(Some(settings.timeout))
            .max_idle_age(MAX_CONNECTION_IDLE)
            .build();
        Self {
            agent: ureq::Agent::new_with_config(config),
            budget: Mutex::new(Budget::new(settings.rates)),
            health: Mutex::new(Health::new(
                settings.min_backoff,
                settings.max_backoff,
                settings.seed,
            )),
            counts: Counts::default(),
            created: Instant::now(),
            settings,
        }
    }

    /// Sets the rates of calls that this process may make.
    pub fn set_rates(&self, rates: Rates) {
        lock(&self.budget).set_rates(rates);
    }

    /// Returns the state of the store as shown by the last calls. Its times count from the creation
    /// of the client, as those of [`Client::now`] do.
    pub fn health(&self) -> Health {
        lock(&self.health).clone()
    }

    /// Returns the time since the creation of the client.
    pub fn now(&self) -> Duration {
        self.created.elapsed()
    }

    /// Returns the counts of the calls made.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    pub(crate) fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer in time or rejects the call, or when the budget is
    /// exhausted.
    pub fn range(&self, purpose: Purpose, key: &str) -> Result<Option<Entry>, Error> {
        let listing = self.read(purpose, range_request(key))?;
        Ok(listing.entries.into_iter().next())
    }

    /// Reads a key together with the revision of the store at which it was read.
    ///
    /// # Errors
    ///
    /// As [`Client::range`].
    pub fn snapshot(&self, purpose: Purpose, key: &str) -> Result<Listing, Error> {
        self.read(purpose, range_request(key))
    }

    /// Reads a key as it was at an earlier revision of the store.
    ///
    /// # Errors
    ///
    /// As [`Client::range`]; also when that revision has been compacted.
    pub fn range_at(
        &self,
        purpose: Purpose,
        key: &str,
        revision: Revision,
    ) -> Result<Option<Entry>, Error> {
        let earlier = RangeRequest { revision: Some(Number(revision)), ..range_request(key) };
        Ok(self.read(purpose, earlier)?.entries.into_iter().next())
    }

    /// Reads all keys that begin with `prefix`.
    ///
    /// # Errors
    ///
    /// As [`Client::range`].
    pub fn list(&self, purpose: Purpose, prefix: &str) -> Result<Listing, Error> {
        let range_end = Some(Bytes(prefix_end(prefix)));
        self.read(purpose, RangeRequest { range_end, ..range_request(prefix) })
    }

    /// Writes a key if it still has the expected revision.
    ///
    /// # Errors
    ///
    /// As [`Client::range`]. [`Error::effect`] tells whether the write may have taken effect.
    pub fn cas(&self, purpose: Purpose, write: Write<'_>) -> Result<Cas, Error> {
        let mut compare = vec![Compare::revision(write.key, write.expected)];
        if let Some(guard) = write.guard {
            compare.push(Compare::revision(guard.key, guard.revision));
        }
        let success = vec![operation(&write)];
        let failure = vec![Operation::Range(range_request(write.key))];
        let txn = TxnRequest { compare, success, failure };
        let answer: TxnResponse = self.write("/v3/kv/txn", purpose, &txn)?;
        let revision = answer.header.revision.0;
        if answer.succeeded {
            return Ok(Cas::Written { revision });
        }
        let kvs = answer.responses.into_iter().filter_map(|response| response.response_range);
        let current = kvs.flat_map(|range| range.kvs).next().map(entry).transpose()?;
        Ok(Cas::Conflict { current, revision })
    }

    fn read(&self, purpose: Purpose, range: RangeRequest) -> Result<Listing, Error> {
        self.take_read(purpose)?;
        let answer = self.call::<_, RangeResponse>("/v3/kv/range", purpose, &range);
        // A read has no effect, whether or not it was answered.
        let answer = answer.map_err(|error| Error::none(error.cause))?;
        // A key that is no text is another writer's: all those of this system are.
        let entries = answer.kvs.into_iter().filter_map(|kv| entry(kv).ok()).collect();
        Ok(Listing { revision: answer.header.revision.0, entries })
    }

    pub(crate) fn take_read(&self, purpose: Purpose) -> Result<(), Error> {
        if !lock(&self.budget).take_read(self.now(), purpose) {
            self.counts.fail(purpose);
            return Err(Error::none(Cause::BudgetExhausted));
        }
        self.counts.read(purpose);
        Ok(())
    }

    pub(crate) fn write<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        purpose: Purpose,
        body: &Q,
    ) -> Result<A, Error> {
        if !lock(&self.budget).take_write(self.now(), purpose) {
            self.counts.fail(purpose);
            return Err(Error::none(Cause::BudgetExhausted));
        }
        self.counts.write(purpose);
        self.call(path, purpose, body)
    }

    fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        purpose: Purpose,
        body: &Q,
    ) -> Result<A, Error> {
        let result = self.send(path, body, None).and_then(|answer| parse(answer));
        self.record(purpose, result.as_ref().err());
        result
    }

    /// Sends a call and returns the unread body of its answer. With `idle`, a time-out for each
    /// read replaces the time-out of the whole call.
    pub(crate) fn send<Q: Serialize>(
        &self,
        path: &str,
        body: &Q,
        idle: Option<Duration>,
    ) -> Result<ureq::Body, Error> {
        let body = serde_json::to_vec(body)
            .map_err(|error| Error::none(Cause::Malformed(error.to_smolstr())))?;
        let url = format!("{}{path}", self.settings.base);
        let mut config = self.agent.post(url).config();
        if let Some(idle) = idle {
            config = config.timeout_global(None).timeout_per_read(Some(idle));
        }
        let request = config.build().content_type("application/json");
        let answer = request.send(&body[..]).map_err(transport_error)?;
        let status = answer.status().as_u16();
        let body = answer.into_body();
        if status == 200 { Ok(body) } else { Err(status_error(status, body)) }
    }

    /// Records the result of a call in the counts and the health, and logs the start and the end of
    /// an outage.
    pub(crate) fn record(&self, purpose: Purpose, error: Option<&Error>) {
        if error.is_some() {
            self.counts.fail(purpose);
        }
        let mut health = lock(&self.health);
        let event = match error {
            Some(error) if error.is_outage() => health
                .record_failure(self.now())
                .then(|| Event::new(&OUTAGE).with("purpose", purpose.name()).with("reason", error)),
            _ => health
                .record_success()
                .then(|| Event::new(&OUTAGE_ENDED).with("purpose", purpose.name())),
        };
        drop(health);
        if let Some(event) = event {
            log::warn!("{event}");
        }
    }
}

fn range_request(key: &str) -> RangeRequest {
    RangeRequest { key: Bytes(key.as_bytes().to_vec()), ..RangeRequest::default() }
}

fn operation(write: &Write<'_>) -> Operation {
    let key = Bytes(write.key.as_bytes().to_vec());
    match write.value {
        Some(value) => Operation::Put(PutRequest {
            key,
            value: Bytes(value.to_vec()),
            lease: write.lease.map(Number),
        }),
        None => Operation::Delete(DeleteRequest { key }),
    }
}

/// Returns the first key after all keys that start with `prefix`.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    // In the etcd API a single zero byte leaves the range open-ended.
    vec![0]
}

pub(crate) fn entry(kv: KeyValue) -> Result<Entry, Error> {
    let key = String::from_utf8(kv.key.0)
        .map_err(|error| Error::possible(Cause::Malformed(error.to_smolstr())))?;
    Ok(Entry {
        key,
        value: kv.value.0,
        created: kv.create_revision.0,
        revision: kv.mod_revision.0,
        version: kv.version.0,
    })
}

fn parse<A: DeserializeOwned>(body: ureq::Body) -> Result<A, Error> {
    let bytes = read_all(body).map_err(|error| match error {
        ureq::Error::Timeout(_) => Error::possible(Cause::Timeout),
        other => Error::possible(Cause::Broken(other.to_smolstr())),
    })?;
    serde_json::from_slice(&bytes)
        .map_err(|error| Error::possible(Cause::Malformed(error.to_smolstr())))
}

fn read_all(mut body: ureq::Body) -> Result<Vec<u8>, ureq::Error> {
    let mut bytes = Vec::new();
    let mut reader = body.with_config().limit(MAX_ANSWER_BYTES).reader();
    reader.read_to_end(&mut bytes).map_err(ureq::Error::from)?;
    Ok(bytes)
}

/// Classifies a transport error by whether the call may have reached the store.
fn transport_error(error: ureq::Error) -> Error {
    use std::io::ErrorKind;
    let reason = error.to_smolstr();
    match error {
        ureq::Error::Timeout(ureq::Timeout::Resolve | ureq::Timeout::Connect)
        | ureq::Error::HostNotFound
        | ureq::Error::ConnectionFailed
        | ureq::Error::BadUri(_) => Error::none(Cause::Connect(reason)),
        ureq::Error::Timeout(_) => Error::possible(Cause::Timeout),
        ureq::Error::Io(error)
            if matches!(
                error.kind(),
                ErrorKind::ConnectionRefused
                    | ErrorKind::HostUnreachable
                    | ErrorKind::NetworkUnreachable
                    | ErrorKind::AddrNotAvailable
            ) =>
        {
            Error::none(Cause::Connect(reason))
        }
        _ => Error::possible(Cause::Broken(reason)),
    }
}

/// Classifies an unsuccessful status. A 4xx status means that the call did not take effect; any
/// other status leaves that open.
fn status_error(status: u16, body: ureq::Body) -> Error {
    let bytes = read_all(body).unwrap_or_default();
    let failure: Failure = serde_json::from_slice(&bytes).unwrap_or_default();
    let message = SmolStr::from(failure.message);
    match status {
        STATUS_TOO_MANY_REQUESTS => Error::none(Cause::RateLimited),
        400..=499 => Error::none(Cause::Refused { status, message }),
        _ => Error::possible(Cause::Failed { status, message }),
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
