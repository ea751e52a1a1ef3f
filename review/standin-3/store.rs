//! Stand-in of the platform's metadata store: items, watches, conditional writes and leases.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, Reader, respond};
use crate::json::{Value, decode_base64, encode_base64};

/// Interval at which leases are checked.
const LEASE_CHECK: Duration = Duration::from_millis(20);

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes with their revisions, keys and rows.
    history: Vec<(u64, String, String)>,
    leases: HashMap<u64, (Duration, Instant)>,
}

#[derive(Default)]
struct State {
    content: Content,
    era: u64,
    /// Whether the store refuses all calls (503), so that nothing is done.
    is_down: bool,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    /// Address on which it listens.
    pub address: SocketAddr,
}

impl Content {
    fn put(&mut self, key: &str, value: &[u8], lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: value.to_vec(), revision, created, lease };
        self.history.push((revision, key.to_owned(), row(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let row = format!(r#"{{"key":"{key}","revision":{},"deleted":true}}"#, self.revision);
            self.history.push((self.revision, key.to_owned(), row));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
        self.leases.remove(&lease).is_some()
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, until))| *until <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        ended.into_iter().for_each(|lease| {
            self.end_lease(lease);
        });
    }
}

fn row(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{},"created":{},"lease":{}}}"#,
        encode_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

impl Store {
    /// Starts a store on a free port of `ip`.
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Self { shared: Arc::default(), address };
        let (serving, expiring) = (store.clone(), store.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        thread::spawn(move || {
            loop {
                thread::sleep(LEASE_CHECK);
                let mut state = expiring.lock();
                if !state.is_down {
                    state.content.expire();
                    expiring.shared.1.notify_all();
                }
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("no panic while it is held")
    }

    /// Writes a key, as the operator and the engines do. Does nothing while the store is down.
    pub fn put(&self, key: &str, value: &str) -> bool {
        let mut state = self.lock();
        if !state.is_down {
            state.content.put(key, value.as_bytes(), 0);
            self.shared.1.notify_all();
        }
        !state.is_down
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.lock().content.remove(key);
        self.shared.1.notify_all();
    }

    /// Sets whether the store is down. Leases pause meanwhile.
    pub fn set_down(&self, is_down: bool) {
        self.lock().is_down = is_down;
        self.shared.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(input) = stream.try_clone() else { return };
        let mut reader = Reader::new(input);
        while let Some(call) = reader.request() {
            let (status, body) = self.answer(&call);
            let era = self.lock().era.to_string();
            let fields = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
            if respond(&mut stream, status, &fields, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (&'static str, String) {
        const DOWN: (&str, String) = ("503 Service Unavailable", String::new());
        const MISSING: (&str, String) = ("404 Not Found", String::new());
        let mut state = self.lock();
        if state.is_down {
            return DOWN;
        }
        state.content.expire();
        let prefix = call.parameter("prefix");
        let after = call.parameter("after");
        let id = call.path().rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        match call.path() {
            "/kv-watch" => {
                let after = after.parse().unwrap_or(0);
                let wait = Duration::from_millis(call.parameter("wait_ms").parse().unwrap_or(0));
                drop(state);
                self.watch(&prefix, after, wait)
            }
            "/kv-range" => {
                let items = state.content.items.iter();
                let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let rows: Vec<String> = items.map(|(key, item)| row(key, item)).collect();
                let at = state.content.revision;
                let rows = rows.join(",");
                ("200 OK", format!(r#"{{"items":[{rows}],"has_more":false,"at":{at}}}"#))
            }
            "/kv-lease" => {
                let ttl = Value::parse(&call.body).and_then(|call| call.number("ttl_ms"));
                let ttl = ttl.unwrap_or(1000);
                state.content.revision += 1;
                let lease = state.content.revision;
                let time = Duration::from_millis(ttl);
                state.content.leases.insert(lease, (time, Instant::now() + time));
                ("200 OK", format!(r#"{{"lease":{lease},"ttl_ms":{ttl}}}"#))
            }
            "/kv-txn" => commit(&mut state.content, &call.body, &self.shared.1),
            path if path.starts_with("/kv-keep/") => match state.content.leases.get_mut(&id) {
                Some((ttl, until)) => {
                    *until = Instant::now() + *ttl;
                    ("200 OK", format!(r#"{{"ttl_ms":{}}}"#, ttl.as_millis()))
                }
                None => MISSING,
            },
            path if path.starts_with("/kv-lease-end/") => {
                let was_there = state.content.end_lease(id);
                self.shared.1.notify_all();
                if was_there { ("200 OK", "{}".to_owned()) } else { MISSING }
            }
            _ => MISSING,
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let mut state = self.lock();
        let era = state.era;
        loop {
            if state.is_down {
                return ("503 Service Unavailable", String::new());
            }
            if state.era != era || after > state.content.revision {
                return ("410 Gone", String::new());
            }
            let changes = state.content.history.iter();
            let changes = changes.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let rows: Vec<&str> = changes.map(|(_, _, row)| row.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let (rows, at) = (rows.join(","), state.content.revision);
                return ("200 OK", format!(r#"{{"events":[{rows}],"at":{at}}}"#));
            }
            state = self.shared.1.wait_timeout(state, left).expect("no panic while it is held").0;
        }
    }
}

fn commit(content: &mut Content, body: &[u8], changed: &Condvar) -> (&'static str, String) {
    let Some(call) = Value::parse(body) else { return ("400 Bad Request", String::new()) };
    let holds = |row: &Value| {
        let key = row.text("key").unwrap_or_default();
        let revision = content.items.get(key).map_or(0, |item| item.revision);
        row.number("revision") == Some(revision)
    };
    if !call.list("expected").iter().all(holds) {
        return ("412 Precondition Failed", r#"{"items":[]}"#.to_owned());
    }
    for write in call.list("writes") {
        let lease = write.number("lease").unwrap_or(0);
        if lease != 0 && !content.leases.contains_key(&lease) {
            return ("404 Not Found", String::new());
        }
    }
    for write in call.list("writes") {
        let value = decode_base64(write.text("value").unwrap_or_default());
        let lease = write.number("lease").unwrap_or(0);
        content.put(write.text("key").unwrap_or_default(), &value, lease);
    }
    for key in call.list("remove") {
        if let Value::Text(key) = key {
            content.remove(key);
        }
    }
    changed.notify_all();
    ("200 OK", format!(r#"{{"revision":{}}}"#, content.revision))
}
