//! The HTTP server, which runs on one thread and closes all connections when it ends.

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

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Pause after a failed accept, for example because of too few file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Future of a handler; resolves to the response, or to [`Cut`] to close the connection.
pub(crate) type ReplyFuture = Pin<Box<dyn Future<Output = Result<Reply, Cut>> + Send>>;
/// Background task that runs on the thread of the server.
pub(crate) type Background = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Handles the requests to one stand-in.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Handles one request.
    fn call(self: Arc<Self>, call: Call) -> ReplyFuture;
}

/// Handle that stops a server from any thread.
#[derive(Clone, Default)]
pub(crate) struct Stop {
    notify: Arc<Notify>,
}

impl Stop {
    /// Stops the server at once, which closes its listener and connections.
    pub(crate) fn stop(&self) {
        self.notify.notify_one();
    }
}

/// Server that runs until it is stopped or dropped.
pub(crate) struct Server {
    address: SocketAddr,
    stop: Stop,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Binds `listen` and serves requests on a new thread.
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

    /// Returns the address that the server listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the server is running.
    pub(crate) fn is_running(&self) -> bool {
        self.thread.as_ref().is_some_and(|thread| !thread.is_finished())
    }

    /// Waits until the server has stopped.
    pub(crate) fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            // The panic hook has already reported a panic of the server thread.
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
            () = accept_connections(&listener, &handler) => {}
            () = stopped.notified() => {}
        }
    });
    // Dropping the runtime closes all connections without completing their responses.
    drop(listener);
    drop(runtime);
}

async fn accept_connections<H: Handler>(listener: &TcpListener, handler: &Arc<H>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, Arc::clone(handler)));
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_connection<H: Handler>(stream: TcpStream, handler: Arc<H>) {
    // Disables the Nagle algorithm, by which small events would wait for the acknowledgement of
    // the previous one.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| respond(Arc::clone(&handler), request));
    let io = TokioIo::new(stream);
    // An error affects only this connection.
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
        Err(_) => Reply::not_run(
            StatusCode::PAYLOAD_TOO_LARGE,
            "too-large",
            "body too large or incomplete",
        ),
    };
    build_response(reply)
}

fn build_response(reply: Reply) -> Result<Response<Body>, Cut> {
    let mut builder =
        Response::builder().status(reply.status).header(CONTENT_TYPE, reply.content_type);
    for (name, value) in reply.headers {
        builder = builder.header(name, value);
    }
    builder.body(reply.body).map_err(|_| Cut)
}
