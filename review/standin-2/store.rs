//! Stand-in of the platform's metadata store.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, response};
use crate::json::{Json, quote};

const BASE64: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let bits = part.iter().fold(0u32, |bits, byte| bits << 8 | u32::from(*byte));
        let bits = bits << (8 * (3 - part.len()));
        for index in 0..4 {
            match index <= part.len() {
                true => text.push(char::from(BASE64[(bits >> (18 - 6 * index) & 63) as usize])),
                false => text.push('='),
            }
        }
    }
    text
}

/// Addresses as one machine knows them, in place of those of the others.
pub type View = Arc<Vec<(String, String)>>;

#[derive(Clone)]
struct Item {
    /// Base64.
    value: String,
    /// The value as text, if the operator or a target wrote it.
    text: Option<String>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Revision, key and item of each change; no item if the key was removed.
    events: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    leases: HashMap<u64, (Duration, Instant)>,
    newest_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: String, text: Option<String>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, text, revision, created, lease };
        self.events.push((revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push((self.revision, key.to_owned(), None));
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
        let expired = self.leases.iter().filter(|(_, (_, until))| *until <= now);
        let expired: Vec<u64> = expired.map(|(lease, _)| *lease).collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }
}

fn row(key: &str, revision: u64, item: Option<&Item>, view: &View) -> String {
    let key = quote(key);
    let Some(Item { value, text, created, lease, .. }) = item else {
        return format!("{{\"key\":{key},\"revision\":{revision},\"deleted\":true}}");
    };
    let translated = text.as_ref().filter(|_| !view.is_empty()).map(|text| {
        let text = view.iter().fold(text.clone(), |text, (from, to)| text.replace(from, to));
        encode(text.as_bytes())
    });
    let value = translated.as_ref().unwrap_or(value);
    format!(
        "{{\"key\":{key},\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\
         \"lease\":{lease}}}"
    )
}

/// The store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    view: View,
}

impl Store {
    pub fn start(host: &str) -> Self {
        let state = Arc::default();
        let store = Self::listen(host, state, View::default());
        let expired = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expired.change(State::expire);
            }
        });
        store
    }

    fn listen(host: &str, state: Arc<(Mutex<State>, Condvar)>, view: View) -> Self {
        let listener = TcpListener::bind((host, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Self { address, state, view };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        store
    }

    /// Returns the same store at another address, where a machine finds the targets at the addresses
    /// by which it alone reaches them.
    pub fn with_view(&self, host: &str, view: Vec<(String, String)>) -> Self {
        Self::listen(host, self.state.clone(), Arc::new(view))
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.0.lock().expect("the store goes on");
        let before = state.revision;
        let result = change(&mut state);
        if state.revision != before {
            self.state.1.notify_all();
        }
        result
    }

    /// Writes a key as the operator or a target does.
    pub fn put(&self, key: &str, value: &str) {
        self.change(|state| state.put(key, encode(value.as_bytes()), Some(value.to_owned()), 0));
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(call)) = connection.read() {
            let (status, body) = self.answer(&call);
            let fields = "Content-Type: application/json\r\nStore-Era: 0\r\n";
            if connection.send(&response(status, fields, &body)).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (&'static str, String) {
        let target = call.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: HashMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, decode_percent(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let body = Json::parse(&String::from_utf8_lossy(&call.body)).unwrap_or(Json::Null);
        match (call.word(0), path) {
            ("GET", "/kv-range") => self.range(&text("prefix"), &text("after")),
            ("GET", "/kv-watch") => {
                let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0));
                self.watch(&text("prefix"), text("after").parse().unwrap_or(0), wait)
            }
            ("POST", "/kv-txn") => self.commit(&body),
            ("POST", "/kv-lease") => self.change(|state| {
                state.newest_lease += 1;
                let ttl_ms = body.number("ttl_ms").max(1000);
                let ttl = Duration::from_millis(ttl_ms);
                let lease = state.newest_lease;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                ("200 OK", format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
            }),
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease: u64 = path["/kv-keep/".len()..].parse().unwrap_or(0);
                self.change(|state| match state.leases.get_mut(&lease) {
                    Some((ttl, until)) => {
                        *until = Instant::now() + *ttl;
                        ("200 OK", "{}".to_owned())
                    }
                    None => ("404 Not Found", "{}".to_owned()),
                })
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let lease: u64 = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                match self.change(|state| state.end_lease(lease)) {
                    true => ("200 OK", "{}".to_owned()),
                    false => ("404 Not Found", "{}".to_owned()),
                }
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (&'static str, String) {
        let state = self.state.0.lock().expect("the store goes on");
        let items = state.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let row = |(key, item): (&String, &Item)| row(key, item.revision, Some(item), &self.view);
        let rows: Vec<String> = items.map(row).collect();
        let at = state.revision;
        ("200 OK", format!("{{\"items\":[{}],\"has_more\":false,\"at\":{at}}}", rows.join(",")))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().expect("the store goes on");
        loop {
            let events = state.events.iter();
            let events = events.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let row = |(at, key, item): &(u64, String, Option<Item>)| {
                row(key, *at, item.as_ref(), &self.view)
            };
            let rows: Vec<String> = events.map(row).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let at = state.revision;
                return ("200 OK", format!("{{\"events\":[{}],\"at\":{at}}}", rows.join(",")));
            }
            state = self.state.1.wait_timeout(state, left).expect("the store goes on").0;
        }
    }

    fn commit(&self, call: &Json) -> (&'static str, String) {
        self.change(|state| {
            let is_met = call.list("expected").iter().all(|row| {
                let current = state.items.get(row.text("key")).map_or(0, |item| item.revision);
                current == row.number("revision")
            });
            if !is_met {
                return ("412 Precondition Failed", "{\"items\":[]}".to_owned());
            }
            let leases = call.list("writes").iter().map(|row| row.number("lease"));
            if leases.filter(|lease| *lease != 0).any(|lease| !state.leases.contains_key(&lease)) {
                return ("404 Not Found", "{}".to_owned());
            }
            for row in call.list("writes") {
                let value = row.text("value").to_owned();
                state.put(row.text("key"), value, None, row.number("lease"));
            }
            for key in call.list("remove") {
                state.remove(key.as_text());
            }
            ("200 OK", format!("{{\"revision\":{}}}", state.revision))
        })
    }
}

fn decode_percent(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((&byte, left)) = rest.split_first() {
        rest = left;
        let digits = rest.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(decoded) if byte == b'%' => {
                bytes.push(decoded);
                rest = &rest[2..];
            }
            _ => bytes.push(byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
