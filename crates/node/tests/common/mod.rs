//! A node in this process, with the platform stand-in and scripted targets.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use node::settings::Arguments;
use node::shell::{PRESET_KEY, Process};
use serde_json::{Value, json};
use standin::platform::Platform;

/// Longest wait for something that must happen.
pub(crate) const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// A call as a target got it.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: HashMap<String, String>,
    pub(crate) body: Vec<u8>,
}

impl Call {
    /// The body as JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// A token event of this call's attempt.
    pub(crate) fn token(&self, index: usize) -> Value {
        let plan = &self.json()["plan"];
        let hop = |stage: &Value| json!({"target": stage["target"], "layers": stage["layers"]});
        let trail: Vec<Value> = plan["stages"].as_array().into_iter().flatten().map(hop).collect();
        json!({
            "request": plan["request"], "attempt": plan["attempt"], "index": index,
            "text": format!("w{index} "), "trail": trail,
        })
    }

    /// The closing event of this call's attempt.
    pub(crate) fn closed(&self, tokens: usize) -> Value {
        let plan = &self.json()["plan"];
        json!({
            "request": plan["request"], "attempt": plan["attempt"], "finish": "stop",
            "tokens": tokens,
        })
    }

    /// Number of the first token that the plan asks for.
    pub(crate) fn first_token(&self) -> usize {
        self.json()["plan"]["resume"]["index"].as_u64().map_or(0, |index| index as usize)
    }
}

/// The way back to the caller of a scripted target.
pub(crate) struct Responder(TcpStream);

impl Responder {
    /// Sends bytes; a caller that has gone is no failure of the script.
    pub(crate) fn send(&mut self, text: &str) -> bool {
        self.0.write_all(text.as_bytes()).and_then(|()| self.0.flush()).is_ok()
    }

    /// Begins a stream of events.
    pub(crate) fn start_events(&mut self) {
        self.send(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n",
        );
    }

    /// Sends an event.
    pub(crate) fn event(&mut self, data: &Value) -> bool {
        self.send(&format!("data: {data}\n\n"))
    }

    /// Answers whole.
    pub(crate) fn answer(&mut self, status: u16, headers: &str, body: &str) {
        let length = body.len();
        self.send(&format!(
            "HTTP/1.1 {status} Status\r\ncontent-length: {length}\r\nconnection: close\r\n\
             content-type: application/json\r\n{headers}\r\n{body}"
        ));
    }

    /// Sends the tokens `from..to` and the closing event when `whole`.
    pub(crate) fn tokens(&mut self, call: &Call, from: usize, to: usize, whole: bool) {
        for index in from..to {
            self.event(&call.token(index));
        }
        if whole {
            self.event(&call.closed(to));
            self.send("data: [DONE]\n\n");
        }
    }

    /// Waits until the caller closes the connection.
    pub(crate) fn wait_until_closed(&mut self) {
        let mut byte = [0];
        while matches!(self.0.read(&mut byte), Ok(1..)) {}
    }
}

type Script = Arc<dyn Fn(&Call, &mut Responder) + Send + Sync>;

/// A target that answers by a script and remembers its calls.
pub(crate) struct Scripted {
    pub(crate) address: SocketAddr,
    pub(crate) calls: Arc<Mutex<Vec<Call>>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Scripted {
    pub(crate) fn start(script: impl Fn(&Call, &mut Responder) + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
        let address = listener.local_addr().expect("address");
        let calls = Arc::new(Mutex::new(Vec::new()));
        let stop = Arc::new(AtomicBool::new(false));
        let script: Script = Arc::new(script);
        let (kept, stopped) = (Arc::clone(&calls), Arc::clone(&stop));
        let thread = thread::spawn(move || {
            let mut open: Vec<(TcpStream, JoinHandle<()>)> = Vec::new();
            for stream in listener.incoming() {
                if stopped.load(Ordering::SeqCst) {
                    break;
                }
                let Ok(stream) = stream else { continue };
                let Ok(copy) = stream.try_clone() else { continue };
                let (kept, script) = (Arc::clone(&kept), Arc::clone(&script));
                let worker = thread::spawn(move || serve(stream, &kept, &script));
                open.push((copy, worker));
            }
            for (stream, worker) in open {
                stream.shutdown(Shutdown::Both).ok();
                worker.join().expect("script");
            }
        });
        Self { address, calls, stop, thread: Some(thread) }
    }

    /// Calls to model or service paths so far.
    pub(crate) fn calls(&self, path: &str) -> Vec<Call> {
        let calls = self.calls.lock().expect("calls");
        calls.iter().filter(|call| call.path.starts_with(path)).cloned().collect()
    }
}

impl Drop for Scripted {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        TcpStream::connect(self.address).ok();
        if let Some(thread) = self.thread.take() {
            thread.join().expect("target");
        }
    }
}

