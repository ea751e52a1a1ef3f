//! Blocking calls to the store.

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
use crate::event::{BACK, OUTAGE};
use crate::{Budget, Cause, Counts, Error, Health, LeaseId, Purpose, Rates, Settings};

/// Number of a change; the store counts all changes of all keys.
pub type Revision = u64;

/// A key's value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision at which the key came into being.
    pub created: Revision,
    /// Revision of its last change.
    pub revision: Revision,
    /// Number of changes since it came into being, from 1.
    pub version: u64,
}

/// Entries under a prefix, all as of one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The revision.
    pub revision: Revision,
    /// The entries in order of their keys.
    pub entries: Vec<Entry>,
}

/// A write that takes effect only if the key still has the expected revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Write<'a> {
    /// Key.
    pub key: &'a str,
    /// Revision that the key must have; 0 when it must not exist.
    pub expected: Revision,
    /// New value; `None` removes the key.
    pub value: Option<&'a [u8]>,
    /// Lease with which the key goes.
    pub lease: Option<LeaseId>,
    /// A second key that must be unchanged too, such as a lease holder's.
    pub guard: Option<Guard<'a>>,
}

/// A key that must have a revision for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guard<'a> {
    /// Key.
    pub key: &'a str,
    /// Revision that it must have.
    pub revision: Revision,
}

/// Answer to a [`Write`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cas {
    /// It took effect.
    Written {
        /// Revision of the change.
        revision: Revision,
    },
    /// The key or its guard has another revision; nothing was written.
    Conflict {
        /// What the key holds.
        current: Option<Entry>,
        /// Revision of the store at that moment.
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
    began: Instant,
}

/// Largest body of an answer in bytes: a value of a megabyte in base64, and room.
const ANSWER_BYTES: u64 = 4 << 20;
/// Status of an answer that refuses a call for its rate.
const TOO_MANY_REQUESTS: u16 = 429;
/// Longest idle time of a pooled connection; a stale one loses the answer of a write.
const IDLE_CONNECTION: Duration = Duration::from_secs(2);

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client").field("base", &self.settings.base).finish_non_exhaustive()
    }
}

