//! Stand-in of a target: accepts connections and answers each request by a function.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Message};
use crate::store::Store;

/// Answers a request on its connection. Returns whether the connection stays open.
pub type Answer = Arc<dyn Fn(&mut Connection, &Message) -> bool + Send + Sync>;

#[derive(Clone)]
pub struct Target {
    pub id: String,
    pub address: SocketAddr,
    /// Heads of all requests that arrived.
    pub arrived: Arc<Mutex<Vec<Message>>>,
    /// Open connections.
    open: Arc<Mutex<Vec<TcpStream>>>,
    is_down: Arc<AtomicBool>,
}

impl Target {
    /// Starts a target that registers itself in the store.
    pub fn start(host: &str, id: &str, fields: &str, store: &Store, answer: Answer) -> Self {
        Self::begin(host, id, fields, store, answer, true)
    }

    /// Starts a target as [`Target::start`] does, that keeps no list of what arrives.
    pub fn start_unlisted(
        host: &str,
        id: &str,
        fields: &str,
        store: &Store,
        answer: Answer,
    ) -> Self {
        Self::begin(host, id, fields, store, answer, false)
    }

    fn begin(
        host: &str,
        id: &str,
        fields: &str,
        store: &Store,
        answer: Answer,
        is_listed: bool,
    ) -> Self {
        let listener = TcpListener::bind((host, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (arrived, open, is_down) = Default::default();
        let target = Self { id: id.to_owned(), address, arrived, open, is_down };
        let Self { arrived, open, is_down, .. } = target.clone();
        let is_ended = is_down.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if is_down.load(Ordering::SeqCst) {
                    return;
                }
                open.lock().expect("a list").extend(stream.try_clone());
                let (answer, arrived) = (answer.clone(), arrived.clone());
                let is_down = is_down.clone();
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(request)) = connection.read() {
                        if is_down.load(Ordering::SeqCst) {
                            return;
                        }
                        let mut head = request.clone();
                        head.body.truncate(64);
                        if is_listed && request.has("request-id") {
                            arrived.lock().expect("a list").push(head);
                        }
                        if !answer(&mut connection, &request) {
                            return;
                        }
                    }
                });
            }
        });
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let (key, fields) = (format!("servers/{id}"), fields.to_owned());
        let entry = move |sequence: u64| {
            format!(
                "{{{fields},\"address\":\"{address}\",\"version\":\"1\",\"slots\":192,\
                 \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\
                 \"born\":{born}}}"
            )
        };
        let store = store.clone();
        store.put(&key, &entry(1));
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(Duration::from_millis(1200));
                if is_ended.load(Ordering::SeqCst) {
                    return;
                }
                store.put(&key, &entry(sequence));
            }
        });
        target
    }

    /// Returns an address at which only one machine reaches the target, until its path is cut.
    pub fn path(&self, host: &str) -> Path {
        let listener = TcpListener::bind((host, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let path = Path { address, open: Arc::default(), is_cut: Arc::default() };
        let (target, open, is_cut) = (self.address, path.open.clone(), path.is_cut.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if is_cut.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(onward) = TcpStream::connect(target) else { continue };
                for (from, to) in [(&stream, &onward), (&onward, &stream)] {
                    open.lock().expect("a list").extend(from.try_clone());
                    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
                        continue;
                    };
                    thread::spawn(move || {
                        io::copy(&mut from, &mut to).ok();
                        to.shutdown(Shutdown::Both).ok();
                    });
                }
            }
        });
        path
    }

    /// Crashes the target: its port and all its connections are closed. Its entry stays in the store
    /// until it lapses after three intervals.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which then closes the port.
        TcpStream::connect(self.address).ok();
        for stream in self.open.lock().expect("a list").drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
    }

    /// Returns the number of requests that arrived.
    pub fn arrivals(&self) -> usize {
        self.arrived.lock().expect("a list").len()
    }

    /// Returns the requests with this id that arrived.
    pub fn requests(&self, id: &str) -> Vec<Message> {
        let arrived = self.arrived.lock().expect("a list");
        arrived.iter().filter(|head| head.field("request-id") == id).cloned().collect()
    }
}

/// The path of one machine to a target.
pub struct Path {
    pub address: SocketAddr,
    open: Arc<Mutex<Vec<TcpStream>>>,
    is_cut: Arc<AtomicBool>,
}

impl Path {
    /// Cuts the path: its connections end, and new ones are refused.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        TcpStream::connect(self.address).ok();
        for stream in self.open.lock().expect("a list").drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
    }
}
