//! Calls to the platform: a bounded pool for the store, the watch on the preset
//! and the poll of the VM list.

use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use fleet::Vm;
use kernel::Threads;
use ledger::{Reply, ShardId, Stored, Ticket};
use serde::Deserialize;
use store::{Cas, Cause, Client, Effect, Entry, Follower, Purpose, Update, Write};

use super::shared::{Inbox, Input, Shared};
use crate::{Message, event};

/// Key of the preset.
pub const PRESET_KEY: &str = "magnolia/preset";
/// Calls that wait for a thread of the pool.
const WAITING: usize = 4096;
/// Step in which a wait looks for the end of the process.
const STOP_CHECK: Duration = Duration::from_millis(20);
/// Largest VM list, in bytes.
const LIST_BYTES: u64 = 16 << 20;

/// A call to the store.
pub(crate) enum Job {
    /// Read a shard of the ledger.
    Read { ticket: Ticket, shard: ShardId },
    /// Write a shard of the ledger.
    Write { ticket: Ticket, shard: ShardId, revision: u64, value: Vec<u8> },
    /// Read the preset.
    Poll,
}

/// The way to the pool.
pub(crate) struct Jobs {
    sender: SyncSender<Job>,
    inbox: Inbox,
}

impl Jobs {
    /// Hands a call to the pool; a full pool answers as a store that is down.
    pub(crate) fn push(&self, job: Job) {
        if let Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) =
            self.sender.try_send(job)
        {
            self.inbox.post(match job {
                Job::Read { ticket, .. } | Job::Write { ticket, .. } => {
                    answer(ticket, Stored::Down)
                }
                Job::Poll => Message::Preset(preset::Message::StoreDown),
            });
        }
    }
}

fn answer(ticket: Ticket, result: Stored) -> Message {
    Message::Ledger(ledger::Message::Store(Reply { ticket, result }))
}

/// Starts the pool.
///
/// # Errors
///
/// Fails when the operating system has no thread to give.
pub(crate) fn start_pool(
    threads: &mut Threads,
    shared: &Arc<Shared>,
    client: &Arc<Client>,
) -> std::io::Result<Jobs> {
    let (sender, receiver) = sync_channel(WAITING);
    let receiver = Arc::new(Mutex::new(receiver));
    for number in 0..shared.settings.store_threads {
        let (receiver, client) = (Arc::clone(&receiver), Arc::clone(client));
        let inbox = shared.inbox.clone();
        threads.spawn(&format!("store-{number}"), move || work(&receiver, &client, &inbox))?;
    }
    Ok(Jobs { sender, inbox: shared.inbox.clone() })
}

fn work(receiver: &Mutex<Receiver<Job>>, client: &Client, inbox: &Inbox) {
    loop {
        let job = receiver.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(job) = job else { return };
        inbox.post(perform(client, job));
    }
}

fn perform(client: &Client, job: Job) -> Message {
    match job {
        Job::Read { ticket, shard } => {
            let key = ledger::store_key(shard);
            answer(
                ticket,
                match client.range(Purpose::Ledger, &key) {
                    Ok(Some(entry)) => {
                        Stored::Value { revision: entry.revision, value: entry.value }
                    }
                    Ok(None) => Stored::Value { revision: 0, value: Vec::new() },
                    Err(error) => failed(&error),
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
            answer(
                ticket,
                match client.cas(Purpose::Ledger, write) {
                    Ok(Cas::Written { revision }) => Stored::Written { revision },
                    Ok(Cas::Conflict { .. }) => Stored::Conflict,
                    Err(error) => failed(&error),
                },
            )
        }
        Job::Poll => Message::Preset(match client.range(Purpose::Preset, PRESET_KEY) {
            Ok(entry) => preset::Message::Stored(entry.map(|entry| entry.value)),
            Err(_) => preset::Message::StoreDown,
        }),
    }
}

/// What a failed call means to the ledger.
fn failed(error: &store::Error) -> Stored {
    match (error.effect, &error.cause) {
        (Effect::Possible, _) => Stored::Lost,
        (Effect::None, Cause::BudgetExhausted | Cause::RateLimited) => Stored::Limited,
        (Effect::None, _) => Stored::Down,
    }
}

/// Follows the preset's key until the process stops.
pub(crate) fn watch(shared: &Shared, client: &Client) {
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
        thread::sleep(STOP_CHECK);
    }
}

#[derive(Deserialize)]
struct List {
    vms: Vec<Vm>,
}

/// Reads the platform's VM list until the process stops.
pub(crate) fn poll_list(shared: &Shared) {
    let settings = &shared.settings;
    let config = ureq::Agent::config_builder()
        .proxy(None)
        .timeout_global(Some(settings.platform_call))
        .build();
    let agent = ureq::Agent::new_with_config(config);
    let url = format!("http://{}/vms", settings.platform);
    while !shared.stopping() {
        match read_list(&agent, &url) {
            Ok(list) => shared.inbox.post(Message::Member(member::Message::Listed(list.vms))),
            Err(error) => {
                let event = fleet::Event::new(&event::LIST_DOWN).with("reason", error);
                shared.inbox.send(Input::Log(event));
                shared.inbox.post(Message::Member(member::Message::ListUnavailable));
            }
        }
        pause(shared, settings.list);
    }
}

fn read_list(agent: &ureq::Agent, url: &str) -> Result<List, ureq::Error> {
    let mut answer = agent.get(url).call()?;
    answer.body_mut().with_config().limit(LIST_BYTES).read_json()
}

/// Waits, but not longer than the process runs.
pub(crate) fn pause(shared: &Shared, time: Duration) {
    let end = std::time::Instant::now() + time;
    while !shared.stopping() {
        let left = end.saturating_duration_since(std::time::Instant::now());
        if left.is_zero() {
            return;
        }
        thread::sleep(left.min(STOP_CHECK));
    }
}