impl Client {
    /// Makes a client; nothing is sent yet.
    pub fn new(settings: Settings) -> Self {
        let config = ureq::Agent::config_builder()
            .proxy(None)
            .http_status_as_error(false)
            .timeout_connect(Some(settings.connect_timeout))
            .timeout_global(Some(settings.timeout))
            .max_idle_age(IDLE_CONNECTION)
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
            began: Instant::now(),
            settings,
        }
    }

    /// Changes the share of the store's rates that this process may use.
    pub fn set_rates(&self, rates: Rates) {
        lock(&self.budget).set_rates(rates);
    }

    /// State of the store as the last calls showed it; its times count from when the client was
    /// made, as [`Client::now`] does.
    pub fn health(&self) -> Health {
        lock(&self.health).clone()
    }

    /// Time since the client was made.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Calls made.
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
    /// Fails when the store does not answer in time, refuses, or the budget is spent.
    pub fn range(&self, purpose: Purpose, key: &str) -> Result<Option<Entry>, Error> {
        let listing = self.read(purpose, request(key))?;
        Ok(listing.entries.into_iter().next())
    }

    /// Reads a key together with the revision of the store at that moment.
    ///
    /// # Errors
    ///
    /// As [`Client::range`].
    pub fn snapshot(&self, purpose: Purpose, key: &str) -> Result<Listing, Error> {
        self.read(purpose, request(key))
    }

    /// Reads a key as it was at an earlier revision of the store.
    ///
    /// # Errors
    ///
    /// As [`Client::range`]; [`Cause::Compacted`] when that revision is gone.
    pub fn range_at(
        &self,
        purpose: Purpose,
        key: &str,
        revision: Revision,
    ) -> Result<Option<Entry>, Error> {
        let earlier = RangeRequest { revision: Some(Number(revision)), ..request(key) };
        Ok(self.read(purpose, earlier)?.entries.into_iter().next())
    }

    /// Reads all keys that begin with `prefix`.
    ///
    /// # Errors
    ///
    /// As [`Client::range`].
    pub fn list(&self, purpose: Purpose, prefix: &str) -> Result<Listing, Error> {
        let range_end = Some(Bytes(prefix_end(prefix)));
        self.read(purpose, RangeRequest { range_end, ..request(prefix) })
    }

    /// Writes a key if it still has the expected revision.
    ///
    /// # Errors
    ///
    /// As [`Client::range`]. [`Error::effect`] says whether the write may have taken effect.
    pub fn cas(&self, purpose: Purpose, write: Write<'_>) -> Result<Cas, Error> {
        let mut compare = vec![Compare::revision(write.key, write.expected)];
        if let Some(guard) = write.guard {
            compare.push(Compare::revision(guard.key, guard.revision));
        }
        let success = vec![operation(&write)];
        let failure = vec![Operation::Range(request(write.key))];
        let txn = TxnRequest { compare, success, failure };
        let answer: TxnResponse = self.write("/v3/kv/txn", purpose, &txn)?;
        let revision = answer.header.revision.0;
        if answer.succeeded {
            return Ok(Cas::Written { revision });
        }
        let kvs = answer.responses.into_iter().filter_map(|one| one.response_range);
        let current = kvs.flat_map(|range| range.kvs).next().map(entry).transpose()?;
        Ok(Cas::Conflict { current, revision })
    }

    fn read(&self, purpose: Purpose, range: RangeRequest) -> Result<Listing, Error> {
        self.take_read(purpose)?;
        let answer = self.call::<_, RangeResponse>("/v3/kv/range", purpose, &range);
        // A read has no effect whatever became of it.
        let answer = answer.map_err(|error| Error::none(error.cause))?;
        let entries = answer.kvs.into_iter().map(entry).collect::<Result<Vec<_>, _>>()?;
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
        self.note(purpose, result.as_ref().err());
        result
    }

    /// Sends a call and returns its answer's body, still to be read. `idle` replaces the deadline
    /// of the whole call by one for each read.
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
        let answer = request.send(&body[..]).map_err(failure)?;
        let status = answer.status().as_u16();
        let body = answer.into_body();
        if status == 200 { Ok(body) } else { Err(refusal(status, body)) }
    }

    /// Notes whether a call was answered.
    pub(crate) fn note(&self, purpose: Purpose, error: Option<&Error>) {
        if error.is_some() {
            self.counts.fail(purpose);
        }
        let mut health = lock(&self.health);
        let event = match error {
            Some(error) if error.is_outage() => health
                .record_failure(self.now())
                .then(|| Event::new(&OUTAGE).with("purpose", purpose.name()).with("reason", error)),
            _ => health.record_success().then(|| Event::new(&BACK).with("purpose", purpose.name())),
        };
        drop(health);
        if let Some(event) = event {
            log::warn!("{event}");
        }
    }
}

fn request(key: &str) -> RangeRequest {
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

/// First key after all that begin with `prefix`.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    // A single zero byte stands for "no end".
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
    let bytes = whole(body).map_err(|error| match error {
        ureq::Error::Timeout(_) => Error::possible(Cause::Timeout),
        other => Error::possible(Cause::Broken(other.to_smolstr())),
    })?;
    serde_json::from_slice(&bytes)
        .map_err(|error| Error::possible(Cause::Malformed(error.to_smolstr())))
}

fn whole(mut body: ureq::Body) -> Result<Vec<u8>, ureq::Error> {
    let mut bytes = Vec::new();
    let mut reader = body.with_config().limit(ANSWER_BYTES).reader();
    reader.read_to_end(&mut bytes).map_err(ureq::Error::from)?;
    Ok(bytes)
}

/// Sorts a failure of the transport by whether the call can have reached the store.
fn failure(error: ureq::Error) -> Error {
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

/// Sorts an answer that is no success. A refusal by its status did not take effect; a failure of
/// the store leaves that open.
fn refusal(status: u16, body: ureq::Body) -> Error {
    let bytes = whole(body).unwrap_or_default();
    let said: Failure = serde_json::from_slice(&bytes).unwrap_or_default();
    let message = SmolStr::from(said.message);
    match status {
        TOO_MANY_REQUESTS => Error::none(Cause::RateLimited),
        400..=499 => Error::none(Cause::Refused { status, message }),
        _ => Error::possible(Cause::Failed { status, message }),
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
