//! Endpoints for the platform: readiness and metrics.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;

use crate::front::accept;
use crate::node::Node;

/// Serves the readiness of the node.
pub(crate) async fn serve_ready(node: Rc<Node>, listener: TcpListener) {
    serve(listener, move |request| {
        let known = request.uri().path() == platform::READY_PATH;
        let status = match (known, node.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        (status, String::new())
    })
    .await;
}

/// Serves the metrics as text.
pub(crate) async fn serve_metrics(metrics: PrometheusHandle, listener: TcpListener) {
    serve(listener, move |_| (StatusCode::OK, metrics.render())).await;
}

async fn serve(
    listener: TcpListener,
    answer: impl Fn(&Request<Incoming>) -> (StatusCode, String) + Clone + 'static,
) {
    loop {
        let stream = accept(&listener).await;
        let answer = answer.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let (status, text) = answer(&request);
            let mut response = Response::new(Full::new(Bytes::from(text)));
            *response.status_mut() = status;
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service);
        tokio::task::spawn_local(async move {
            // A failed connection of a prober needs no action.
            connection.await.ok();
        });
    }
}
