//! Placement orders, which the leading node sends to engines.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fleet::{DomainName, Event, Layers};
use hyper::StatusCode;
use limit::permit::{Class, Permits};
use path::Fault;
use place::{Engine, Limit, Move, Planner, Registration};
use platform::Order;
use platform::kv::Revision;
use site::{Model, Report, Service, TargetKey};
use smol_str::SmolStr;
use tokio::time::{sleep, timeout};

use crate::event::{LAYOUT, LEADING, ORDERED};
use crate::lead::{self, Leadership};
use crate::node::Node;
use crate::tracker::{FollowUp, Outcome, Sent, Tracker};

/// Time for which a new engine is kept free for the layers of one that it may replace: a release
/// starts an engine some time before it stops the old one.
const REPLACEMENT_WAIT: Duration = Duration::from_secs(3);
/// Interval at which the leader plans the placement.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two plans above which the VM must have been suspended: waiting for orders takes
/// less.
const SUSPEND_THRESHOLD: Duration = Duration::from_millis(1500);
/// Time for which a silent engine keeps its layers. Sound engines are silent for a second; beyond
/// that a missing layer costs more than a move.
const MAX_SILENCE: Duration = Duration::from_millis(1200);
/// Maximum wait for an engine's answer to an order. The next plan waits for the slowest answer, and
/// orders to engines that are cut off run into this timeout one after another.
const ORDER_TIMEOUT: Duration = Duration::from_millis(150);

/// Plans the placement and sends orders while this node leads.
pub(crate) struct Orders {
    node: Rc<Node>,
    leadership: Rc<Leadership>,
    tracker: Tracker,
    /// Registration progress of the engines of each service.
    arrivals: HashMap<SmolStr, Registration>,
    /// Planner of each service.
    planners: HashMap<SmolStr, Planner>,
    /// Layers that no engine of a failure domain held at the last plan, by service.
    gaps: HashMap<SmolStr, Vec<(DomainName, Layers)>>,
    leads: bool,
}

impl Orders {
    /// Returns a planner that has sent no orders.
    pub(crate) fn new(node: Rc<Node>, leadership: Rc<Leadership>) -> Self {
        let (tracker, arrivals, planners, gaps) = Default::default();
        Self { node, leadership, tracker, arrivals, planners, gaps, leads: false }
    }

    /// Plans and sends orders until the process ends.
    pub(crate) async fn run(mut self) {
        let mut last_plan = self.node.now();
        loop {
            sleep(PLAN_INTERVAL).await;
            let paused = self.node.now().saturating_sub(last_plan) > SUSPEND_THRESHOLD;
            if paused {
                // The VM was suspended. Messages and store changes of that time have to be
                // processed before new orders.
                sleep(SUSPEND_THRESHOLD).await;
            }
            last_plan = self.node.now();
            let fence = lead::fence(&self.node);
            if self.leads != fence.is_some() {
                self.leads = fence.is_some();
                self.tracker.recheck_pending(self.node.now());
                let fence = fence.unwrap_or(0);
                log::info!(
                    "{}",
                    Event::new(LEADING).with("leads", self.leads).with("fence", fence)
                );
            }
            let Some(fence) = fence else { continue };
            if self.node.doubts_targets() {
                // What this node sees of the engines says nothing about them.
                continue;
            }
            let Some(config) = self.node.config() else { continue };
            self.refresh_overdue().await;
            for service in config.services() {
                if let Some(model) = &service.model {
                    let moves = self.plan(service, model);
                    self.send_orders(&moves, model, fence).await;
                }
            }
        }
    }

