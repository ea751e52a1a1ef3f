//! Bound on the bytes of messages that the process holds.
//!
//! A bound on each message is none on all of them: a faulty target sends bytes without end in as many
//! answers as there are requests at it. So the bytes of all messages are counted together, from the
//! place where they are taken from a socket until they have been written to another one or dropped.
//!
//! A message that is larger than usual takes room for all of it before more of it is read: for the
//! length that its sender states, else for the longest that is allowed. So each message that has begun
//! can end, and the others wait. If nothing ends for a while, the messages of the source that holds
//! the most are ended for those of others.

use std::collections::HashMap;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::Event;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::event::{BODY_EVICTED, MEMORY_FULL};
use crate::eviction::{LOG_INTERVAL, PROGRESS_BYTES, Phase, RETRY_INTERVAL, Standing, stalest};

/// Size up to which a message is not counted, bytes: the usual answers, and those that refuse a
/// request.
pub const UNCOUNTED_BYTES: usize = 16 << 10;
/// Share of the bound above which unfinished messages are the reason that there is no room.
const UNFINISHED_SHARE: f64 = 0.5;
/// Time without any room after which the messages of a source are ended.
const PATIENCE: Duration = Duration::from_millis(250);
/// Interval at which a thread that waits for room looks again.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of sources above which those without messages are forgotten.
const MAX_ACCOUNTS: usize = 4096;

/// A message must end: its source fills the memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// Room that the unfinished messages of one source take.
#[derive(Debug, Default)]
struct Account {
    unfinished: AtomicUsize,
    /// Bytes among them of messages that had to end and have not been dropped yet.
    ending: AtomicUsize,
    /// Number of times that the messages of this source had to end.
    evictions: AtomicU64,
    evicted: Notify,
    /// Time of the last progress, microseconds since the memory was set up.
    progressed: AtomicU64,
}

/// The messages of a memory of which each ends by itself, once it has stalled.
#[derive(Debug)]
struct Messages {
    began: Instant,
    unfinished: Mutex<Vec<Weak<Account>>>,
    /// Number of messages that ended since the last log line, and the time of that line.
    ended: Mutex<(u64, Option<Instant>)>,
}

impl Messages {
    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Returns the account of a message that begins.
    fn begin(&self) -> Arc<Account> {
        let account = Arc::new(Account::default());
        self.record_progress(&account);
        let mut unfinished = self.unfinished.lock().unwrap_or_else(PoisonError::into_inner);
        unfinished.retain(|account| account.strong_count() > 0);
        unfinished.push(Arc::downgrade(&account));
        account
    }

    fn record_progress(&self, account: &Account) {
        account.progressed.store(self.now().as_micros() as u64, Ordering::Relaxed);
    }

    /// Ends the message that has stalled for longest.
    fn evict(&self) {
        let unfinished = self.unfinished.lock().unwrap_or_else(PoisonError::into_inner);
        let holding = unfinished.iter().filter_map(Weak::upgrade).filter(|account| {
            let is_ended = account.evictions.load(Ordering::Relaxed) > 0;
            account.unfinished.load(Ordering::Relaxed) > 0 && !is_ended
        });
        let standings = holding.map(|account| {
            let since = Duration::from_micros(account.progressed.load(Ordering::Relaxed));
            (account, Standing { phase: Phase::Incomplete, since })
        });
        let Some(account) = stalest(self.now(), standings) else { return };
        account.evictions.fetch_add(1, Ordering::Relaxed);
        account.ending.store(account.unfinished.load(Ordering::Relaxed), Ordering::Relaxed);
        account.evicted.notify_waiters();
        metrics::counter!("magnolia_bodies_evicted").increment(1);
        self.log(unfinished.len());
    }

    fn log(&self, unfinished: usize) {
        let mut ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner);
        ended.0 += 1;
        if ended.1.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
            let event =
                Event::new(BODY_EVICTED).with("ended", ended.0).with("unfinished", unfinished);
            log::warn!("{event}");
            *ended = (0, Some(Instant::now()));
        }
    }
}

#[derive(Debug)]
struct Shared {
    max_bytes: AtomicUsize,
    /// Size up to which a message is not counted, bytes.
    uncounted: usize,
    held: AtomicUsize,
    /// Notified when bytes are released.
    released: Notify,
    /// Number of times that bytes were released.
    releases: AtomicU64,
    /// Notified when there is no room, and ending unfinished messages of a source would not make it.
    shortage: Notify,
    /// The messages, if each ends by itself.
    messages: Option<Messages>,
    accounts: Mutex<HashMap<SocketAddr, Arc<Account>>>,
}

/// Counts the bytes of messages that the process holds, up to a bound.
#[derive(Clone, Debug)]
pub struct Memory(Arc<Shared>);

