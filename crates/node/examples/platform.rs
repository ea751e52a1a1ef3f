//! The entry process on stand-ins for the users' platform: two nodes, six engines in two
//! failure domains, a store. Streams go on while an engine is lost; a booking whose answer is
//! lost is made once; keys and configurations take force.
//!
//! `cargo run --release -p node --example platform`

use std::env;
use std::fs;
use std::io;
use std::process::{Child, Command, ExitCode, Stdio};
use std::thread::sleep;
use std::time::Duration;

use platform_standin::{
    Call, Document, Fault, MODEL, PLAIN, Platform, Route, Settings, Setup, send_call, spawn_call,
};

/// Events of each stream.
const EVENTS: u64 = 60;
/// Longest wait for the nodes to serve.
const START_LIMIT: Duration = Duration::from_secs(15);

/// A node; ended with the demonstration.
struct Node(Child);

impl Drop for Node {
    fn drop(&mut self) {
        // It may have ended already.
        self.0.kill().ok();
        self.0.wait().ok();
    }
}

/// Starts this program once more, as a node.
fn start(settings: &Settings) -> io::Result<Node> {
    let file = env::temp_dir().join(format!("magnolia-{}.conf", settings.front.ip()));
    fs::write(&file, &settings.text)?;
    let mut command = Command::new(env::current_exe()?);
    command.arg("front").env("MAGNOLIARUN_NODE_FILE", file).stdout(Stdio::null());
    Ok(Node(command.spawn()?))
}

fn main() -> ExitCode {
    if env::args().nth(1).as_deref() == Some("front") {
        return match edge::run(edge::Prompts::default()) {
            Ok(()) => ExitCode::SUCCESS,
            Err(failure) => {
                eprintln!("Error: {failure}");
                ExitCode::FAILURE
            }
        };
    }
    match show() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("Error: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Shows it; returns whether all came out as it should.
fn show() -> io::Result<bool> {
    let platform = Platform::start("127.83.0.1");
    platform.configure(&Document::default());
    let engines = [("a1", "a"), ("a2", "a"), ("a3", "a"), ("b1", "b"), ("b2", "b"), ("b3", "b")];
    let engines = engines.map(|(id, domain)| {
        platform.start_target(
            "127.83.0.1",
            Setup { id: id.into(), service: MODEL, domain, events: EVENTS },
        )
    });
    let setup = Setup { id: "p1".into(), service: PLAIN, domain: "a", events: 0 };
    let plain = platform.start_target("127.83.0.1", setup);
    let hosts = ["127.83.0.2", "127.83.0.3"];
    let settings = hosts.map(|host| Settings::new(host, "a", host, platform.store()));
    let nodes = [start(&settings[0])?, start(&settings[1])?];
    let serves = |index: usize| {
        let stream = Call::new(Route::Resumable, "first");
        platform.wait(START_LIMIT, || send_call(settings[index].front, &stream).is_complete(EVENTS))
    };
    let mut good = serves(0) && serves(1);
    println!("2 nodes, {} engines: streams served: {good}", engines.len());

    let stream = |number: usize| {
        let what = Call::new(Route::Resumable, &format!("s{number}"));
        spawn_call(settings[number % 2].front, what)
    };
    let streams: Vec<_> = (0..20).map(stream).collect();
    sleep(Duration::from_millis(200));
    let first = platform.runs().into_iter().find(|run| run.request == "s0");
    let Some(lost) = first.and_then(|run| run.engines.first().copied()) else {
        return Ok(false);
    };
    platform.kill(lost);
    let replies = streams.into_iter().filter_map(|stream| stream.join().ok());
    let whole = replies.filter(|reply| reply.is_complete(EVENTS)).count();
    let runs = platform.runs();
    let moved = runs.iter().filter(|run| run.after.is_some()).count();
    println!("engine {lost} lost in the middle: {whole} of 20 streams whole, {moved} moved");
    good &= whole == 20 && runs.iter().all(|run| run.covers_all_layers(Document::DEPTH));

    platform.set_fault(plain, Fault::LosesAnswers);
    let booking = send_call(settings[0].front, &Call::new(Route::Unsafe, "booking"));
    let made = platform.runs().iter().filter(|run| run.request == "booking").count();
    println!("booking whose answer is lost: status {:?}, made {made} time(s)", booking.status);
    good &= booking.status == Some(502) && made == 1;

    platform.configure(&Document { version: 2, keys: vec!["k1"], ..Document::default() });
    let keyless = Call::new(Route::Resumable, "keyless");
    let refused = || send_call(settings[1].front, &keyless).status == Some(401);
    let in_force = platform.wait(Duration::from_secs(3), refused);
    println!("configuration that asks for keys in force: {in_force}");
    drop(nodes);
    Ok(good && in_force)
}
