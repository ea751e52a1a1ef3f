//! The calls of the order service: the lease in the store, engines' states, orders.

use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use fleet::TargetName;
use kernel::Threads;
use order::{Action, Answer, CallId, Desired, Lease, Message, Report, Tenure};
use serde_json::json;
use store::{Cas, Client, LeaseId, Purpose, Write};

use super::shared::{Input, Shared};
use super::store::pause;
use crate::event;

/// Threads that make the calls.
const WORKERS: usize = 2;
/// Calls that wait for a thread.
const WAITING: usize = 1024;
/// Longest time for one read of an engine's state.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between reads of the desired states, by the holder of the lease.
const DESIRED_PERIOD: Duration = Duration::from_secs(2);
/// Largest state of an engine, in bytes.
const STATE_BYTES: u64 = 1 << 20;

/// The lease that this process holds.
#[derive(Clone, Copy)]
struct Held {
    lease: LeaseId,
    tenure: Tenure,
}

/// What the calls need.
struct Caller {
    shared: Arc<Shared>,
    client: Arc<Client>,
    agent: ureq::Agent,
    began: Instant,
    held: Mutex<Option<Held>>,
}

/// The way to the threads.
pub(crate) struct Calls {
    sender: SyncSender<Action>,
    shared: Arc<Shared>,
}

impl Calls {
    /// Hands a call to a thread; one that finds no room has failed.
    pub(crate) fn push(&self, call: Action) {
        let Err(TrySendError::Full(call) | TrySendError::Disconnected(call)) =
            self.sender.try_send(call)
        else {
            return;
        };
        if let Some(message) = failed(&call) {
            self.shared.inbox.post(crate::Message::Order(message));
        }
    }
}

/// What the service hears of a call that was not made.
fn failed(call: &Action) -> Option<Message> {
    match *call {
        Action::Acquire { call_id, .. } | Action::Renew { call_id } => {
            Some(Message::Lease { call_id, lease: Lease::Unavailable })
        }
        Action::Read { call_id, .. } => Some(Message::Reported { call_id, report: None }),
        Action::Send { call_id, .. } => Some(Message::Answered { call_id, answer: Answer::Failed }),
        Action::Wake(_) | Action::Log(_) => None,
    }
}

/// Starts the threads.
///
/// # Errors
///
/// Fails when the operating system has no thread to give.
pub(crate) fn start(
    threads: &mut Threads,
    shared: &Arc<Shared>,
    client: &Arc<Client>,
    began: Instant,
) -> std::io::Result<Calls> {
    let (sender, receiver) = sync_channel(WAITING);
    let receiver = Arc::new(Mutex::new(receiver));
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .max_idle_connections(0)
        .build();
    let caller = Arc::new(Caller {
        shared: Arc::clone(shared),
        client: Arc::clone(client),
        agent: ureq::Agent::new_with_config(config),
        began,
        held: Mutex::new(None),
    });
    for number in 0..WORKERS {
        let (receiver, caller) = (Arc::clone(&receiver), Arc::clone(&caller));
        threads.spawn(&format!("order-{number}"), move || work(&receiver, &caller))?;
    }
    threads.spawn("desired", move || read_desired(&caller))?;
    Ok(Calls { sender, shared: Arc::clone(shared) })
}

fn work(receiver: &Mutex<Receiver<Action>>, caller: &Caller) {
    loop {
        let action = receiver.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(action) = action else { return };
        if let Some(message) = caller.perform(action) {
            caller.shared.inbox.post(crate::Message::Order(message));
        }
    }
}

/// Reads the desired states while this process holds the lease.
fn read_desired(caller: &Caller) {
    while !caller.shared.stopping() {
        if caller.held().is_some()
            && let Ok(listing) = caller.client.list(Purpose::Order, order::DESIRED_PREFIX)
        {
            let all = listing.entries.iter().filter_map(|entry| caller.desired(entry));
            let message = Message::Desired(all.collect());
            caller.shared.inbox.post(crate::Message::Order(message));
        }
        pause(&caller.shared, DESIRED_PERIOD);
    }
}

