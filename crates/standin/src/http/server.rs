//! The server: one thread, which ends together with all connections.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use error_stack::{Report, ResultExt};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::Notify;

use super::{Body, Call, Cut, Reply};
use crate::StartError;

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Pause after the listener failed to accept, for example for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// What a handler returns: the answer, or a cut connection.
pub(crate) type Answer = Pin<Box<dyn Future<Output = Result<Reply, Cut>> + Send>>;
/// Work that runs beside the connections, on the same thread.
pub(crate) type Background = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Handles the calls of one stand-in.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Handles one call.
    fn call(self: Arc<Self>, call: Call) -> Answer;
}

/// Ends a server from anywhere.
#[derive(Clone, Default)]
pub(crate) struct Stop {
    notify: Arc<Notify>,
}

impl Stop {
    /// Ends the server at once: listener and connections are closed.
    pub(crate) fn stop(&self) {
        self.notify.notify_one();
    }
}

/// A server that runs until it is stopped or dropped.
pub(crate) struct Server {
    address: SocketAddr,
    stop: Stop,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Binds `listen` and serves calls on a thread of its own.
    pub(crate) fn start<H: Handler>(
        name: &str,
        listen: SocketAddr,
        stop: Stop,
        handler: Arc<H>,
        background: Vec<Background>,
    ) -> Result<Self, Report<StartError>> {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .change_context(StartError::Resources)?;
        let listener = bind(&runtime, listen).change_context(StartError::Bind(listen))?;
        let address = listener.local_addr().change_context(StartError::Bind(listen))?;
        let stopped = Arc::clone(&stop.notify);
        let thread = thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || run(runtime, listener, handler, background, &stopped))
            .change_context(StartError::Resources)?;
        Ok(Self { address, stop, thread: Some(thread) })
    }

    /// Address that it listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the server still runs.
    pub(crate) fn is_running(&self) -> bool {
        self.thread.as_ref().is_some_and(|thread| !thread.is_finished())
    }

    /// Waits until the server has ended.
    pub(crate) fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            // A panic of the server thread has been printed by the panic hook.
            let _ = thread.join();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.stop();
        self.join();
    }
}

fn bind(runtime: &Runtime, listen: SocketAddr) -> std::io::Result<TcpListener> {
    runtime.block_on(TcpListener::bind(listen))
}

fn run<H: Handler>(
    runtime: Runtime,
    listener: TcpListener,
    handler: Arc<H>,
    background: Vec<Background>,
    stopped: &Notify,
) {
    for work in background {
        runtime.spawn(work);
    }
    runtime.block_on(async {
        tokio::select! {
            () = accept(&listener, &handler) => {}
            () = stopped.notified() => {}
        }
    });
    // Dropping the runtime drops all connections where they stand.
    drop(listener);
    drop(runtime);
}

async fn accept<H: Handler>(listener: &TcpListener, handler: &Arc<H>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(connection(stream, Arc::clone(handler)));
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn connection<H: Handler>(stream: TcpStream, handler: Arc<H>) {
    // Without it small events wait for the acknowledgement of the one before.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| respond(Arc::clone(&handler), request));
    let io = TokioIo::new(stream);
    // An error ends this connection only.
    let _ = http1::Builder::new().half_close(false).serve_connection(io, service).await;
}

async fn respond<H: Handler>(
    handler: Arc<H>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Cut> {
    let (head, body) = request.into_parts();
    let reply = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => {
            let call = Call {
                method: head.method,
                path: head.uri.path().to_owned(),
                query: head.uri.query().unwrap_or_default().to_owned(),
                headers: head.headers,
                body: body.to_bytes(),
            };
            handler.call(call).await?
        }
        Err(_) => Reply::not_run(StatusCode::PAYLOAD_TOO_LARGE, "too-large", "body not taken"),
    };
    response(reply)
}

fn response(reply: Reply) -> Result<Response<Body>, Cut> {
    let mut builder =
        Response::builder().status(reply.status).header(CONTENT_TYPE, reply.content_type);
    for (name, value) in reply.headers {
        builder = builder.header(name, value);
    }
    builder.body(reply.body).map_err(|_| Cut)
}
