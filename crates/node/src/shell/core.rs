//! The decision thread: receives inputs, steps the node and performs the returned actions.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use fleet::{Event, RequestId};
use tokio::runtime::Handle;
use tokio::sync::{mpsc as async_mpsc, oneshot};

use super::explain::History;
use super::orders::CallQueue;
use super::peers::Peers;
use super::relay;
use super::shared::{Command, Input, Shared};
use super::store::{Job, Pool};
use crate::{Action, Message, Node, Request, event};

/// Maximum time to wait for an input.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// State of the decision thread.
pub(crate) struct Core {
    pub(crate) shared: Arc<Shared>,
    pub(crate) node: Node,
    pub(crate) inputs: Receiver<Input>,
    pub(crate) started_at: Instant,
    pub(crate) runtime: Handle,
    pub(crate) agent: ureq::Agent,
    pub(crate) pool: Pool,
    pub(crate) orders: CallQueue,
    pub(crate) client: Arc<store::Client>,
    pub(crate) peers: Peers,
    pub(crate) history: History,
    pub(crate) relays: HashMap<RequestId, async_mpsc::UnboundedSender<Command>>,
}

impl Core {
    /// Processes inputs until [`Input::Stop`] or until all senders are gone.
    pub(crate) fn run(mut self) {
        let _entered = self.runtime.clone().enter();
        loop {
            let now = self.started_at.elapsed();
            let due = self.node.next_due().map_or(MAX_WAIT, |due| due.saturating_sub(now));
            match self.inputs.recv_timeout(due.min(MAX_WAIT)) {
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(input) => self.handle_input(input),
                Err(RecvTimeoutError::Timeout) => {
                    let actions = self.node.tick(self.started_at.elapsed());
                    self.perform_actions(actions, &mut None);
                }
            }
        }
    }

    fn handle_input(&mut self, input: Input) {
        let now = self.started_at.elapsed();
        let mut reply = None;
        let actions = match input {
            Input::Arrive { arrival, commands } => {
                self.relays.insert(arrival.request.id, commands);
                self.node.step(now, Message::Request(Request::Arrive(*arrival)))
            }
            Input::Message(message) => self.node.step(now, message),
            Input::Exchange { heartbeat, reply: sender } => {
                reply = Some(sender);
                self.node.step(now, Message::Member(member::Message::Received(heartbeat)))
            }
            Input::Explain { request, reply } => {
                if reply.send(self.history.find(&request)).is_err() {
                    log::debug!("an explanation was dropped because its receiver has closed");
                }
                return;
            }
            Input::Log(event) => {
                self.log_event(&event);
                return;
            }
            Input::Drain => self.node.drain(now),
            Input::Stop => return,
        };
        self.perform_actions(actions, &mut reply);
    }

    fn log_event(&mut self, event: &Event) {
        log::info!("{event}");
        self.history.record(self.started_at.elapsed(), event);
    }

    fn perform_actions(
        &mut self,
        actions: Vec<Action>,
        reply: &mut Option<oneshot::Sender<member::Heartbeat>>,
    ) {
        for action in actions {
            self.perform_action(action, reply);
        }
    }

    /// Sets the rate of store calls of this node to its equal share of the limits for all live
    /// nodes.
    fn set_store_rates(&self, others: &[member::Node]) {
        let alive = others.iter().filter(|node| node.state == member::State::Alive).count();
        let nodes = (alive + 1) as f64;
        let settings = &self.shared.settings;
        let writes = f64::from(settings.store_writes) / nodes;
        let reads = f64::from(settings.store_reads) / nodes;
        self.client.set_rates(store::Rates { writes, reads });
    }

    fn send_command(&mut self, request: RequestId, command: Command) {
        let Some(relay) = self.relays.get(&request) else { return };
        if relay.send(command).is_err() {
            log::debug!(
                "a command for request {request:032x} was dropped because its relay has ended"
            );
        }
    }

    fn perform_action(
        &mut self,
        action: Action,
        reply: &mut Option<oneshot::Sender<member::Heartbeat>>,
    ) {
        match action {
            Action::Dispatch { dispatch, until } => {
                let until = until.map(|until| self.started_at + until);
                self.send_command(dispatch.request, Command::Dispatch { dispatch, until });
            }
            Action::Cancel { request, attempt, plan } => {
                relay::cancel(&self.agent, request, attempt, &plan);
            }
            Action::Finish { request, end } => {
                self.send_command(request, Command::Finish(end));
                self.relays.remove(&request);
            }
            Action::Read { ticket, shard } => self.pool.push(Job::Read { ticket, shard }),
            Action::Write { ticket, shard, revision, value } => {
                self.pool.push(Job::Write { ticket, shard, revision, value });
            }
            Action::Heartbeat { to, address, heartbeat } => {
                self.peers.send(to, address, heartbeat);
            }
            Action::Reply(heartbeat) => {
                if let Some(reply) = reply.take()
                    && reply.send(heartbeat).is_err()
                {
                    log::debug!(
                        "a heartbeat reply was dropped because its sender has disconnected"
                    );
                }
            }
            Action::ReadPreset => self.pool.push(Job::ReadPreset),
            Action::WatchPreset(watch) => {
                self.shared.watch_disabled.store(!watch, Ordering::Relaxed)
            }
            Action::FetchPreset(node) => self.peers.request_preset(&node),
            Action::InForce { preset, value } => {
                self.log_event(
                    &Event::new(&event::PRESET_IN_FORCE)
                        .with("preset", &preset.name)
                        .with("version", preset.version)
                        .with("change", &preset.change),
                );
                metrics::gauge!("magnolia_preset_version").set(preset.version as f64);
                self.shared.set_active_preset(preset, value);
            }
            Action::Order(call) => self.orders.push(call),
            Action::UnsettledClaims(held) => self.shared.held_claims.store(held, Ordering::SeqCst),
            Action::Fresh(fresh) => self.shared.fresh.store(fresh, Ordering::Relaxed),
            Action::Nodes(nodes) => {
                self.set_store_rates(&nodes);
                self.shared.set_nodes(nodes);
            }
            Action::Targets(targets) => self.shared.set_targets(targets),
            Action::Log(event) => self.log_event(&event),
        }
    }
}