    /// Removes orders whose effect is visible, and fetches the reports of engines whose orders are
    /// overdue. An engine that is still busy with an order, or gives no report, is paused: its order
    /// may still take effect.
    async fn refresh_overdue(&mut self) {
        let now = self.node.now();
        let mut asked = Vec::new();
        {
            let table = self.node.table.borrow();
            let held = |id: &TargetKey| table.entry(id).map(|entry| entry.layers);
            for id in self.tracker.take_overdue(now, held) {
                let Some(entry) = table.entry(&id) else { continue };
                if entry.availability.is_backing_off(now) || entry.health.is_down() {
                    self.tracker.pause(id, now);
                } else {
                    asked.push((id, entry.target.address));
                }
            }
        }
        for (id, report) in self.fetch_reports(asked).await {
            if report.is_none_or(|report| report.order_in_progress) {
                self.tracker.pause(id, now);
            }
        }
    }

    /// Fetches the reports of engines at the same time. There is none of an engine that does not
    /// answer.
    async fn fetch_reports(
        &self,
        engines: Vec<(TargetKey, SocketAddr)>,
    ) -> Vec<(TargetKey, Option<Report>)> {
        let fetch = |(id, address): (TargetKey, SocketAddr)| {
            let (node, engine) = (self.node.clone(), id.clone());
            let task = tokio::task::spawn_local(async move {
                let may_call = node.may_call(address).await;
                if may_call { node.refresh(&engine, address).await.ok() } else { None }
            });
            (id, task)
        };
        let tasks: Vec<_> = engines.into_iter().map(fetch).collect();
        let mut reports = Vec::new();
        for (id, task) in tasks {
            // A task that failed has fetched no report.
            reports.push((id, task.await.ok().flatten()));
        }
        reports
    }

    fn plan(&mut self, service: &Service, model: &Model) -> Vec<Move> {
        let now = self.node.now();
        let (table, permits) = (self.node.table.borrow(), self.node.permits.borrow());
        let usable = table.entries().filter(|entry| {
            // Moving layers takes seconds. An engine that may only be unreachable, or silent, is kept
            // in the plan.
            let health = &entry.health;
            let lost = health.is_unresponsive() && health.is_presumed_ended(now, MAX_SILENCE);
            // An empty engine that does not accept orders cannot take part in the plan.
            let is_unusable = entry.layers.is_none() && self.tracker.is_paused(&entry.target.id);
            let ready = !entry.is_draining() && !lost && !is_unusable;
            entry.target.service == service.name && ready
        });
        let engines: Vec<Engine> = usable
            .map(|entry| {
                let id = entry.target.id.clone();
                let pending = self.tracker.pending(&id);
                let down = entry.health.is_down() || entry.availability.is_backing_off(now);
                Engine {
                    domain: entry.target.domain.clone(),
                    card: entry.target.card.clone(),
                    layers: pending.or(entry.layers),
                    order_pending: pending.is_some() || self.tracker.is_paused(&id) || down,
                    slow: entry.is_slow(),
                    new: now.saturating_sub(entry.registered_at) < REPLACEMENT_WAIT,
                    limit: limit(&permits, now, entry.target.address),
                    id,
                }
            })
            .collect();
        let heartbeat = self.node.settings.heartbeat;
        let arrival = self.arrivals.entry(service.name.clone()).or_default();
        let settled = arrival.is_settled(now, engines.len(), heartbeat);
        let gaps = place::gaps(&engines, model);
        if self.gaps.get(&service.name) != Some(&gaps) {
            let busy = engines.iter().filter(|engine| engine.order_pending).count();
            let event = Event::new(LAYOUT)
                .with("service", &service.name)
                .with("gaps", format_args!("{gaps:?}"))
                .with("engines", engines.len())
                .with("busy", busy)
                .with("settled", settled);
            log::info!("{event}");
            self.gaps.insert(service.name.clone(), gaps);
        }
        let placed = engines.iter().any(|engine| engine.layers.is_some());
        if !settled && !placed {
            return Vec::new();
        }
        self.planners.entry(service.name.clone()).or_default().plan(engines, model)
    }

    /// Returns the engines of moves whose number of accepted orders is unknown.
    fn uncounted(&self, moves: &[Move]) -> Vec<(TargetKey, SocketAddr)> {
        let table = self.node.table.borrow();
        let entries = moves.iter().filter_map(|change| table.entry(&change.target));
        let uncounted = entries.filter(|entry| entry.orders.is_none());
        uncounted.map(|entry| (entry.target.id.clone(), entry.target.address)).collect()
    }

