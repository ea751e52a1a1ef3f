//! Final replies to the caller.

use std::time::Duration;

use fleet::Event as LogEvent;

use super::{Call, Caller, Relay};
use crate::shell::reply::{self, Reply};
use crate::shell::shared::hex;
use crate::{End, Request, event};

impl Relay {
    /// Replies with a 409 because the recomputed answer does not match the caller's
    /// `Last-Event-ID`.
    pub(super) fn reject_last_event(&mut self) {
        let text = "the recomputed answer differs from the one that Last-Event-ID refers to";
        let reply = Reply::error(409, "last_event_mismatch", text, Some(self.request))
            .run("incomplete")
            .retry_after(Duration::from_secs(1));
        self.send_reply(reply);
        self.notify(Request::CallerDisconnected(self.request));
    }

    pub(super) fn send_reply(&mut self, reply: Reply) {
        if let Caller::Waiting(caller) = std::mem::replace(&mut self.caller, Caller::Closed)
            && caller.send(reply).is_err()
        {
            log::debug!(
                "a reply was dropped because the caller of {} has disconnected",
                hex(self.request)
            );
        }
    }

    /// Logs the end of the request and reports it to the caller.
    pub(super) async fn finish_request(&mut self, end: End) {
        let name = reply::name(&end);
        metrics::counter!("magnolia_requests", "end" => name).increment(1);
        self.log(
            LogEvent::new(&event::REQUEST_FINISHED)
                .with("request", hex(self.request))
                .with("end", name)
                .with("reason", reply::reason(&end))
                .with("tokens", self.texts.len())
                .with("ms", self.started_at.elapsed().as_millis()),
        );
        if end == End::Complete {
            self.send_completion().await;
            return;
        }
        let keyed = match &self.call {
            Call::Model(model) => model.keyed,
            // For a call that may not be repeated, the ledger knows the outcome of earlier
            // sendings.
            Call::Service(service) => service.keyed && service.repeatable,
        };
        match &self.caller {
            Caller::Streaming(_) => {
                let chunk = reply::failure_event(&end, self.request);
                self.send_chunk(chunk).await;
            }
            Caller::Waiting(_) => self.send_reply(reply::for_end(&end, self.request, keyed)),
            Caller::Closed => {}
        }
    }

    pub(super) async fn send_completion(&mut self) {
        let model = match &self.call {
            Call::Service(_) => {
                let reply = match self.answer.take() {
                    Some((answer, share)) => Reply::answer(answer, Some(share), self.request),
                    None => reply::for_end(&End::Unknown, self.request, true),
                };
                self.send_reply(reply.run("complete"));
                return;
            }
            Call::Model(model) => model,
        };
        let short = model.last.is_some_and(|last| self.next_index() < last.index);
        if short || !self.matches_last_event() {
            self.reject_last_event();
            return;
        }
        if model.completion.shape.stream {
            let closing = model.header.final_chunk(&self.finish_reason);
            let chunk = reply::closing_event(&self.event_id(model), &closing);
            self.send_chunk(chunk).await;
            return;
        }
        let text = self.texts.concat();
        let shape = model.completion.shape;
        let whole = model.header.completion(&text, &self.finish_reason, shape, self.texts.len());
        let reply = Reply::json(200, &whole, self.request).run("complete");
        self.send_reply(reply);
    }
}