fn serve(stream: TcpStream, kept: &Mutex<Vec<Call>>, script: &Script) {
    let Some(call) = read_call(&stream) else { return };
    let mut back = Responder(stream);
    match call.path.as_str() {
        "/load" => {
            let load = r#"{"running":0,"queued":0,"slots":8,"tokens_per_second":100.0,"age_ms":0}"#;
            back.answer(200, "", load);
        }
        path if path.starts_with("/events") => back.answer(200, "", r#"{"events":[]}"#),
        "/cancel" => {
            kept.lock().expect("calls").push(call);
            back.answer(200, "", "{}");
        }
        _ => {
            kept.lock().expect("calls").push(call.clone());
            script(&call, &mut back);
        }
    }
    back.0.shutdown(Shutdown::Both).ok();
}

fn read_call(stream: &TcpStream) -> Option<Call> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let mut words = line.split_whitespace();
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim().split_once(':') else { break };
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(Call { method, path, headers, body })
}

/// An engine of the model `plank` in the platform's list.
pub(crate) fn engine(name: &str, address: SocketAddr, layers: [u16; 2], depth: u16) -> Value {
    listed(
        name,
        address,
        json!({"engine": {
            "model": "plank", "depth": depth, "layers": layers, "tokens_per_second": 500.0,
            "slots": 8, "accelerator": "a100",
        }}),
    )
}

/// A plain service in the platform's list.
pub(crate) fn service(name: &str, address: SocketAddr, service: &str, idempotent: bool) -> Value {
    let kind = json!({"service": {"name": service, "idempotent": idempotent, "slots": 8}});
    listed(name, address, kind)
}

fn listed(name: &str, address: SocketAddr, kind: Value) -> Value {
    json!({"name": name, "domain": "a", "standing": "live", "role": {"target": {
        "name": name, "address": address, "domain": "a", "rack": name, "standing": "live",
        "kind": kind,
    }}})
}

/// The preset of the tests.
pub(crate) fn preset(name: &str) -> preset::Preset {
    let organisation = |name: &str, keys: &[&str]| preset::Organisation {
        name: name.into(),
        weight: 1.0,
        keys: keys.iter().map(|key| (*key).into()).collect(),
    };
    preset::Preset {
        version: 0,
        change: "".into(),
        name: name.into(),
        queue: 100,
        wait: Duration::from_secs(30),
        retry_share: 0.5,
        attempts: 4,
        quarantine: Duration::from_secs(60),
        organisations: vec![organisation("cascade", &[]), organisation("fair", &["fair-key"])],
        links: Vec::new(),
    }
}

/// Puts a preset into the store as the given version.
pub(crate) fn put_preset(platform: SocketAddr, preset: &preset::Preset, version: u64) {
    let client = store::Client::new(store::Settings::builder(&platform.to_string()).build());
    let entry = client.range(store::Purpose::Preset, PRESET_KEY).expect("store");
    let change = format!("change-{version}").into();
    let value = preset::Stored::following(None, preset, &change, version).encode();
    let expected = entry.map_or(0, |entry| entry.revision);
    let write =
        store::Write { key: PRESET_KEY, expected, value: Some(&value), lease: None, guard: None };
    client.cas(store::Purpose::Preset, write).expect("store");
}