impl Memory {
    /// Returns a count with a bound, bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self::with_uncounted(max_bytes, UNCOUNTED_BYTES, None)
    }

    /// Returns a count with a bound, bytes, that includes messages of any size.
    pub fn exact(max_bytes: usize) -> Self {
        Self::with_uncounted(max_bytes, 0, None)
    }

    /// Returns a count as [`Memory::exact`] does, of messages that end one by one: if there is no room
    /// for one that waits by [`Holding::reserve_within`], the one that has stalled for longest ends.
    pub fn evicting(max_bytes: usize) -> Self {
        let (unfinished, ended) = Default::default();
        let messages = Messages { began: Instant::now(), unfinished, ended };
        Self::with_uncounted(max_bytes, 0, Some(messages))
    }

    fn with_uncounted(max_bytes: usize, uncounted: usize, messages: Option<Messages>) -> Self {
        let max_bytes = AtomicUsize::new(max_bytes);
        let (held, released, releases, shortage, accounts) = Default::default();
        Self(Arc::new(Shared {
            max_bytes,
            uncounted,
            held,
            released,
            releases,
            shortage,
            messages,
            accounts,
        }))
    }

    /// Returns the bound, bytes.
    pub fn max_bytes(&self) -> usize {
        self.0.max_bytes.load(Ordering::Relaxed)
    }

    /// Replaces the bound. What is held already stays.
    pub fn set_max_bytes(&self, max_bytes: usize) {
        self.0.max_bytes.store(max_bytes, Ordering::Relaxed);
    }

    /// Waits until a message has no room that only the end of other messages can make.
    pub async fn shortage(&self) {
        self.0.shortage.notified().await;
    }

    /// Returns the bytes held.
    pub fn held(&self) -> usize {
        self.0.held.load(Ordering::Relaxed)
    }

    /// Returns the holding of a message that this source begins to send.
    pub fn begin(&self, source: SocketAddr) -> Holding {
        Holding { memory: self.clone(), source, bytes: 0, entry: None, unmarked: 0 }
    }

    /// Takes room for `bytes`. Returns whether there is room.
    fn take(&self, bytes: usize) -> bool {
        let has_room = self.held().saturating_add(bytes) <= self.max_bytes();
        if has_room {
            self.0.held.fetch_add(bytes, Ordering::Relaxed);
        }
        has_room
    }

    /// Takes room for bytes that have arrived whole; `None` if there is none.
    pub fn try_share(&self, bytes: usize) -> Option<Share> {
        self.take(bytes).then(|| Share { memory: self.clone(), bytes })
    }

    fn release(&self, bytes: usize) {
        if bytes > 0 {
            self.0.held.fetch_sub(bytes, Ordering::Relaxed);
            self.0.releases.fetch_add(1, Ordering::Relaxed);
            self.0.released.notify_waiters();
        }
    }

    fn account(&self, source: SocketAddr) -> Arc<Account> {
        let mut accounts = self.0.accounts.lock().unwrap_or_else(PoisonError::into_inner);
        if accounts.len() > MAX_ACCOUNTS {
            accounts.retain(|_, account| Arc::strong_count(account) > 1);
        }
        accounts.entry(source).or_default().clone()
    }

    /// Ends the unfinished messages of the source that holds the most, if that is another one than
    /// `waiting`, unfinished messages are the reason that there is no room, and none are about to end.
    fn evict(&self, waiting: SocketAddr) {
        let accounts = self.0.accounts.lock().unwrap_or_else(PoisonError::into_inner);
        let unfinished = |account: &Account| account.unfinished.load(Ordering::Relaxed);
        let total: usize = accounts.values().map(|account| unfinished(account)).sum();
        let are_ending =
            accounts.values().any(|account| account.ending.load(Ordering::Relaxed) > 0);
        if are_ending {
            return;
        }
        if (total as f64) < self.max_bytes() as f64 * UNFINISHED_SHARE {
            self.0.shortage.notify_one();
            return;
        }
        let most = accounts.iter().max_by_key(|(_, account)| unfinished(account));
        let Some((source, account)) = most.filter(|(source, _)| **source != waiting) else {
            return;
        };
        account.evictions.fetch_add(1, Ordering::Relaxed);
        account.ending.store(unfinished(account), Ordering::Relaxed);
        account.evicted.notify_waiters();
        let event = Event::new(MEMORY_FULL)
            .with("source", source)
            .with("bytes", unfinished(account))
            .with("held", self.held())
            .with("most", self.max_bytes());
        log::warn!("{event}");
        metrics::counter!("magnolia_memory_full").increment(1);
    }
}

/// The account of a message that is counted.
#[derive(Debug)]
struct Entry {
    account: Arc<Account>,
    /// Number of evictions when the message was first counted.
    evictions: u64,
}

/// What one message holds while it arrives. Dropping it releases its bytes.
#[derive(Debug)]
pub struct Holding {
    memory: Memory,
    source: SocketAddr,
    /// Bytes that are counted.
    bytes: usize,
    entry: Option<Entry>,
    /// Bytes that have arrived since the last progress.
    unmarked: u64,
}

