//! Open connections of callers on which no request has come yet.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use edge::{Phase, Standing, stalest};
use tokio::sync::Notify;

/// A connection on which no request has come yet.
#[derive(Debug)]
pub(crate) struct Opened {
    number: u64,
    since: Duration,
    is_evicted: AtomicBool,
    evicted: Notify,
}

impl Opened {
    /// Waits until the connection is to be closed for another one.
    pub(crate) async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

/// The open connections on which no request has come yet.
#[derive(Debug)]
pub(crate) struct Unused {
    began: Instant,
    next: AtomicU64,
    open: Mutex<BTreeMap<u64, Arc<Opened>>>,
}

impl Default for Unused {
    fn default() -> Self {
        Self { began: Instant::now(), next: AtomicU64::default(), open: Mutex::default() }
    }
}

impl Unused {
    fn open(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<Opened>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a connection has been accepted.
    pub(crate) fn begin(&self) -> Arc<Opened> {
        let opened = Arc::new(Opened {
            number: self.next.fetch_add(1, Ordering::Relaxed),
            since: self.began.elapsed(),
            is_evicted: AtomicBool::new(false),
            evicted: Notify::new(),
        });
        self.open().insert(opened.number, Arc::clone(&opened));
        opened
    }

    /// Records that a request has come, or that none will.
    pub(crate) fn end(&self, opened: &Opened) {
        self.open().remove(&opened.number);
    }

    /// Returns whether there is none.
    pub(crate) fn is_empty(&self) -> bool {
        self.open().is_empty()
    }

    /// Closes the connection that has been open for longest, if it has stalled.
    pub(crate) fn evict(&self) {
        let open = self.open();
        let waiting = open.values().filter(|opened| !opened.is_evicted.load(Ordering::Relaxed));
        let standings = waiting
            .map(|opened| (opened, Standing { phase: Phase::Incomplete, since: opened.since }));
        if let Some(opened) = stalest(self.began.elapsed(), standings) {
            opened.is_evicted.store(true, Ordering::Relaxed);
            opened.evicted.notify_one();
        }
    }
}
