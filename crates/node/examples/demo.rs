//! The whole path in one process: the deployment pnw in stand-ins and four nodes.
//!
//! Prints a streamed answer, a booking made once though sent twice, and a preset
//! switch taking force. `--serve` keeps it up, with commands to copy.

use std::io::{BufRead, BufReader, Write, stdout};
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use node::control;
use node::settings::Arguments;
use node::shell::Process;
use serde_json::{Value, json};
use standin::deployment::{Deployment, pnw};

/// Organisation whose calls the demonstration makes.
const ORGANISATION: &str = "cascade-crews";
/// Failure domains of the entry VMs.
const DOMAINS: [&str; 4] = ["pnw-a", "pnw-b", "pnw-c", "pnw-a"];
/// Longest wait for the nodes to be ready.
const READY_WAIT: Duration = Duration::from_secs(20);

type Failure = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let serve = std::env::args().any(|argument| argument == "--serve");
    match demonstrate(serve) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("Error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn demonstrate(serve: bool) -> Result<(), Failure> {
    let deployment = pnw().start().map_err(|report| format!("{report}"))?;
    println!(
        "pnw: {} engines, {} booking engines, platform at {}",
        deployment.engines.len(),
        deployment.services.len(),
        deployment.platform.address()
    );
    let nodes = start_nodes(&deployment)?;
    operate(&deployment, &nodes, &["put", &preset_file("ordinary")])?;
    wait_until_ready(&nodes)?;
    stream(&nodes[0])?;
    book_twice(&nodes, &deployment)?;
    println!("\n== a preset switch, as magnoliactl makes it");
    let folder = preset_folder();
    operate(&deployment, &nodes, &["switch", "peak", "--presets", &folder])?;
    if serve {
        keep_up(&deployment, &nodes);
    }
    println!("\n== planned stop");
    for node in nodes {
        let name = node.ports().callers;
        println!("node at {name}: {} requests cut off", node.stop());
    }
    Ok(())
}

fn preset_folder() -> String {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../presets/pnw").display().to_string()
}

fn preset_file(name: &str) -> String {
    format!("{}/{name}.toml", preset_folder())
}

fn start_nodes(deployment: &Deployment) -> Result<Vec<Process>, Failure> {
    let mut nodes = Vec::new();
    for (number, domain) in DOMAINS.into_iter().enumerate() {
        let name = format!("n{}", number + 1);
        let mut text = Arguments::new(&name, domain);
        for port in [&mut text.callers, &mut text.peers, &mut text.operators] {
            *port = "127.0.0.1:0".to_owned();
        }
        text.platform = deployment.platform.address().to_string();
        text.stop_lag_ms = "0".to_owned();
        let node = Process::start(text.check()?).map_err(|report| format!("{report}"))?;
        deployment.join_node(name, domain, node.ports().peers);
        nodes.push(node);
    }
    Ok(nodes)
}

fn operators(nodes: &[Process]) -> String {
    let ports: Vec<String> = nodes.iter().map(|node| node.ports().operators.to_string()).collect();
    ports.join(",")
}

/// Runs `magnoliactl` in this process.
fn operate(deployment: &Deployment, nodes: &[Process], arguments: &[&str]) -> Result<(), Failure> {
    let platform = deployment.platform.address().to_string();
    let nodes = operators(nodes);
    let given = [&["--platform", &platform, "--nodes", &nodes][..], arguments].concat();
    let command = control::options().run_inner(&given[..]).map_err(|_| "bad arguments")?;
    let printed = command.run(&mut |line| println!("magnoliactl: {line}"))?;
    if printed.code == control::EXIT_DONE { Ok(()) } else { Err("magnoliactl failed".into()) }
}

fn wait_until_ready(nodes: &[Process]) -> Result<(), Failure> {
    let end = Instant::now() + READY_WAIT;
    while !nodes.iter().all(Process::ready) {
        if Instant::now() > end {
            return Err("the nodes did not become ready".into());
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder().http_status_as_error(false).proxy(None).build().new_agent()
}

fn chat_body() -> Value {
    let content = "Draft an estimate: 42 square metres of white oak, two stairs.";
    json!({
        "model": "plank", "stream": true, "max_tokens": 40,
        "messages": [{"role": "user", "content": content}],
    })
}

fn stream(node: &Process) -> Result<(), Failure> {
    println!("\n== a streamed answer");
    let began = Instant::now();
    let answer = agent()
        .post(format!("http://{}/v1/chat/completions", node.ports().callers))
        .header("openai-organization", ORGANISATION)
        .send(chat_body().to_string())?;
    let status = answer.status();
    let mut first = None;
    let mut last = String::new();
    for line in BufReader::new(answer.into_body().into_reader()).lines() {
        let line = line?;
        let Some(data) = line.strip_prefix("data: ") else { continue };
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(text) = event["choices"][0]["delta"]["content"].as_str() {
            first.get_or_insert_with(|| began.elapsed());
            print!("{text}");
            stdout().flush()?;
        }
        data.clone_into(&mut last);
    }
    println!(
        "\n-- status {status}, first token after {:.0?}, whole after {:.0?}",
        first.unwrap_or_default(),
        began.elapsed()
    );
    if last == "[DONE]" { Ok(()) } else { Err("the answer is not whole".into()) }
}

fn book_twice(nodes: &[Process], deployment: &Deployment) -> Result<(), Failure> {
    println!("\n== a booking, sent twice under one key through two nodes");
    for node in &nodes[..2] {
        let mut answer = agent()
            .post(format!("http://{}/services/booking/book", node.ports().callers))
            .header("openai-organization", ORGANISATION)
            .header("idempotency-key", "crew-7-friday")
            .send(r#"{"crew": 7, "day": "friday"}"#)?;
        let run = answer.headers().get("magnolia-run").and_then(|value| value.to_str().ok());
        let run = run.unwrap_or_default().to_owned();
        let body = answer.body_mut().read_to_string()?;
        println!("-- status {}, Magnolia-Run: {run}, {body}", answer.status());
    }
    let runs: usize = deployment.services.iter().map(|service| service.runs().len()).sum();
    println!("-- the booking engines ran it {runs} time(s)");
    if runs == 1 { Ok(()) } else { Err("the booking did not run exactly once".into()) }
}

fn keep_up(deployment: &Deployment, nodes: &[Process]) {
    let callers = nodes[0].ports().callers;
    println!("\n== kept up until Enter; commands to copy:");
    println!(
        "curl -N http://{callers}/v1/chat/completions -H 'OpenAI-Organization: {ORGANISATION}' \
         -d '{}'",
        chat_body()
    );
    println!(
        "curl -i http://{callers}/services/booking/book -H 'OpenAI-Organization: \
         {ORGANISATION}' -H 'Idempotency-Key: k1' -d '{{\"crew\": 8}}'"
    );
    let platform = deployment.platform.address();
    let control = format!("magnoliactl -- --platform {platform} --nodes {}", operators(nodes));
    println!("cargo run -q --release -p node --bin {control} status");
    println!(
        "cargo run -q --release -p node --bin {control} switch maintenance --presets presets/pnw"
    );
    println!("curl http://{}/metrics", nodes[0].ports().operators);
    let mut line = String::new();
    if std::io::stdin().read_line(&mut line).is_err() {
        println!("standard input is closed");
    }
}
