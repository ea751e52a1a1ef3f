//! Timeouts of the sockets to callers, targets and the store.

use std::time::Duration;

use edge::set_socket_timeouts;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

/// Number of keep-alive probes in a row that links may lose without ending a connection.
const LOST_PROBES: u32 = 2;
/// Longest time until a connection whose other side has vanished fails.
const DETECTION_LIMIT: Duration = Duration::from_secs(5);

// Guards against a connection that ends because a single keep-alive probe is lost: the user timeout
// decides when the probes give up, and was shorter than the time to the first one.
#[tokio::test]
async fn connection_outlasts_lost_probes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(address).await.expect("a connection");
    set_socket_timeouts(&stream);
    let socket = SockRef::from(&stream);
    let user_timeout = socket.tcp_user_timeout().expect("an option").expect("a user timeout");
    let time = socket.tcp_keepalive_time().expect("a time");
    let interval = socket.tcp_keepalive_interval().expect("an interval");
    // The kernel checks an interval after each probe whether the user timeout has passed.
    let failed_after = |probes: u32| time + interval * probes >= user_timeout;
    assert!((1..=LOST_PROBES).all(|probes| !failed_after(probes)), "{user_timeout:?}");
    let last = (1..).find(|probes| failed_after(*probes)).expect("a probe");
    assert!(time + interval * last <= DETECTION_LIMIT, "{last} probes");
    assert_eq!(socket.tcp_keepalive_retries().expect("a number"), last);
}
