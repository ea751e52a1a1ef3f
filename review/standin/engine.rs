//! Stand-in for model engines: layers that are placed by orders, paths through several engines,
//! streams that can be resumed, and parts of prompts that crash them.

use std::collections::BTreeSet;
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::Json;
use crate::store::Store;

/// Layers of the model.
pub const DEPTH: u64 = 8;
/// Interval between events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time that an order takes.
const LOAD_TIME: Duration = Duration::from_millis(120);
/// Time after which a stream through a dead engine is cut off.
const STALL: Duration = Duration::from_millis(2000);

/// A request that has begun to run at the first engine of its path.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub parts: Vec<String>,
    pub body: String,
    pub engine: usize,
    pub at: Instant,
    /// Whether it crashed the engine.
    pub crashed: bool,
}

struct State {
    id: String,
    address: SocketAddr,
    zone: String,
    alive: bool,
    starts: u64,
    born: u64,
    layers: Option<(u64, u64)>,
    sequence: u64,
    fence: u64,
    beats: u64,
    connections: Vec<TcpStream>,
}

pub struct World {
    engines: Vec<State>,
    /// Shared parts of prompts that crash the first engine of the path.
    pub crashing: BTreeSet<String>,
    /// Bodies of requests that do.
    pub crashing_bodies: BTreeSet<String>,
    /// Time after which a crashed engine is back.
    pub back_after: Duration,
    pub events: u64,
    pub runs: Vec<Run>,
    /// Orders that were carried out or refused.
    pub orders: Vec<String>,
}

#[derive(Clone)]
pub struct Engines {
    pub world: Arc<Mutex<World>>,
    store: Store,
    service: String,
}

impl Engines {
    /// Starts an engine in each of the zones.
    pub fn start(host: &str, service: &str, zones: &[&str], events: u64, store: &Store) -> Self {
        let world = World {
            engines: Vec::new(),
            crashing: BTreeSet::new(),
            crashing_bodies: BTreeSet::new(),
            back_after: Duration::from_secs(2),
            events,
            runs: Vec::new(),
            orders: Vec::new(),
        };
        let world = Arc::new(Mutex::new(world));
        let engines = Self { world, store: store.clone(), service: service.to_owned() };
        for (index, zone) in zones.iter().enumerate() {
            let listener = TcpListener::bind((host, 0)).expect("a free port");
            let address = listener.local_addr().expect("an address");
            engines.world.lock().unwrap().engines.push(State {
                id: format!("i-e{index}"),
                address,
                zone: (*zone).to_owned(),
                alive: true,
                starts: 1,
                born: unix_ms(),
                layers: None,
                sequence: 0,
                fence: 0,
                beats: 0,
                connections: Vec::new(),
            });
            engines.listen(index, listener);
            engines.register(index);
        }
        let beating = engines.clone();
        thread::spawn(move || {
            loop {
                sleep(HEARTBEAT);
                let count = beating.world.lock().unwrap().engines.len();
                (0..count).for_each(|index| beating.register(index));
            }
        });
        engines
    }

