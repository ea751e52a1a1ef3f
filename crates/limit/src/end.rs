//! What follows an admission: the first token, the end, a caller that leaves or asks again.

use std::time::Duration;

use fleet::{Event, Request, RequestId};

use crate::{Action, Ending, Limiter, event};

impl Limiter {
    pub(crate) fn started(&mut self, now: Duration, request: RequestId) {
        let Some(lane) = self.places.get(&request).and_then(|name| self.lanes.get_mut(name)) else {
            return;
        };
        let Some(running) = lane.running.get_mut(&request) else { return };
        if running.started {
            return;
        }
        running.started = true;
        let class = running.waiting.class;
        let arrived = running.waiting.arrived;
        let admitted = running.admitted;
        let estimate = lane.estimate(class, now);
        estimate.started(now.saturating_sub(admitted));
        if class.stream {
            estimate.patience.served(now.saturating_sub(arrived));
        }
    }

    pub(crate) fn finished(
        &mut self,
        now: Duration,
        request: RequestId,
        ending: Ending,
        actions: &mut Vec<Action>,
    ) {
        let Some(service) = self.places.get(&request).cloned() else { return };
        let Some(lane) = self.lanes.get_mut(&service) else { return };
        let Some(running) = lane.running.remove(&request) else { return };
        lane.adapt(ending == Ending::Complete);
        lane.correct(&running, now, &self.weights);
        if ending == Ending::Complete {
            let class = running.waiting.class;
            let waited = now.saturating_sub(running.waiting.arrived);
            let estimate = lane.estimate(class, now);
            let is_first = estimate.is_guess();
            estimate.finished(now.saturating_sub(running.admitted));
            if !class.stream {
                estimate.patience.served(waited);
            }
            let cost = estimate.hold_seconds(&self.settings);
            if is_first && let Some(o) = lane.organisations.get_mut(&class.organisation) {
                o.queue.learn(class, cost);
            }
        }
        self.forget(&running.waiting);
        self.dispatch(now, &service, actions);
    }

    pub(crate) fn hung_up(&mut self, now: Duration, request: RequestId, actions: &mut Vec<Action>) {
        let Some(service) = self.places.get(&request).cloned() else { return };
        let Some(lane) = self.lanes.get_mut(&service) else { return };
        let (waiting, began) = match lane.running.remove(&request) {
            Some(running) => {
                lane.correct(&running, now, &self.weights);
                let began = running.started && running.waiting.class.stream;
                (running.waiting, began)
            }
            None => {
                let queues = lane.organisations.values_mut();
                let found = queues.into_iter().find_map(|o| o.queue.remove(request));
                let Some(waiting) = found else { return };
                (waiting, false)
            }
        };
        let waited = now.saturating_sub(waiting.arrived);
        if !began {
            lane.estimate(waiting.class, now).patience.left(waited);
            actions.push(Action::Log(
                Event::new(&event::HUNG_UP)
                    .with("request", format_args!("{request:032x}"))
                    .with("organisation", &waiting.request.organisation)
                    .with("waited_ms", waited.as_millis()),
            ));
        }
        self.forget(&waiting);
        self.dispatch(now, &service, actions);
    }

    /// A body that comes again while its first sending is still here: that caller has
    /// stopped waiting for it.
    pub(crate) fn note_repeat(&mut self, now: Duration, request: &Request) {
        let Some(&(first, arrived)) = self.bodies.get(&request.fingerprint) else { return };
        let Some(lane) = self.places.get(&first).and_then(|name| self.lanes.get_mut(name)) else {
            return;
        };
        if let Some(class) = lane.class_of(first) {
            lane.estimate(class, now).patience.left(now.saturating_sub(arrived));
        }
    }
}
