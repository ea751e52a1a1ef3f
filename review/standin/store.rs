//! Stand-in for the platform's metadata store: keys, revisions, leases, watches.
//!
//! Answers to single write calls can be lost: such a call is carried out later, if its condition and
//! its lease still hold, or never, and its connection returns nothing further.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::Json;

/// Interval at which waiting watches look for changes.
const POLL: Duration = Duration::from_millis(4);

struct Item {
    /// The value as on the wire.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

/// What becomes of a write call without an answer.
#[derive(Clone, Copy, Debug)]
pub enum Lost {
    /// It is done after this time.
    Late(Duration),
    /// It is not done.
    Undone,
}

/// Decides whether a write call to a key gets no answer.
pub type Loss = Box<dyn FnMut(&str) -> Option<Lost> + Send>;

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key and row of each change.
    changes: Vec<(u64, String, String)>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
    loss: Option<Loss>,
    /// Write calls so far, and those without an answer.
    writes: u64,
    lost: u64,
    log: Vec<(Instant, String)>,
}

/// The store. Clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    pub address: SocketAddr,
}

fn row(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"created\":{created},\"lease\":{lease}}}"
    )
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: value.to_owned(), revision, created, lease };
        self.changes.push((revision, key.to_owned(), row(key, &item)));
        self.items.insert(key.to_owned(), item);
        self.log.push((Instant::now(), format!("wrote {key} lease={lease}")));
    }

    fn remove(&mut self, key: &str, why: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let row =
                format!("{{\"key\":\"{key}\",\"revision\":{},\"deleted\":true}}", self.revision);
            self.changes.push((self.revision, key.to_owned(), row));
            self.log.push((Instant::now(), format!("removed {key} ({why})")));
        }
    }

    fn end_lease(&mut self, lease: u64, why: &str) -> bool {
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key, why));
        self.leases.remove(&lease).is_some()
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for lease in ended {
            self.end_lease(lease, "lease ended");
        }
    }

    fn commit(&mut self, call: &Json) -> (u16, String) {
        self.expire();
        let revision = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let mut expected = call.get("expected").list().iter();
        if expected.any(|row| revision(row.get("key").text()) != row.get("revision").number()) {
            return (412, "{\"items\":[]}".to_owned());
        }
        let writes = call.get("writes").list();
        let lease = |write: &Json| write.get("lease").number();
        if writes.iter().any(|write| lease(write) != 0 && !self.leases.contains_key(&lease(write)))
        {
            return (404, "{}".to_owned());
        }
        for write in writes {
            self.put(write.get("key").text(), write.get("value").text(), lease(write));
        }
        for key in call.get("remove").list() {
            self.remove(key.text(), "by call");
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

impl Store {
    pub fn start(host: &str) -> Self {
        let listener = TcpListener::bind((host, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(State { next_lease: 7_000, ..State::default() }));
        let store = Self { state, address };
        let serving = store.clone();
        http::serve(listener, move |request, stream| serving.handle(request, stream));
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                sleep(POLL);
                expiring.state.lock().unwrap().expire();
            }
        });
        store
    }

    /// Writes a key as the operator or an engine does.
    pub fn put(&self, key: &str, value: &str) {
        self.state.lock().unwrap().put(key, &base64(value.as_bytes()), 0);
    }

    /// Removes a key as the platform does.
    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().remove(key, "by the platform");
    }

    pub fn set_loss(&self, loss: Option<Loss>) {
        self.state.lock().unwrap().loss = loss;
    }

    /// Returns the write calls so far and those that were not answered.
    pub fn writes(&self) -> (u64, u64) {
        let state = self.state.lock().unwrap();
        (state.writes, state.lost)
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    pub fn log(&self) -> Vec<(Instant, String)> {
        self.state.lock().unwrap().log.clone()
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let call = Json::parse(&body).unwrap_or(Json::Null);
        let path = request.path().to_owned();
        let prefix = request.query("prefix").to_owned();
        let after = request.query("after").to_owned();
        if path == "/kv-watch" {
            return self.watch(request, &prefix, after.parse().unwrap_or(0), stream);
        }
        let mut state = self.state.lock().unwrap();
        state.expire();
        let (status, body) = match path.trim_matches('/').split('/').collect::<Vec<_>>()[..] {
            ["kv-range"] => {
                let items = state.items.iter().filter(|(key, _)| key.starts_with(&prefix));
                let items = items.filter(|(key, _)| key.as_str() > after.as_str());
                let rows: Vec<String> = items.map(|(key, item)| row(key, item)).collect();
                let rows = rows.join(",");
                let at = state.revision;
                (200, format!("{{\"items\":[{rows}],\"has_more\":false,\"at\":{at}}}"))
            }
            ["kv-txn"] => {
                state.writes += 1;
                let key = call.get("writes").list().first().map(|write| write.get("key").text());
                let key = key.unwrap_or_default().to_owned();
                let lost = state.loss.as_mut().and_then(|loss| loss(&key));
                if let Some(lost) = lost {
                    state.lost += 1;
                    let line = format!("no answer to write of {key}: {lost:?}");
                    state.log.push((Instant::now(), line));
                    drop(state);
                    if let Lost::Late(delay) = lost {
                        let store = self.clone();
                        thread::spawn(move || {
                            sleep(delay);
                            let mut state = store.state.lock().unwrap();
                            let (status, _) = state.commit(&call);
                            let line = format!("late write of {key}: {status}");
                            state.log.push((Instant::now(), line));
                        });
                    }
                    // The connection returns nothing further.
                    sleep(Duration::from_secs(20));
                    return Err(io::ErrorKind::TimedOut.into());
                }
                state.commit(&call)
            }
            ["kv-lease"] => {
                state.writes += 1;
                state.next_lease += 1;
                let (id, ttl) = (state.next_lease, call.get("ttl_ms").number());
                let ttl_time = Duration::from_millis(ttl);
                state.leases.insert(id, (ttl_time, Instant::now() + ttl_time));
                (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
            }
            ["kv-keep", id] => match state.leases.get_mut(&id.parse().unwrap_or(0)) {
                Some((ttl, end)) => {
                    *end = Instant::now() + *ttl;
                    (200, "{}".to_owned())
                }
                None => (404, "{}".to_owned()),
            },
            ["kv-lease-end", id] => {
                let ended = state.end_lease(id.parse().unwrap_or(0), "lease given back");
                (if ended { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        };
        drop(state);
        http::answer(stream, status, &[("Store-Era", "0")], body.as_bytes())
    }

    fn watch(
        &self,
        request: &Message,
        prefix: &str,
        after: u64,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        let wait = request.query("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            {
                let state = self.state.lock().unwrap();
                let changes = state.changes.iter();
                let changes = changes.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
                let rows: Vec<&str> = changes.map(|(_, _, row)| row.as_str()).collect();
                if !rows.is_empty() || Instant::now() >= until {
                    let (rows, at) = (rows.join(","), state.revision);
                    drop(state);
                    let body = format!("{{\"events\":[{rows}],\"at\":{at}}}");
                    return http::answer(stream, 200, &[("Store-Era", "0")], body.as_bytes());
                }
            }
            sleep(POLL);
        }
    }
}

/// Encodes bytes in standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let bits = chunk.iter().fold(0u32, |bits, byte| bits << 8 | u32::from(*byte));
        let bits = bits << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let letter = LETTERS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() { char::from(letter) } else { '=' });
        }
    }
    text
}
