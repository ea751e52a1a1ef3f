//! Stand-in for a server of a plain service: runs each request at once and signs its answer.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http;
use crate::store::Store;

/// A request that has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub at: Instant,
}

#[derive(Default)]
struct State {
    runs: Vec<Run>,
    limit: Option<String>,
}

#[derive(Clone)]
pub struct Plain {
    state: Arc<Mutex<State>>,
    id: String,
}

impl Plain {
    /// Starts a server and registers it in the store.
    pub fn start(host: &str, id: &str, service: &str, zone: &str, store: &Store) -> Self {
        let listener = TcpListener::bind((host, 0)).expect("a free port");
        let address: SocketAddr = listener.local_addr().expect("an address");
        let plain = Self { state: Arc::default(), id: id.to_owned() };
        let serving = plain.clone();
        http::serve(listener, move |request, stream| {
            let expected = request.field("expect-instance");
            let id = request.field("request-id").unwrap_or_default();
            let limit = serving.state.lock().unwrap().limit.clone();
            let mut fields = vec![("Request-Id", id)];
            if let Some(limit) = &limit {
                fields.push(("Server-Limit", limit));
            }
            if request.path() == "/health" {
                fields.push(("Instance-Id", &serving.id));
                return http::answer(stream, 200, &fields, b"");
            }
            if id.is_empty() {
                fields.push(("Not-Run", "1"));
                return http::answer(stream, 400, &fields, b"");
            }
            if expected.is_some_and(|expected| expected != serving.id) {
                return http::answer(stream, 421, &fields, b"");
            }
            let run = Run { id: id.to_owned(), at: Instant::now() };
            serving.state.lock().unwrap().runs.push(run);
            sleep(Duration::from_millis(5));
            let stamp = format!("stamp.{}", serving.id);
            fields.push(("Response-Stamp", &stamp));
            http::answer(stream, 200, &fields, format!("{} {id}", serving.id).as_bytes())
        });
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":1,\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\
             \"sequence\":1,\"born\":1700000000000}}"
        );
        store.put(&format!("servers/{id}"), &entry);
        plain
    }

    /// Sets the limit that the server names in all its answers.
    pub fn set_limit(&self, limit: Option<&str>) {
        self.state.lock().unwrap().limit = limit.map(str::to_owned);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }
}