impl Caller {
    fn held(&self) -> Option<Held> {
        *self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_held(&self, held: Option<Held>) {
        *self.held.lock().unwrap_or_else(PoisonError::into_inner) = held;
    }

    fn desired(&self, entry: &store::Entry) -> Option<(TargetName, Desired)> {
        let name = entry.key.strip_prefix(order::DESIRED_PREFIX)?;
        match Desired::parse(&entry.value) {
            Ok(desired) => Some((name.into(), desired)),
            Err(error) => {
                let event = fleet::Event::new(&event::DESIRED_MALFORMED)
                    .with("target", name)
                    .with("reason", error);
                self.shared.inbox.send(Input::Log(event));
                None
            }
        }
    }

    fn perform(&self, action: Action) -> Option<Message> {
        match action {
            Action::Acquire { call_id, ttl } => {
                Some(Message::Lease { call_id, lease: self.acquire(ttl) })
            }
            Action::Renew { call_id } => Some(Message::Lease { call_id, lease: self.renew() }),
            Action::Read { call_id, target } => {
                Some(Message::Reported { call_id, report: self.read(&target) })
            }
            Action::Send { call_id, target, fence, order, until } => {
                let body = json!({"fence": fence, "order": order}).to_string();
                Some(self.send(call_id, &target, &body, self.began.checked_add(until)))
            }
            Action::Wake(_) | Action::Log(_) => None,
        }
    }

    /// Asks for the lease. A look at the key first spares the store the writes.
    fn acquire(&self, ttl: Duration) -> Lease {
        self.set_held(None);
        match self.client.range(Purpose::Order, order::HOLDER_KEY) {
            Ok(Some(_)) => return Lease::NotHeld,
            Ok(None) => {}
            Err(_) => return Lease::Unavailable,
        }
        let Ok(lease) = self.client.grant(Purpose::Order, ttl) else { return Lease::Unavailable };
        let write = Write {
            key: order::HOLDER_KEY,
            expected: 0,
            value: Some(self.shared.settings.name.as_bytes()),
            lease: Some(lease),
            guard: None,
        };
        let result = match self.client.cas(Purpose::Order, write) {
            Ok(Cas::Written { revision }) => {
                self.set_held(Some(Held { lease, tenure: revision }));
                return Lease::Held { tenure: revision, ttl };
            }
            Ok(Cas::Conflict { .. }) => Lease::NotHeld,
            Err(_) => Lease::Unavailable,
        };
        // Whether the key was written or not, it goes with the lease, at the latest when that
        // lapses.
        if let Err(error) = self.client.revoke(Purpose::Order, lease) {
            log::debug!("a lease was not revoked: {error}");
        }
        result
    }

    fn renew(&self) -> Lease {
        let Some(held) = self.held() else { return Lease::NotHeld };
        match self.client.keepalive(Purpose::Order, held.lease) {
            Ok(ttl) if ttl.is_zero() => {
                self.set_held(None);
                Lease::NotHeld
            }
            Ok(ttl) => Lease::Held { tenure: held.tenure, ttl },
            Err(_) => Lease::Unavailable,
        }
    }

    fn address(&self, target: &str) -> Option<SocketAddr> {
        let catalog = self.shared.catalog();
        catalog.targets.iter().find(|known| known.name == target).map(|known| known.address)
    }

    fn read(&self, target: &str) -> Option<Report> {
        let url = format!("http://{}/state", self.address(target)?);
        let request = self.agent.get(url).config().timeout_global(Some(READ_TIMEOUT)).build();
        let mut answer = request.call().ok()?;
        answer.body_mut().with_config().limit(STATE_BYTES).read_json().ok()
    }

    fn send(&self, call_id: CallId, target: &str, body: &str, until: Option<Instant>) -> Message {
        let answer = |answer| Message::Answered { call_id, answer };
        let Some(address) = self.address(target) else { return answer(Answer::Failed) };
        // The time-out of the whole call ends with the window, so nothing is sent after it.
        let left = until.map(|until| until.saturating_duration_since(Instant::now()));
        if left.is_some_and(|left| left.is_zero()) {
            return answer(Answer::Late);
        }
        let url = format!("http://{address}/orders");
        let request = self.agent.post(url).config().timeout_global(left).build();
        let sent = request.content_type("application/json").send(body);
        answer(match sent.map(|answer| answer.status().as_u16()) {
            Ok(200..=299) => Answer::Taken,
            Ok(409) => Answer::Old,
            Ok(_) | Err(_) => Answer::Failed,
        })
    }
}
