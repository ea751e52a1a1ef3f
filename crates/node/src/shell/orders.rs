//! Calls of the order service: the lease in the store, reads of engine states and orders to
//! engines.

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
use super::store::sleep_unless_stopping;
use crate::event;

/// Number of threads that make the calls.
const WORKER_THREADS: usize = 2;
/// Maximum number of calls that wait for a thread.
const CALL_CAPACITY: usize = 1024;
/// Timeout of one read of an engine's state.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between reads of the desired states while this process holds the lease.
const DESIRED_READ_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum size of an engine's state, in bytes.
const MAX_STATE_BYTES: u64 = 1 << 20;

/// The lease held by this process.
#[derive(Clone, Copy)]
struct HeldLease {
    lease: LeaseId,
    tenure: Tenure,
}

/// State shared by the threads that make the calls.
struct Context {
    shared: Arc<Shared>,
    client: Arc<Client>,
    agent: ureq::Agent,
    started_at: Instant,
    held: Mutex<Option<HeldLease>>,
}

/// Queue of calls for the threads.
pub(crate) struct CallQueue {
    sender: SyncSender<Action>,
    shared: Arc<Shared>,
}

impl CallQueue {
    /// Queues a call. If the queue is full, the call is reported as failed.
    pub(crate) fn push(&self, call: Action) {
        let Err(TrySendError::Full(call) | TrySendError::Disconnected(call)) =
            self.sender.try_send(call)
        else {
            return;
        };
        if let Some(message) = failure(&call) {
            self.shared.inbox.post(crate::Message::Order(message));
        }
    }
}

/// Returns the message that reports a call as failed because it was not made.
fn failure(call: &Action) -> Option<Message> {
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
/// Fails if the operating system cannot start a thread.
pub(crate) fn start(
    threads: &mut Threads,
    shared: &Arc<Shared>,
    client: &Arc<Client>,
    started_at: Instant,
) -> std::io::Result<CallQueue> {
    let (sender, receiver) = sync_channel(CALL_CAPACITY);
    let receiver = Arc::new(Mutex::new(receiver));
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .max_idle_connections(0)
        .build();
    let context = Arc::new(Context {
        shared: Arc::clone(shared),
        client: Arc::clone(client),
        agent: ureq::Agent::new_with_config(config),
        started_at,
        held: Mutex::new(None),
    });
    for number in 0..WORKER_THREADS {
        let (receiver, context) = (Arc::clone(&receiver), Arc::clone(&context));
        threads.spawn(&format!("order-{number}"), move || run_worker(&receiver, &context))?;
    }
    threads.spawn("desired", move || read_desired(&context))?;
    Ok(CallQueue { sender, shared: Arc::clone(shared) })
}

fn run_worker(receiver: &Mutex<Receiver<Action>>, context: &Context) {
    loop {
        let action = receiver.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(action) = action else { return };
        if let Some(message) = context.perform(action) {
            context.shared.inbox.post(crate::Message::Order(message));
        }
    }
}

/// Periodically reads the desired states while this process holds the lease, until it stops.
fn read_desired(context: &Context) {
    while !context.shared.stopping() {
        if context.held_lease().is_some()
            && let Ok(listing) = context.client.list(Purpose::Order, order::DESIRED_PREFIX)
        {
            let all = listing.entries.iter().filter_map(|entry| context.desired(entry));
            let message = Message::Desired(all.collect());
            context.shared.inbox.post(crate::Message::Order(message));
        }
        sleep_unless_stopping(&context.shared, DESIRED_READ_INTERVAL);
    }
}

impl Context {
    fn held_lease(&self) -> Option<HeldLease> {
        *self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_held_lease(&self, held: Option<HeldLease>) {
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
                Some(self.send(call_id, &target, &body, self.started_at.checked_add(until)))
            }
            Action::Wake(_) | Action::Log(_) => None,
        }
    }

    /// Tries to acquire the lease. Reads the key first, which avoids writes to the store while
    /// another node holds the lease.
    fn acquire(&self, ttl: Duration) -> Lease {
        self.set_held_lease(None);
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
                self.set_held_lease(Some(HeldLease { lease, tenure: revision }));
                return Lease::Held { tenure: revision, ttl };
            }
            Ok(Cas::Conflict { .. }) => Lease::NotHeld,
            Err(_) => Lease::Unavailable,
        };
        // If the key was written after all, it is deleted with the lease, at the latest when the
        // lease expires.
        if let Err(error) = self.client.revoke(Purpose::Order, lease) {
            log::debug!("failed to revoke a lease: {error}");
        }
        result
    }

    fn renew(&self) -> Lease {
        let Some(held) = self.held_lease() else { return Lease::NotHeld };
        match self.client.keepalive(Purpose::Order, held.lease) {
            Ok(ttl) if ttl.is_zero() => {
                self.set_held_lease(None);
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
        answer.body_mut().with_config().limit(MAX_STATE_BYTES).read_json().ok()
    }

    fn send(&self, call_id: CallId, target: &str, body: &str, until: Option<Instant>) -> Message {
        let answer = |answer| Message::Answered { call_id, answer };
        let Some(address) = self.address(target) else { return answer(Answer::Failed) };
        // The timeout of the whole call ends at `until`, so nothing is sent after it.
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
