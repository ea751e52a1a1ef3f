//! What the answer to an attempt at a streaming request, or its loss, says of it.

use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use path::Fault;
use tokio::time::timeout;

use crate::attempt::{Attempt, InFlight, Outcome};
use crate::body::{self, Room};
use crate::diagnose::{probe_failure, probe_fault};
use crate::dispatch::Dispatch;
use crate::execution::Execution;
use crate::pool::{Exchange, MAX_ANSWER_BYTES, Unanswered};
use crate::reply::{UNPROVEN_REFUSAL, is_signed, matches_request, passthrough};
use crate::resumed::is_stream;

/// A refusal that takes longer than this indicates that the engine had stalled.
const SLOW_REFUSAL: Duration = Duration::from_millis(800);

impl Dispatch {
    /// Returns what an answer, or its loss, says of an attempt.
    pub(crate) async fn conclude(
        &self,
        attempt: Attempt,
        answer: Result<Exchange, Unanswered>,
    ) -> (InFlight, Outcome) {
        let Attempt { mut in_flight, is_recorded, .. } = attempt;
        in_flight.record_prefill_done();
        let outcome = match answer {
            Ok(exchange) => self.evaluate(&in_flight, exchange).await,
            Err(unsent @ (Unanswered::Refused | Unanswered::NotSent)) => {
                let fault = probe_fault(probe_failure(unsent));
                self.node.record_fault(in_flight.path.first().address, fault, "no connection");
                Outcome::NotSent
            }
            Err(unknown @ (Unanswered::Unknown | Unanswered::Malformed(_))) => {
                let reason = match unknown {
                    Unanswered::Malformed(defect) => defect.reason(),
                    _ => "connection lost",
                };
                // A single lost connection does not show that an engine is gone; an engine that is
                // gone gives no report.
                let first = in_flight.path.first().address;
                self.node.record_fault(first, Fault::Failed, reason);
                self.check_stalled(&in_flight.path);
                if !is_recorded {
                    self.record_interruption(&in_flight.path, in_flight.sent_at, true);
                }
                Outcome::Unknown(reason)
            }
        };
        (in_flight, outcome)
    }

    /// Returns what the answer to an attempt says of it.
    pub(crate) async fn evaluate(&self, in_flight: &InFlight, exchange: Exchange) -> Outcome {
        let (node, call) = (&self.node, &self.call);
        let first = in_flight.path.first();
        let (response, connection) = exchange.split();
        if !matches_request(response.headers(), call) {
            node.record_fault(first.address, Fault::Failed, "answer to another request");
            return Outcome::Unknown("answer to another request");
        }
        let status = response.status();
        let execution = Execution::of_target(status, response.headers(), &first.target);
        if execution == Execution::NotRun {
            let address = platform::faulty_engine(response.headers()).unwrap_or(first.address);
            let slow = node.now().saturating_sub(in_flight.sent_at) > SLOW_REFUSAL;
            match status {
                StatusCode::MISDIRECTED_REQUEST => {
                    node.record_fault(address, Fault::WrongTarget, "refused")
                }
                _ if slow => {
                    node.record_fault(address, Fault::Unresponsive, "refused after a long wait")
                }
                _ => node.record_refusal(address),
            }
            node.pool.drain(response.into_body(), connection).await;
            let at_fault = in_flight.path.stages.iter().find(|stage| stage.address == address);
            return Outcome::NotRun(at_fault.unwrap_or(first).target.clone());
        }
        if execution == Execution::Unknown {
            node.record_fault(first.address, Fault::Failed, UNPROVEN_REFUSAL);
            node.pool.drain(response.into_body(), connection).await;
            return Outcome::Unproven(status);
        }
        if status != StatusCode::OK {
            node.record_fault(first.address, Fault::Failed, "failure status");
            let (parts, body) = response.into_parts();
            if self.has_begun {
                // Its text is of no use to a stream that has begun.
                node.pool.drain(body, connection).await;
                return Outcome::Failed(passthrough(status, &parts.headers, Bytes::new()));
            }
            let left = call.deadline.saturating_sub(node.now());
            let holding = node.answers.begin(first.address);
            let reading = body::read(body, MAX_ANSWER_BYTES, holding, Room::Awaited);
            let Ok(Ok(body)) = timeout(left, reading).await else {
                return Outcome::Unknown("incomplete answer");
            };
            node.pool.release(connection);
            return Outcome::Failed(passthrough(status, &parts.headers, body));
        }
        let is_answer =
            if self.has_begun { is_stream(&response) } else { is_signed(response.headers()) };
        if !is_answer {
            node.record_fault(first.address, Fault::Failed, "success without a stream");
            return Outcome::Unknown("success without a stream");
        }
        in_flight.record_accepted();
        Outcome::Accepted(Box::new((response, connection)))
    }
}
