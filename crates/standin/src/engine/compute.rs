//! The compute loop, which executes all ready tokens together as one batch per step.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fleet::{Event, Hop, Trail};
use smol_str::{SmolStr, format_smolstr};
use tokio::time::Instant;

use super::decode;
use super::deliver::deliver_result;
use super::execution::Execution;
use super::server::Shared;
use super::state::{Sink, State, Token, touch};
use super::wire::{Activation, AttemptKey, Batch, BatchResult, TokenResult};
use crate::event::CRASHED;
use crate::http::ClientError;

/// Time by which a step may start before the present, to compensate for late timers.
const TIMER_SLACK: Duration = Duration::from_millis(3);

/// Tokens that pass the same later stages, each with the sink of its result.
type Group = Vec<(Activation, Sink)>;

/// Executes tokens until the engine stops or crashes.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut busy_until = Instant::now();
    loop {
        shared.gate.pass().await;
        let (tokens, cost) = take_ready_tokens(&mut shared.state());
        if tokens.is_empty() {
            shared.work.notified().await;
            continue;
        }
        let earliest = Instant::now().checked_sub(TIMER_SLACK).unwrap_or(busy_until);
        busy_until = busy_until.max(earliest) + cost;
        if busy_until > Instant::now() {
            tokio::time::sleep_until(busy_until).await;
        }
        shared.gate.pass().await;
        if hits_crash_marker(&shared.state(), &tokens) {
            crash(&shared);
            return;
        }
        finish_step(&shared, tokens);
    }
}

/// Logs the crash and ends the engine.
pub(super) fn crash(shared: &Shared) {
    log::warn!("{}", Event::new(&CRASHED).with("target", &shared.state().name));
    shared.crash();
}

/// Samples the load at a fixed interval.
pub(super) async fn sample_load(shared: Arc<Shared>) {
    loop {
        shared.state().sample();
        tokio::time::sleep(shared.sample_interval).await;
    }
}

fn take_ready_tokens(state: &mut State) -> (Vec<Token>, Duration) {
    state.fill_slots();
    let tokens = std::mem::take(&mut state.ready);
    let mut cost = Duration::ZERO;
    for token in &tokens {
        if let Some(session) = state.sessions.get_mut(&token.key) {
            touch(session);
            cost += session.cost + std::mem::take(&mut session.prefill);
        }
    }
    (tokens, cost.mul_f64(state.faults.slowdown))
}

fn hits_crash_marker(state: &State, tokens: &[Token]) -> bool {
    let Some((mark, index)) = &state.faults.crash_on else {
        return false;
    };
    tokens.iter().any(|token| {
        let session = state.sessions.get(&token.key);
        token.index >= *index && session.is_some_and(|session| session.marks.contains(mark))
    })
}

fn finish_step(shared: &Arc<Shared>, tokens: Vec<Token>) {
    let mut groups: BTreeMap<Vec<SocketAddr>, (Link, Group)> = BTreeMap::new();
    for token in tokens {
        let (key, index) = (token.key, token.index);
        let outcome = execute(&mut shared.state(), key, index, token.trail);
        match outcome {
            Outcome::Done(result) => deliver_result(shared, key, index, token.sink, result),
            Outcome::Forward(link, chain, activation) => {
                let (_, group) = groups.entry(chain).or_insert_with(|| (link, Vec::new()));
                group.push((activation, token.sink));
            }
        }
    }
    for (chain, (link, group)) in groups {
        tokio::spawn(forward(Arc::clone(shared), link, chain[0], group));
    }
}

/// The link to the next stage, with the delay in effect when its tokens were executed.
struct Link {
    target: SmolStr,
    delay: Duration,
}

/// What follows the execution of a token at this stage.
enum Outcome {
    /// The last stage has executed the token, or the attempt has no session any more.
    Done(TokenResult),
    /// The token is to be sent over this link, through the stages at these addresses.
    Forward(Link, Vec<SocketAddr>, Activation),
}

/// Executes the layers of a token that this stage holds.
///
/// Logs the execution and reads the delay of the link under one lock, so that a caller that sees
/// the execution in the log can change the delay without affecting this token.
fn execute(state: &mut State, key: AttemptKey, index: u32, mut trail: Trail) -> Outcome {
    let Some(session) = state.sessions.get_mut(&key) else {
        let reason = SmolStr::new_static("cancelled");
        return Outcome::Done(TokenResult::Failed { target: state.name.clone(), reason });
    };
    let layers = session.layers;
    state.executed += 1;
    state.log.push(Execution { request: key.request, attempt: key.attempt, index, layers });
    trail.hops.push(Hop { target: state.name.clone(), layers });
    let Some(stage) = session.later_stages.first() else {
        return Outcome::Done(TokenResult::Passed {
            text: decode::token_text(session.seed, index),
            trail,
        });
    };
    let target = stage.target.clone();
    let delay = state.faults.link_delays.get(&target).copied().unwrap_or_default();
    let chain = session.chain();
    let activation = Activation { key, index, open: session.next_open.take(), trail };
    Outcome::Forward(Link { target, delay }, chain, activation)
}

/// Sends tokens to the next stage and delivers their results once they have passed all later
/// stages or have failed.
async fn forward(shared: Arc<Shared>, link: Link, address: SocketAddr, group: Group) {
    let Link { target, delay } = link;
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    let (tokens, sinks): (Vec<_>, Vec<_>) = group.into_iter().unzip();
    let sent_tokens: Vec<SentToken> = tokens.iter().map(SentToken::new).collect();
    let results = send_batch(&shared, address, tokens).await;
    shared.gate.pass().await;
    let mut results = results.map(Vec::into_iter);
    for (sent, sink) in sent_tokens.into_iter().zip(sinks) {
        let result = match &mut results {
            Ok(results) => results.next(),
            Err(error) => Some(failed_at(&target, sent.reason(*error))),
        };
        let result = result.unwrap_or_else(|| failed_at(&target, "short-answer".into()));
        deliver_result(&shared, sent.key, sent.index, sink, result);
    }
}

/// A token that has been sent to the next stage and awaits its result.
struct SentToken {
    key: AttemptKey,
    index: u32,
    /// Whether the token opened the session at the next stage.
    opens: bool,
}

impl SentToken {
    fn new(token: &Activation) -> Self {
        Self { key: token.key, index: token.index, opens: token.open.is_some() }
    }

    /// Returns the wire name of a failure.
    ///
    /// Reports an unreachable stage as broken unless the token opened the session, because the
    /// stage has already executed earlier tokens of the attempt.
    fn reason(&self, error: ClientError) -> SmolStr {
        match error {
            ClientError::Unreachable if !self.opens => format_smolstr!("{}", ClientError::Broken),
            _ => format_smolstr!("{error}"),
        }
    }
}

async fn send_batch(
    shared: &Shared,
    address: SocketAddr,
    tokens: Vec<Activation>,
) -> Result<Vec<TokenResult>, ClientError> {
    let batch = Batch { tokens, ends: Vec::new() };
    let body = Bytes::from(serde_json::to_vec(&batch).unwrap_or_default());
    let answer = shared.client.post(address, "/stage", body).await?;
    let results: BatchResult = serde_json::from_slice(&answer).map_err(|_| ClientError::Broken)?;
    Ok(results.results)
}

fn failed_at(target: &SmolStr, reason: SmolStr) -> TokenResult {
    TokenResult::Failed { target: target.clone(), reason }
}
