//! Validation of tokens and their delivery to the caller.

use fleet::{AttemptId, Event as LogEvent, TokenIndex};
use smol_str::SmolStr;
use tokio::time::Instant;

use super::{Call, Model, Relay, SAMPLE_TOKENS};
use crate::identity::EventId;
use crate::shell::attempt::Token;
use crate::shell::reply;
use crate::shell::shared::hex;
use crate::{Message, Request, event};

impl Relay {
    pub(super) fn record_dropped_event(&self, reason: &str, attempt: AttemptId) {
        metrics::counter!("magnolia_tokens_dropped", "reason" => reason.to_owned()).increment(1);
        self.log(
            LogEvent::new(&event::TOKEN_DROPPED)
                .with("request", hex(self.request))
                .with("attempt", attempt)
                .with("reason", reason),
        );
    }

    /// Drops tokens that are stale or of another request, and ends the attempt on a gap in the
    /// index or a trail that does not follow the plan.
    pub(super) async fn on_token(&mut self, token: Token) {
        let Some(current) = &self.current else { return };
        if token.request != hex(self.request) {
            self.record_dropped_event("other_request", token.attempt);
            return;
        }
        if token.attempt != current.id {
            self.record_dropped_event("older_attempt", token.attempt);
            return;
        }
        if token.index < self.next_index() {
            self.record_dropped_event("already_delivered", token.attempt);
            return;
        }
        if token.index > self.next_index() {
            self.end_attempt(route::Ending::Broken { target: None });
            return;
        }
        if let Err(fault) = token.trail.verify(&current.plan, current.depth) {
            self.log(
                LogEvent::new(&event::TRAIL_MISMATCH)
                    .with("request", hex(self.request))
                    .with("attempt", token.attempt)
                    .with("reason", fault),
            );
            self.end_attempt(route::Ending::PlanMismatch);
            return;
        }
        self.deadline = Some(Instant::now() + current.stall);
        self.late_timers = 0;
        self.accept_token(token.text).await;
    }

    /// Appends a validated token to the answer and sends it unless the caller already has it.
    pub(super) async fn accept_token(&mut self, text: SmolStr) {
        if self.texts.is_empty() && !self.matches_last_event() {
            self.reject_last_event();
            return;
        }
        self.digest.add(&text);
        self.texts.push(text.clone());
        self.report_progress();
        if !self.started {
            self.started = true;
            self.notify(Request::Started(self.request));
            metrics::histogram!("magnolia_first_token_seconds")
                .record(self.started_at.elapsed().as_secs_f64());
        }
        let Call::Model(model) = &self.call else { return };
        if model.last.is_some_and(|last| self.next_index() <= last.index) {
            if !self.matches_last_event() {
                self.reject_last_event();
            }
            return;
        }
        if !model.completion.shape.stream {
            return;
        }
        let chunk = reply::event(&self.event_id(model), &model.header.token_chunk(&text));
        metrics::counter!("magnolia_tokens").increment(1);
        self.send_chunk(chunk).await;
    }

    /// Returns whether the text so far agrees with the caller's last event. Always true at an index
    /// other than that of the last event.
    pub(super) fn matches_last_event(&self) -> bool {
        let Call::Model(model) = &self.call else { return true };
        model
            .last
            .is_none_or(|id| id.index != self.next_index() || id.digest == self.digest.value())
    }

    pub(super) fn event_id(&self, model: &Model) -> EventId {
        EventId {
            answer: model.header.answer,
            index: self.next_index(),
            digest: self.digest.value(),
        }
    }

    /// Reports progress to the router for the first token and then every [`SAMPLE_TOKENS`] tokens.
    pub(super) fn report_progress(&mut self) {
        let next = self.next_index();
        if next != 1 && next - self.last_reported < SAMPLE_TOKENS {
            return;
        }
        self.last_reported = next;
        if let Some(current) = &self.current {
            let (request, attempt) = (self.request, current.id);
            let progress = route::Message::Progress { request, attempt, next };
            self.shared.inbox.post(Message::Route(progress));
        }
    }

    pub(super) fn on_closed(
        &mut self,
        request: &str,
        attempt: AttemptId,
        finish: SmolStr,
        tokens: TokenIndex,
    ) {
        let Some(current) = &self.current else { return };
        if request != hex(self.request) {
            self.record_dropped_event("other_request", attempt);
            self.end_attempt(route::Ending::Broken { target: None });
        } else if attempt != current.id || tokens != self.next_index() {
            self.end_attempt(route::Ending::Broken { target: None });
        } else {
            self.finish_reason = finish;
            self.end_attempt(route::Ending::Complete);
        }
    }
}
