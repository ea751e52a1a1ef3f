//! Orders to engines, given while this node leads.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fleet::{DomainName, Event, Layers};
use hyper::StatusCode;
use path::Fault;
use place::{Engine, Move, Planner, Registration};
use platform::Order;
use platform::kv::Revision;
use site::{Model, Service, TargetKey};
use smol_str::SmolStr;
use tokio::time::{sleep, timeout};

use crate::book::{Book, Next, Outcome, Sent};
use crate::event::{LAYOUT, LEADING, ORDERED};
use crate::lead::{self, Leadership};
use crate::node::Node;

/// Interval at which the leader looks at the layout.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a look at the layout after which the process must have stood still; orders
/// that are waited for take less.
const PAUSED: Duration = Duration::from_millis(1500);
/// Longest wait for an engine's answer to an order. The next look at the layout waits for the
/// slowest answer, and of engines that are cut off one after another is tried.
const ORDER_TIMEOUT: Duration = Duration::from_millis(150);

/// Gives orders while this node leads.
pub(crate) struct Orders {
    node: Rc<Node>,
    leadership: Rc<Leadership>,
    book: Book,
    /// Engines of each service as they register.
    arrivals: HashMap<SmolStr, Registration>,
    /// Plans of each service.
    planners: HashMap<SmolStr, Planner>,
    /// Layers that no engine of a domain held at the last look, by service.
    gaps: HashMap<SmolStr, Vec<(DomainName, Layers)>>,
    leads: bool,
}

impl Orders {
    /// Nothing is ordered yet.
    pub(crate) fn new(node: Rc<Node>, leadership: Rc<Leadership>) -> Self {
        let (book, arrivals, planners, gaps) = Default::default();
        Self { node, leadership, book, arrivals, planners, gaps, leads: false }
    }

    /// Gives orders for good.
    pub(crate) async fn run(mut self) {
        let mut looked = self.node.now();
        loop {
            sleep(PLAN_INTERVAL).await;
            let paused = self.node.now().saturating_sub(looked) > PAUSED;
            if paused {
                // The VM stood still. What happened meanwhile has to be heard of first.
                sleep(PAUSED).await;
            }
            looked = self.node.now();
            let fence = lead::fence(&self.node);
            if self.leads != fence.is_some() {
                self.leads = fence.is_some();
                self.book.forget();
                let fence = fence.unwrap_or(0);
                log::info!(
                    "{}",
                    Event::new(LEADING).with("leads", self.leads).with("fence", fence)
                );
            }
            let Some(fence) = fence else { continue };
            let Some(config) = self.node.config() else { continue };
            self.settle().await;
            for service in config.services() {
                if let Some(model) = &service.model {
                    let moves = self.plan(service, model);
                    self.give(&moves, model, fence).await;
                }
            }
        }
    }

    /// Forgets orders whose effect shows, and asks about those that take too long. An engine
    /// that is still at an order gets no other one.
    async fn settle(&mut self) {
        let now = self.node.now();
        let overdue: Vec<_> = {
            let table = self.node.table.borrow();
            let held = |id: &TargetKey| table.entry(id).map(|entry| entry.layers);
            let overdue = self.book.settle(now, held).into_iter();
            let addresses = overdue.filter_map(|id| {
                let entry = table.entry(&id)?;
                let asked = !entry.availability.is_backing_off(now);
                asked.then_some((id, entry.target.address))
            });
            addresses.collect()
        };
        for (id, address) in overdue {
            let report = self.node.refresh(&id, address).await;
            if report.is_some_and(|report| report.order_in_progress) {
                self.book.pause(id, now);
            }
        }
    }

    fn plan(&mut self, service: &Service, model: &Model) -> Vec<Move> {
        let now = self.node.now();
        let table = self.node.table.borrow();
        let usable = table.entries().filter(|entry| {
            // Moving layers costs seconds: one that may only be hard to reach is waited for.
            let lost = entry.health.is_lost();
            // An empty engine that does not take orders is of no use to the plan.
            let idle = entry.layers.is_none() && self.book.is_paused(&entry.target.id);
            let ready = !entry.is_draining() && !lost && !idle;
            entry.target.service == service.name && ready
        });
        let engines: Vec<Engine> = usable
            .map(|entry| {
                let id = entry.target.id.clone();
                let pending = self.book.pending(&id);
                let down = entry.health.is_down() || entry.availability.is_backing_off(now);
                Engine {
                    domain: entry.target.domain.clone(),
                    card: entry.target.card.clone(),
                    layers: pending.or(entry.layers),
                    order_pending: pending.is_some() || self.book.is_paused(&id) || down,
                    slow: entry.is_slow(),
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

    /// Asks engines how many orders they have accepted where that is not known.
    async fn inquire(&self, moves: &[Move]) {
        let unknown = moves.iter().filter_map(|change| {
            let table = self.node.table.borrow();
            let entry = table.entry(&change.target)?;
            let address = entry.target.address;
            entry.orders.is_none().then(|| (change.target.clone(), address))
        });
        let asked: Vec<_> = unknown
            .map(|(id, address)| {
                let node = self.node.clone();
                tokio::task::spawn_local(async move { node.refresh(&id, address).await })
            })
            .collect();
        for task in asked {
            // A task that fails has asked in vain.
            task.await.ok();
        }
    }

    async fn give(&mut self, moves: &[Move], model: &Model, fence: Revision) {
        self.inquire(moves).await;
        let tasks: Vec<_> = moves
            .iter()
            .filter_map(|change| {
                let table = self.node.table.borrow();
                let entry = table.entry(&change.target)?;
                let order = Order { layers: change.layers, fence, expected: entry.orders? };
                let node = self.node.clone();
                let address = entry.target.address;
                let task =
                    tokio::task::spawn_local(async move { send(&node, address, order).await });
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
                // Another node leads, though this one has not heard of it yet.
                self.leadership.step_down(&self.node);
                return;
            }
            let seen = {
                let table = self.node.table.borrow();
                table.entry(&id).map(|entry| (entry.target.address, entry.layers.is_none()))
            };
            let Some((address, is_empty)) = seen else { continue };
            let sent =
                Sent { layers: order.layers, load: model.load_time.mul_f64(share), is_empty };
            match self.book.note(&id, sent, outcome, now) {
                Next::Count => self.node.table.borrow_mut().record_order(now, &id),
                Next::Ask => {
                    self.node.refresh(&id, address).await;
                }
                Next::Probe => {
                    self.node.fault(address, Fault::ReportTimeout, "no answer to an order")
                }
            }
        }
    }
}

async fn send(node: &Node, address: SocketAddr, order: Order) -> Outcome {
    let exchange = async {
        let begun = node.send(address, platform::order(address, order)).await.ok()?;
        let (response, connection) = begun.split();
        let status = response.status();
        node.pool.drain(response.into_body(), connection).await;
        Some(status)
    };
    match timeout(ORDER_TIMEOUT, exchange).await {
        Ok(Some(StatusCode::OK | StatusCode::ACCEPTED)) => Outcome::Accepted,
        Ok(Some(StatusCode::PRECONDITION_FAILED)) => Outcome::Fenced,
        Ok(Some(_)) => Outcome::Refused,
        Ok(None) | Err(_) => Outcome::Unknown,
    }
}