impl Holding {
    /// Waits for room for a message of `bytes` in all.
    ///
    /// # Errors
    ///
    /// Fails if the message must end, because its source fills the memory.
    pub async fn reserve(&mut self, bytes: usize) -> Result<(), Full> {
        let memory = self.memory.clone();
        loop {
            let released = memory.0.released.notified();
            if self.try_reserve(bytes) {
                return Ok(());
            }
            tokio::select! {
                () = released => {}
                () = evicted(&self.entry) => return Err(Full),
                () = sleep(PATIENCE) => memory.evict(self.source),
            }
        }
    }

    /// Waits for room as [`Holding::reserve`] does, on a thread that may block, until `until`. Returns
    /// whether there is room.
    pub fn reserve_blocking(&mut self, bytes: usize, until: Instant) -> bool {
        let mut seen = self.memory.0.releases.load(Ordering::Relaxed);
        let mut since = Instant::now();
        loop {
            if self.try_reserve(bytes) {
                return true;
            }
            let now = Instant::now();
            if self.must_end() || now >= until {
                return false;
            }
            let releases = self.memory.0.releases.load(Ordering::Relaxed);
            if releases != seen {
                (seen, since) = (releases, now);
            } else if now.saturating_duration_since(since) >= PATIENCE {
                self.memory.evict(self.source);
                since = now;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits for room for a message of `bytes` in all, for `max_wait` at the most, while the owner of
    /// the memory is notified of the shortage. Returns whether there is room.
    pub async fn reserve_within(&mut self, bytes: usize, max_wait: Duration) -> bool {
        let memory = self.memory.clone();
        let reserving = async {
            loop {
                let released = memory.0.released.notified();
                if self.try_reserve(bytes) {
                    return;
                }
                match &memory.0.messages {
                    Some(messages) => messages.evict(),
                    None => memory.0.shortage.notify_one(),
                }
                timeout(RETRY_INTERVAL, released).await.ok();
            }
        };
        timeout(max_wait, reserving).await.is_ok()
    }

    /// Records that bytes of the message have arrived.
    pub fn record_bytes(&mut self, bytes: usize) {
        self.unmarked += bytes as u64;
        if let (Some(entry), Some(messages)) = (&self.entry, &self.memory.0.messages)
            && self.unmarked >= PROGRESS_BYTES
        {
            self.unmarked = 0;
            messages.record_progress(&entry.account);
        }
    }

    /// Returns the bytes that are counted.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes room for a message of `bytes` in all. Returns whether there is room.
    pub fn try_reserve(&mut self, bytes: usize) -> bool {
        if bytes <= self.memory.0.uncounted || bytes <= self.bytes {
            return true;
        }
        let entry = self.entry.get_or_insert_with(|| {
            let account = match &self.memory.0.messages {
                Some(messages) => messages.begin(),
                None => self.memory.account(self.source),
            };
            let evictions = account.evictions.load(Ordering::Relaxed);
            Entry { account, evictions }
        });
        let more = bytes - self.bytes;
        let has_room = !entry.is_evicted() && self.memory.take(more);
        if has_room {
            entry.account.unfinished.fetch_add(more, Ordering::Relaxed);
            if let Some(messages) = &self.memory.0.messages {
                messages.record_progress(&entry.account);
            }
            self.bytes = bytes;
        }
        has_room
    }

    /// Releases what the message holds.
    pub fn release(&mut self) {
        drop(self.split(self.bytes));
        self.entry = None;
    }

    /// Splits off bytes that have arrived whole.
    pub fn split(&mut self, bytes: usize) -> Share {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        if let Some(entry) = &self.entry {
            entry.account.unfinished.fetch_sub(bytes, Ordering::Relaxed);
            if entry.is_evicted() {
                entry.account.ending.fetch_sub(bytes, Ordering::Relaxed);
            }
        }
        Share { memory: self.memory.clone(), bytes }
    }

    /// Returns whether the message must end, because its source fills the memory.
    pub fn must_end(&self) -> bool {
        self.entry.as_ref().is_some_and(Entry::is_evicted)
    }

    /// Waits until the message must end.
    pub async fn evicted(&self) {
        evicted(&self.entry).await;
    }
}

impl Entry {
    fn is_evicted(&self) -> bool {
        self.account.evictions.load(Ordering::Relaxed) != self.evictions
    }
}

async fn evicted(entry: &Option<Entry>) {
    let Some(entry) = entry else { return pending().await };
    loop {
        let evicted = entry.account.evicted.notified();
        if entry.is_evicted() {
            return;
        }
        evicted.await;
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.release();
    }
}

/// What whole bytes hold. Dropping it releases them.
#[derive(Debug)]
pub struct Share {
    memory: Memory,
    bytes: usize,
}

impl Share {
    /// Returns the bytes, which keep their share until the last reference to them is dropped.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        match self.bytes {
            0 => bytes,
            _ => Bytes::from_owner(Attached { bytes, _share: self }),
        }
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.memory.release(self.bytes);
    }
}

struct Attached {
    bytes: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for Attached {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
