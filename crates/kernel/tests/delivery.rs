//! Messages and timers are delivered in a fixed order, and threads are joined.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use kernel::{Builder, Context, Service, Threads};

struct Relay {
    name: &'static str,
    next: Option<&'static str>,
    delay: Duration,
}

impl Service<u32, (&'static str, u32)> for Relay {
    fn name(&self) -> &'static str {
        self.name
    }

    fn handle(&mut self, message: u32, context: &mut Context<'_, u32, (&'static str, u32)>) {
        context.act((self.name, message));
        if let Some(next) = self.next {
            context.send_after(self.delay, next, message + 1);
        }
    }
}

fn relay(name: &'static str, next: Option<&'static str>, delay_ms: u64) -> Relay {
    Relay { name, next, delay: Duration::from_millis(delay_ms) }
}

#[test]
fn duplicate_names_are_rejected() {
    let built = Builder::new(1).service(relay("a", None, 0)).service(relay("a", None, 0)).build();
    assert_eq!(built.err().map(|error| error.name), Some("a"));
}

#[test]
fn delayed_messages_are_delivered_when_due() {
    let mut kernel = Builder::new(1)
        .service(relay("a", Some("b"), 0))
        .service(relay("b", Some("c"), 10))
        .service(relay("c", None, 0))
        .build()
        .expect("unique names")
        .run();
    assert_eq!(kernel.step(Duration::ZERO, "a", 1), vec![("a", 1), ("b", 2)]);
    assert_eq!(kernel.next_due(), Some(Duration::from_millis(10)));
    assert_eq!(kernel.tick(Duration::from_millis(9)), vec![]);
    let mut kernel = kernel.drain();
    assert_eq!(kernel.tick(Duration::from_millis(10)), vec![("c", 3)]);
    kernel.stop();
}

#[test]
fn parent_joins_all_threads() {
    let ended = Arc::new(AtomicUsize::new(0));
    let mut threads = Threads::default();
    for _ in 0..4 {
        let ended = Arc::clone(&ended);
        threads
            .spawn("worker", move || {
                std::thread::yield_now();
                ended.fetch_add(1, Ordering::SeqCst);
            })
            .expect("thread");
    }
    threads.join().expect("no panic");
    assert_eq!(ended.load(Ordering::SeqCst), 4);
}