/// Waits until something holds.
pub(crate) fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_LIMIT;
    while !holds() {
        assert!(Instant::now() < end, "{what} did not come about");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A node with its platform.
pub(crate) struct Bench {
    pub(crate) platform: Platform,
    pub(crate) node: Process,
}

impl Bench {
    /// Starts a platform that lists `vms`, and a node.
    pub(crate) fn start(vms: Vec<Value>) -> Self {
        Self::start_with(vms, |_| {})
    }

    /// As [`Bench::start`], with other settings.
    pub(crate) fn start_with(vms: Vec<Value>, adjust: impl FnOnce(&mut Arguments)) -> Self {
        let vms = vms.into_iter().map(|vm| serde_json::from_value(vm).expect("vm")).collect();
        let platform = Platform::builder().lag(Duration::ZERO).vms(vms).start().expect("platform");
        put_preset(platform.address(), &preset("ordinary"), 1);
        let node = node(platform.address(), "n1", adjust);
        wait_for("readiness", || node.ready());
        Self { platform, node }
    }

    /// URL of a path at the callers' port.
    pub(crate) fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.node.ports().callers)
    }

    /// URL of a path at the operators' port.
    pub(crate) fn operators(&self, path: &str) -> String {
        format!("http://{}{path}", self.node.ports().operators)
    }

    /// Sends a chat call.
    pub(crate) fn chat(&self, stream: bool, headers: &[(&str, &str)]) -> Answer {
        let body = json!({
            "model": "plank", "messages": [{"role": "user", "content": "draft"}],
            "max_tokens": 64, "stream": stream,
        });
        self.post("/v1/chat/completions", &body.to_string(), headers)
    }

    /// Sends a call of the organisation `cascade`.
    pub(crate) fn post(&self, path: &str, body: &str, headers: &[(&str, &str)]) -> Answer {
        let mut request = agent().post(self.url(path)).header("openai-organization", "cascade");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        Answer::read(request.send(body).expect("an answer"))
    }
}

/// Starts a node on free ports.
pub(crate) fn node(
    platform: SocketAddr,
    name: &str,
    adjust: impl FnOnce(&mut Arguments),
) -> Process {
    let mut text = Arguments::new(name, "a");
    for port in [&mut text.callers, &mut text.peers, &mut text.operators] {
        *port = "127.0.0.1:0".to_owned();
    }
    text.platform = platform.to_string();
    text.list_ms = "50".to_owned();
    text.load_ms = "50".to_owned();
    text.stop_lag_ms = "0".to_owned();
    text.seed = "7".to_owned();
    adjust(&mut text);
    Process::start(text.check().expect("settings")).expect("node")
}

/// Client of the tests.
pub(crate) fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_global(Some(WAIT_LIMIT))
        .build();
    ureq::Agent::new_with_config(config)
}

/// An answer, read to its end.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: HashMap<String, String>,
    pub(crate) body: String,
}

impl Answer {
    pub(crate) fn read(answer: ureq::http::Response<ureq::Body>) -> Self {
        let status = answer.status().as_u16();
        let headers = answer.headers().iter();
        let headers = headers
            .map(|(name, value)| (name.to_string(), value.to_str().unwrap_or("").to_owned()))
            .collect();
        let mut body = String::new();
        answer.into_body().into_reader().read_to_string(&mut body).ok();
        Self { status, headers, body }
    }

    /// Value of a header.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The body as JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Data of all events.
    pub(crate) fn events(&self) -> Vec<Value> {
        let data = self.body.lines().filter_map(|line| line.strip_prefix("data: "));
        data.filter_map(|data| serde_json::from_str(data).ok()).collect()
    }

    /// Ids of all events.
    pub(crate) fn ids(&self) -> Vec<&str> {
        self.body.lines().filter_map(|line| line.strip_prefix("id: ")).collect()
    }

    /// Text of a streamed chat answer.
    pub(crate) fn text(&self) -> String {
        let pieces = self.events();
        pieces.iter().filter_map(|e| e["choices"][0]["delta"]["content"].as_str()).collect()
    }

    /// Whether the stream came to its closing event.
    pub(crate) fn is_complete(&self) -> bool {
        self.body.trim_end().ends_with("data: [DONE]")
            && self.events().iter().any(|e| e["choices"][0]["finish_reason"] == "stop")
    }
}

/// Text of the tokens `0..count`.
pub(crate) fn text(count: usize) -> String {
    (0..count).map(|index| format!("w{index} ")).collect()
}
