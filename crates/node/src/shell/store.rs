//! Calls to the platform: a bounded thread pool for store calls, the watch on the
//! preset and the poll of the VM list.

use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use kernel::Threads;
use ledger::{Reply, ShardId, StoreResult, Ticket};
use member::List;
use smol_str::{SmolStr, ToSmolStr};
use store::{Cas, Cause, Client, Effect, Entry, Follower, Purpose, Update, Write};

use super::shared::{Inbox, Input, Shared};
use crate::{Message, event};

/// Store key of the preset.
pub const PRESET_KEY: &str = "magnolia/preset";
/// Maximum number of calls that wait for a thread of the pool.
const JOB_CAPACITY: usize = 4096;
/// Interval at which waiting threads check whether the process stops.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum size of the VM list, in bytes.
const MAX_LIST_BYTES: u64 = 16 << 20;

/// A call to the store.
pub(crate) enum Job {
    /// Read a shard of the ledger.
    Read { ticket: Ticket, shard: ShardId },
    /// Write a shard of the ledger.
    Write { ticket: Ticket, shard: ShardId, revision: u64, value: Vec<u8> },
    /// Read the preset.
    ReadPreset,
}

/// Handle to the thread pool for store calls.
pub(crate) struct Pool {
    sender: SyncSender<Job>,
    inbox: Inbox,
}

impl Pool {
    /// Queues a call. If the queue is full, reports that the store is down.
    pub(crate) fn push(&self, job: Job) {
        if let Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) =
            self.sender.try_send(job)
        {
            self.inbox.post(match job {
                Job::Read { ticket, .. } | Job::Write { ticket, .. } => {
                    ledger_reply(ticket, StoreResult::Down)
                }
                Job::ReadPreset => Message::Preset(preset::Message::StoreDown),
            });
        }
    }
}

fn ledger_reply(ticket: Ticket, result: StoreResult) -> Message {
    Message::Ledger(ledger::Message::Store(Reply { ticket, result }))
}

/// Starts the pool.
///
/// # Errors
///
/// Fails if the operating system cannot start a thread.
pub(crate) fn start_pool(
    threads: &mut Threads,
    shared: &Arc<Shared>,
    client: &Arc<Client>,
) -> std::io::Result<Pool> {
    let (sender, receiver) = sync_channel(JOB_CAPACITY);
    let receiver = Arc::new(Mutex::new(receiver));
    for number in 0..shared.settings.store_threads {
        let (receiver, client) = (Arc::clone(&receiver), Arc::clone(client));
        let inbox = shared.inbox.clone();
        threads
            .spawn(&format!("store-{number}"), move || run_worker(&receiver, &client, &inbox))?;
    }
    Ok(Pool { sender, inbox: shared.inbox.clone() })
}

fn run_worker(receiver: &Mutex<Receiver<Job>>, client: &Client, inbox: &Inbox) {
    loop {
        let job = receiver.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(job) = job else { return };
        inbox.post(run_job(client, job));
    }
}

fn run_job(client: &Client, job: Job) -> Message {
    match job {
        Job::Read { ticket, shard } => {
            let key = ledger::store_key(shard);
            ledger_reply(
                ticket,
                match client.range(Purpose::Ledger, &key) {
                    Ok(Some(entry)) => {
                        StoreResult::Value { revision: entry.revision, value: entry.value }
                    }
                    Ok(None) => StoreResult::Value { revision: 0, value: Vec::new() },
                    Err(error) => stored_failure(&error),
                },
            )
        }
        Job::Write { ticket, shard, revision, value } => {
            let key = ledger::store_key(shard);
            let write = Write {
                key: &key,
                expected: revision,
                value: Some(&value),
                lease: None,
                guard: None,
            };
            ledger_reply(
                ticket,
                match client.cas(Purpose::Ledger, write) {
                    Ok(Cas::Written { revision }) => StoreResult::Written { revision },
                    Ok(Cas::Conflict { .. }) => StoreResult::Conflict,
                    Err(error) => stored_failure(&error),
                },
            )
        }
        Job::ReadPreset => Message::Preset(match client.range(Purpose::Preset, PRESET_KEY) {
            Ok(entry) => preset::Message::Stored(entry.map(|entry| entry.value)),
            Err(_) => preset::Message::StoreDown,
        }),
    }
}

/// Maps the error of a store call to a result for the ledger.
fn stored_failure(error: &store::Error) -> StoreResult {
    match (error.effect, &error.cause) {
        (Effect::Possible, _) => StoreResult::Lost,
        (Effect::None, Cause::BudgetExhausted | Cause::RateLimited) => StoreResult::RateLimited,
        (Effect::None, _) => StoreResult::Down,
    }
}

/// Watches the store key of the preset until the process stops, except while the watch is disabled.
pub(crate) fn watch_preset(shared: &Shared, client: &Client) {
    let value = |entry: Entry| Some(entry.value);
    let mut follower = Follower::new(client, Purpose::Preset, PRESET_KEY);
    let mut sink = |update: Update| {
        let watched = match update {
            Update::Current(entry) => entry.and_then(value),
            Update::Changed(entry) => value(entry),
            Update::Removed { .. } => None,
            Update::Failed(_) => return,
        };
        shared.inbox.post(Message::Preset(preset::Message::Watched(watched)));
    };
    while !shared.stopping() {
        if !shared.watch_disabled.load(Ordering::Relaxed) {
            follower.run(&shared.watch_disabled, &mut sink);
        }
        thread::sleep(STOP_POLL_INTERVAL);
    }
}

/// Polls the platform's VM list until the process stops.
pub(crate) fn poll_list(shared: &Shared) {
    let settings = &shared.settings;
    let config = ureq::Agent::config_builder()
        .proxy(None)
        .timeout_global(Some(settings.platform_timeout))
        .build();
    let agent = ureq::Agent::new_with_config(config);
    let url = format!("http://{}/vms", settings.platform);
    let mut rejected = Vec::new();
    while !shared.stopping() {
        match read_list(&agent, &url) {
            Ok(list) => {
                if list.rejected != rejected {
                    list.rejected.iter().for_each(|reason| log_unreadable(shared, reason));
                    rejected = list.rejected;
                }
                shared.inbox.post(Message::Member(member::Message::Listed(list.vms)));
            }
            Err(error) => {
                log_unreadable(shared, &error.to_smolstr());
                shared.inbox.post(Message::Member(member::Message::ListUnavailable));
            }
        }
        sleep_unless_stopping(shared, settings.list_interval);
    }
}

/// Logs that the list, or a row of it, cannot be read.
fn log_unreadable(shared: &Shared, reason: &SmolStr) {
    let event = fleet::Event::new(&event::VM_LIST_UNREADABLE).with("reason", reason);
    shared.inbox.send(Input::Log(event));
}

fn read_list(agent: &ureq::Agent, url: &str) -> Result<List, ureq::Error> {
    let mut answer = agent.get(url).call()?;
    let bytes = answer.body_mut().with_config().limit(MAX_LIST_BYTES).read_to_vec()?;
    List::decode(&bytes).map_err(ureq::Error::from)
}

/// Sleeps for `time`, or until the process stops.
pub(crate) fn sleep_unless_stopping(shared: &Shared, time: Duration) {
    let end = std::time::Instant::now() + time;
    while !shared.stopping() {
        let left = end.saturating_duration_since(std::time::Instant::now());
        if left.is_zero() {
            return;
        }
        thread::sleep(left.min(STOP_POLL_INTERVAL));
    }
}