    async fn send_orders(&mut self, moves: &[Move], model: &Model, fence: Revision) {
        let uncounted = self.uncounted(moves);
        // These engines may hold other layers than the plan assumes: the next plan goes by the
        // reports.
        let reports = self.fetch_reports(uncounted).await;
        let is_counted = |change: &&Move| reports.iter().all(|(id, _)| *id != change.target);
        let tasks: Vec<_> = moves
            .iter()
            .filter(is_counted)
            .filter_map(|change| {
                let table = self.node.table.borrow();
                let entry = table.entry(&change.target)?;
                let order = Order { layers: change.layers, fence, expected: entry.orders? };
                let node = self.node.clone();
                let address = entry.target.address;
                let task =
                    tokio::task::spawn_local(
                        async move { send_order(&node, address, order).await },
                    );
                Some((change.clone(), order, task))
            })
            .collect();
        for (change, order, task) in tasks {
            let outcome = task.await.unwrap_or(Outcome::Unknown);
            let event = Event::new(ORDERED)
                .with("target", &change.target)
                .with("layers", format_args!("{:?}", order.layers))
                .with("fence", order.fence)
                .with("expected", order.expected)
                .with("outcome", format_args!("{outcome:?}"));
            log::info!("{event}");
            metrics::counter!("magnolia_orders").increment(1);
            let now = self.node.now();
            let share = f64::from(change.layers.len()) / f64::from(model.depth.max(1));
            let id = change.target;
            if outcome == Outcome::Fenced {
                // Another node leads, but the leader key in the store has not shown it yet.
                self.leadership.step_down(&self.node);
                return;
            }
            let known = {
                let table = self.node.table.borrow();
                table.entry(&id).map(|entry| (entry.target.address, entry.layers.is_none()))
            };
            let Some((address, is_empty)) = known else { continue };
            let sent =
                Sent { layers: order.layers, load: model.load_time.mul_f64(share), is_empty };
            match self.tracker.record(&id, sent, outcome, now) {
                FollowUp::CountAccepted => self.node.table.borrow_mut().record_order(now, &id),
                FollowUp::Refresh => {
                    // Without a report the next plan goes by what is known.
                    if self.node.may_call(address).await {
                        self.node.refresh(&id, address).await.ok();
                    }
                }
                FollowUp::MarkDown => {
                    self.node.record_fault(address, Fault::ReportTimeout, "no answer to an order")
                }
            }
        }
    }
}

/// Returns whether an engine limits the requests that it takes.
fn limit(permits: &Permits, now: Duration, engine: SocketAddr) -> Limit {
    match permits.limit(engine) {
        None => Limit::None,
        Some(_) if permits.is_used_up(now, engine) => Limit::UsedUp,
        Some(_) => Limit::Named,
    }
}

async fn send_order(node: &Node, address: SocketAddr, order: Order) -> Outcome {
    let exchange = async {
        // An order is sent in any case; it is only counted.
        node.permit(address, Class::Order, Duration::ZERO).await.ok();
        let answer = node.ask(address, platform::order_request(address, order)).await.ok()?;
        let (response, connection) = answer.split();
        let status = response.status();
        // A refusal bears nothing that tells it from one of a later order on the same connection,
        // should the engine repeat it.
        if status.is_success() {
            node.pool.drain(response.into_body(), connection).await;
        }
        Some(status)
    };
    match timeout(ORDER_TIMEOUT, exchange).await {
        Ok(Some(StatusCode::OK | StatusCode::ACCEPTED)) => Outcome::Accepted,
        Ok(Some(StatusCode::PRECONDITION_FAILED)) => Outcome::Fenced,
        Ok(Some(_)) => Outcome::Refused,
        Ok(None) | Err(_) => Outcome::Unknown,
    }
}
