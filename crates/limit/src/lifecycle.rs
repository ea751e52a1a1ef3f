//! Handlers for the progress of a request after its arrival: first token, end, hang-up and
//! duplicate.

use std::time::Duration;

use fleet::{Event, Request, RequestId};

use crate::{Action, Ending, Limiter, event};

impl Limiter {
    pub(crate) fn started(&mut self, now: Duration, request: RequestId) {
        let Some(pool) =
            self.pools_by_request.get(&request).and_then(|name| self.pools.get_mut(name))
        else {
            return;
        };
        let Some(running) = pool.running.get_mut(&request) else { return };
        if running.started {
            return;
        }
        running.started = true;
        let class = running.entry.class;
        let arrived = running.entry.arrived;
        let admitted = running.admitted;
        let estimate = pool.estimate(class, now);
        estimate.started(now.saturating_sub(admitted));
        if class.stream {
            estimate.tolerance.record_served(now.saturating_sub(arrived));
        }
    }

    pub(crate) fn finished(
        &mut self,
        now: Duration,
        request: RequestId,
        ending: Ending,
        actions: &mut Vec<Action>,
    ) {
        let Some(service) = self.pools_by_request.get(&request).cloned() else { return };
        let Some(pool) = self.pools.get_mut(&service) else { return };
        let Some(running) = pool.running.remove(&request) else { return };
        pool.adapt_slot_factor(ending == Ending::Complete);
        pool.correct_charge(&running, now, &self.weights);
        if ending == Ending::Complete {
            let class = running.entry.class;
            let waited = now.saturating_sub(running.entry.arrived);
            let estimate = pool.estimate(class, now);
            let is_first = estimate.is_assumed();
            estimate.finished(now.saturating_sub(running.admitted));
            if !class.stream {
                estimate.tolerance.record_served(waited);
            }
            let cost = estimate.hold_seconds(&self.settings);
            if is_first && let Some(organisation) = pool.organisations.get_mut(&class.organisation)
            {
                organisation.queue.set_learned_cost(class, cost);
            }
        }
        self.remove_request(&running.entry);
        self.dispatch(now, &service, actions);
    }

    pub(crate) fn hung_up(&mut self, now: Duration, request: RequestId, actions: &mut Vec<Action>) {
        let Some(service) = self.pools_by_request.get(&request).cloned() else { return };
        let Some(pool) = self.pools.get_mut(&service) else { return };
        let (entry, answered) = match pool.running.remove(&request) {
            Some(running) => {
                pool.correct_charge(&running, now, &self.weights);
                let answered = running.started && running.entry.class.stream;
                (running.entry, answered)
            }
            None => {
                let queues = pool.organisations.values_mut();
                let found =
                    queues.into_iter().find_map(|organisation| organisation.queue.remove(request));
                let Some(entry) = found else { return };
                (entry, false)
            }
        };
        let waited = now.saturating_sub(entry.arrived);
        if !answered {
            pool.estimate(entry.class, now).tolerance.record_abandoned(waited);
            actions.push(Action::Log(
                Event::new(&event::HUNG_UP)
                    .with("request", format_args!("{request:032x}"))
                    .with("organisation", &entry.request.organisation)
                    .with("waited_ms", waited.as_millis()),
            ));
        }
        self.remove_request(&entry);
        self.dispatch(now, &service, actions);
    }

    /// Records a wait that the caller abandoned when a body arrives again while the first
    /// request with it is still queued or running.
    pub(crate) fn record_duplicate(&mut self, now: Duration, request: &Request) {
        let Some(&(first, arrived)) = self.fingerprints.get(&request.fingerprint) else { return };
        let Some(pool) =
            self.pools_by_request.get(&first).and_then(|name| self.pools.get_mut(name))
        else {
            return;
        };
        if let Some(class) = pool.class_of(first) {
            pool.estimate(class, now).tolerance.record_abandoned(now.saturating_sub(arrived));
        }
    }
}
