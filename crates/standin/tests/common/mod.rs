//! Provides a chain of three engines and a client that reads its streams.
#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fleet::{Layers, Plan, Stage, Trail};
use serde::Deserialize;
use serde_json::{Value, json};
use standin::engine::{Builder, Engine};

/// Ranges of layers of the engines in the chain.
pub(crate) const RANGES: [(u16, u16); 3] = [(0, 16), (16, 32), (32, 48)];

pub(crate) struct Chain {
    pub engines: Vec<Engine>,
}

#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Token {
    pub request: String,
    pub attempt: u32,
    pub index: u32,
    pub text: String,
    pub trail: Trail,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Answer {
    pub status: u16,
    pub run_header: Option<String>,
    pub tokens: Vec<Token>,
    pub failed: Option<Value>,
    pub completed: bool,
    pub body: String,
}

impl Answer {
    pub(crate) fn text(&self) -> String {
        self.tokens.iter().map(|token| token.text.as_str()).collect()
    }
}

pub(crate) fn builder(name: &str, range: (u16, u16)) -> Builder {
    Builder::new(name).layers(range.0, range.1).tokens_per_second(2_000.0)
}

impl Chain {
    pub(crate) fn start() -> Self {
        Self::start_with(|builder| builder)
    }

    pub(crate) fn start_with(set: impl Fn(Builder) -> Builder) -> Self {
        let start = |(index, range)| {
            set(builder(&format!("e{index}"), range)).start().expect("an engine starts")
        };
        Self { engines: RANGES.into_iter().enumerate().map(start).collect() }
    }

    pub(crate) fn plan(&self) -> Plan {
        let stage = |(engine, (start, end)): (&Engine, (u16, u16))| Stage {
            target: engine.vm().name.clone(),
            address: engine.address(),
            layers: Layers::new(start, end),
        };
        Plan { stages: self.engines.iter().zip(RANGES).map(stage).collect() }
    }

    pub(crate) fn complete(&self, body: &Value) -> Answer {
        complete(self.engines[0].address(), body)
    }
}

pub(crate) fn request_body(
    plan: &Plan,
    request: u128,
    attempt: u32,
    seed: u64,
    max_tokens: u32,
    prompt: &str,
) -> Value {
    json!({
        "model": "plank", "prompt": prompt, "max_tokens": max_tokens, "stream": true,
        "plan": {
            "request": format!("{request:032x}"), "attempt": attempt, "seed": seed,
            "priority": 5, "depth": 48, "stages": plan,
        },
    })
}

pub(crate) fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(20)))
        .build()
        .new_agent()
}

pub(crate) fn post(address: SocketAddr, path: &str, body: &Value) -> (u16, Value) {
    let url = format!("http://{address}{path}");
    let mut response = agent().post(url).send_json(body).expect("an answer");
    let status = response.status().as_u16();
    (status, response.body_mut().read_json().unwrap_or(Value::Null))
}

pub(crate) fn get(address: SocketAddr, path: &str) -> String {
    let url = format!("http://{address}{path}");
    agent().get(url).call().expect("an answer").body_mut().read_to_string().expect("text")
}

/// Sends a completion and reads its stream until it ends or is cut.
pub(crate) fn complete(address: SocketAddr, body: &Value) -> Answer {
    let url = format!("http://{address}/v1/completions");
    let mut answer = Answer::default();
    let Ok(response) = agent().post(url).send_json(body) else {
        return answer;
    };
    answer.status = response.status().as_u16();
    let run = response.headers().get("magnolia-run").and_then(|value| value.to_str().ok());
    answer.run_header = run.map(str::to_owned);
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        let Ok(line) = line else {
            break;
        };
        answer.body.push_str(&line);
        if let Some(data) = line.strip_prefix("data: ") {
            read_event(&mut answer, data);
        }
    }
    answer
}

fn read_event(answer: &mut Answer, data: &str) {
    if data == "[DONE]" {
        answer.completed = true;
        return;
    }
    let value: Value = serde_json::from_str(data).expect("an event is JSON");
    if value.get("failed").is_some() {
        answer.failed = Some(value);
    } else if value.get("text").is_some() {
        answer.tokens.push(serde_json::from_value(value).expect("a token event"));
    }
}

/// Polls until `condition` holds; panics after ten seconds.
pub(crate) fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while !condition() {
        assert!(Instant::now() < deadline, "timed out after 10 s waiting until {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}