    /// Writes the entry of an engine that is alive.
    fn register(&self, index: usize) {
        let (key, entry) = {
            let mut world = self.world.lock().unwrap();
            let engine = &mut world.engines[index];
            if !engine.alive {
                return;
            }
            engine.beats += 1;
            let (from, to) = engine.layers.unwrap_or((0, 0));
            let State { id, address, zone, born, beats, .. } = engine;
            let service = &self.service;
            let entry = format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":1,\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\
                 \"sequence\":{beats},\"kind\":\"card\",\"stage\":\"both\",\"models\":[],\
                 \"layers\":{{\"from\":{from},\"to\":{to},\"version\":1}},\"born\":{born}}}"
            );
            (format!("servers/{id}"), entry)
        };
        self.store.put(&key, &entry);
    }

    fn listen(&self, index: usize, listener: TcpListener) {
        let engines = self.clone();
        listener.set_nonblocking(true).expect("a port that can be closed");
        thread::spawn(move || {
            let start = engines.world.lock().unwrap().engines[index].starts;
            loop {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).ok();
                        stream.set_nodelay(true).ok();
                        let mut world = engines.world.lock().unwrap();
                        let engine = &mut world.engines[index];
                        if !engine.alive || engine.starts != start {
                            return;
                        }
                        engine.connections.extend(stream.try_clone());
                        drop(world);
                        let engines = engines.clone();
                        thread::spawn(move || engines.serve(index, start, stream));
                    }
                    Err(_) => {
                        let world = engines.world.lock().unwrap();
                        let engine = &world.engines[index];
                        if !engine.alive || engine.starts != start {
                            return;
                        }
                        drop(world);
                        sleep(Duration::from_millis(2));
                    }
                }
            }
        });
    }

    fn serve(&self, index: usize, start: u64, mut stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        while let Ok(request) = http::read_message(&mut reader) {
            if !self.is_start(index, start) || self.handle(index, &request, &mut stream).is_err() {
                break;
            }
        }
        stream.shutdown(Shutdown::Both).ok();
    }

    fn is_start(&self, index: usize, start: u64) -> bool {
        let world = self.world.lock().unwrap();
        world.engines[index].alive && world.engines[index].starts == start
    }

    /// Returns the layers that each engine holds.
    pub fn layers(&self) -> Vec<Option<(u64, u64)>> {
        let world = self.world.lock().unwrap();
        world.engines.iter().map(|engine| engine.layers.filter(|_| engine.alive)).collect()
    }

    /// Ends an engine without notice. It is back, empty and under another id, some time later.
    pub fn crash(&self, index: usize) {
        let (address, key, back_after) = {
            let mut world = self.world.lock().unwrap();
            let back_after = world.back_after;
            let engine = &mut world.engines[index];
            engine.alive = false;
            for connection in engine.connections.drain(..) {
                connection.shutdown(Shutdown::Both).ok();
            }
            (engine.address, format!("servers/{}", engine.id), back_after)
        };
        let engines = self.clone();
        thread::spawn(move || {
            sleep(back_after);
            let listener = TcpListener::bind(address).expect("the engine's port");
            {
                let mut world = engines.world.lock().unwrap();
                let engine = &mut world.engines[index];
                engine.starts += 1;
                engine.id = format!("i-e{index}s{}", engine.starts);
                engine.born = unix_ms();
                (engine.layers, engine.sequence, engine.fence) = (None, 0, 0);
                engine.alive = true;
            }
            engines.listen(index, listener);
            engines.register(index);
            // Three heartbeats of silence.
            sleep((HEARTBEAT * 3).saturating_sub(back_after));
            engines.store.remove(&key);
        });
    }

    fn handle(&self, index: usize, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        match (request.start.0.as_str(), request.path()) {
            ("GET", "/report") => {
                let body = {
                    let world = self.world.lock().unwrap();
                    let engine = &world.engines[index];
                    let (from, to) = engine.layers.unwrap_or((0, 0));
                    let State { sequence, born, .. } = engine;
                    format!(
                        "{{\"stage\":\"both\",\"models\":[],\"busy\":false,\
                         \"sequence\":{sequence},\"waiting\":0,\"running\":0,\"kv_used\":0,\
                         \"kv_total\":100000,\"handles\":0,\"pace\":1.0,\"kind\":\"card\",\
                         \"layers\":{{\"from\":{from},\"to\":{to},\"version\":1}},\
                         \"born\":{born},\"stalled\":[]}}"
                    )
                };
                http::answer(stream, 200, &[], body.as_bytes())
            }
            ("POST", "/order") => self.order(index, request, stream),
            _ => self.run(index, request, stream),
        }
    }

    fn order(&self, index: usize, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let call = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let (from, to) = (call.get("from").number(), call.get("to").number());
        let fence = call.get("fence").number();
        let status = {
            let mut world = self.world.lock().unwrap();
            let engine = &mut world.engines[index];
            let expected = call.get("expected");
            let status = if fence < engine.fence {
                412
            } else if *expected != Json::Null && expected.number() != engine.sequence {
                409
            } else if engine.layers == Some((from, to)) {
                200
            } else {
                engine.sequence += 1;
                engine.fence = fence;
                202
            };
            world.orders.push(format!("engine {index} {from}-{to} fence {fence}: {status}"));
            status
        };
        if status == 202 {
            let engines = self.clone();
            let start = self.world.lock().unwrap().engines[index].starts;
            thread::spawn(move || {
                sleep(LOAD_TIME);
                if engines.is_start(index, start) {
                    engines.world.lock().unwrap().engines[index].layers = Some((from, to));
                    engines.register(index);
                }
            });
        }
        http::answer(stream, status, &[], b"")
    }

    /// Runs a request. An error ends the connection.
    fn run(&self, index: usize, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let id = request.field("request-id").unwrap_or_default().to_owned();
        let fields = [("Request-Id", id.as_str())];
        let refuse = |stream: &mut TcpStream, status: u16, at: SocketAddr| {
            let at = at.to_string();
            let fields = [fields[0], ("Not-Run", "1"), ("At-Server", at.as_str())];
            http::answer(stream, status, &fields, b"")
        };
        let path: Vec<(SocketAddr, u64, u64)> = request
            .field("hop-count")
            .unwrap_or_default()
            .split(',')
            .filter_map(|stage| {
                let (address, layers) = stage.trim().split_once('=')?;
                let (from, to) = layers.split_once('-')?;
                Some((address.parse().ok()?, from.parse().ok()?, to.parse().ok()?))
            })
            .collect();
        let prefix = request.field("prompt-prefix").unwrap_or_default();
        let part = |entry: &str| entry.split(':').next().unwrap_or_default().trim().to_owned();
        let parts: Vec<String> = prefix.split(',').map(part).collect();
        let (own, stages, crashes, events, stamp) = {
            let mut world = self.world.lock().unwrap();
            let own = world.engines[index].address;
            let id_now = world.engines[index].id.clone();
            if request.field("expect-instance").is_some_and(|expected| expected != id_now) {
                drop(world);
                return refuse(stream, 421, own);
            }
            if path.is_empty() || path[0].0 != own {
                drop(world);
                return refuse(stream, 400, own);
            }
            let mut stages = Vec::new();
            for (address, from, to) in &path {
                let stage = world.engines.iter().position(|engine| engine.address == *address);
                let Some(stage) = stage.filter(|stage| world.engines[*stage].alive) else {
                    drop(world);
                    return refuse(stream, 503, *address);
                };
                let engine = &world.engines[stage];
                let held = engine.layers.unwrap_or((0, 0));
                if held.0 > *from || held.1 < *to {
                    drop(world);
                    return refuse(stream, 421, *address);
                }
                stages.push((stage, engine.starts));
            }
            let shared = &parts[..parts.len().saturating_sub(1)];
            let body = String::from_utf8_lossy(&request.body).into_owned();
            let crashes = shared.iter().any(|part| world.crashing.contains(part))
                || world.crashing_bodies.contains(&body);
            world.runs.push(Run {
                id: id.clone(),
                parts: parts.clone(),
                body,
                engine: index,
                at: Instant::now(),
                crashed: crashes,
            });
            (own, stages, crashes, world.events, format!("stamp.{id_now}"))
        };
        let _ = own;
        if crashes {
            self.crash(index);
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: {stamp}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        let last = request.field("last-event-id").and_then(|last| last.parse::<u64>().ok());
        for number in last.unwrap_or(0) + 1..=events {
            sleep(EVENT_INTERVAL);
            let since = Instant::now();
            while !stages.iter().all(|(stage, start)| self.is_start(*stage, *start)) {
                if since.elapsed() > STALL {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                sleep(EVENT_INTERVAL);
            }
            let event = format!("id: {number}\ndata: token {number}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
