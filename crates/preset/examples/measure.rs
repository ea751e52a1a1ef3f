//! Measurements of the preset crate, printed as one line of JSON each.
//!
//! `cargo run --release -p preset --example measure`

use std::time::{Duration, Instant};

use fleet::Link;
use preset::{Change, Follower, Message, Organisation, Preset, Settings, Stored};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const REPEATS: usize = 200;

fn main() {
    for organisations in [10, 130, 260, 520] {
        let stored = Stored::following(None, &document(organisations), &"change-1".into(), 1);
        let value = stored.encode();
        row("stored value", organisations, vec![value.len() as f64], "bytes");
        let decode = time_runs(|| drop(Stored::decode(&value)));
        row("decode and check", organisations, decode, "microseconds");
    }
    let mut follower = Follower::new(Settings::default());
    let mut rng = SmallRng::seed_from_u64(1);
    let mut actions = Vec::new();
    let mut now = Duration::ZERO;
    let value = Stored::following(None, &document(520), &"change-1".into(), 1).encode();
    follower.step(now, Message::Stored(Some(value.clone())), &mut rng, &mut actions);
    let step = time_runs(|| {
        now += Duration::from_millis(10);
        actions.clear();
        let message = Message::Proved { version: 1, at: now };
        follower.step(now, message, &mut rng, &mut actions);
    });
    row("step on another node's proof", 520, step, "microseconds");
    let same = time_runs(|| {
        actions.clear();
        follower.step(now, Message::Stored(Some(value.clone())), &mut rng, &mut actions);
    });
    row("step on an unchanged value", 520, same, "microseconds");
}

fn time_runs(mut run: impl FnMut()) -> Vec<f64> {
    let measure = |_| {
        let started = Instant::now();
        run();
        started.elapsed().as_secs_f64() * 1e6
    };
    (0..REPEATS).map(measure).collect()
}

fn row(name: &str, organisations: usize, mut values: Vec<f64>, unit: &str) {
    values.sort_by(f64::total_cmp);
    let line = serde_json::json!({
        "name": name, "organisations": organisations, "repeats": values.len(),
        "median": values[values.len() / 2], "worst": values[values.len() - 1], "unit": unit,
    });
    println!("{line}");
}

fn document(organisations: usize) -> Preset {
    let link = |index: usize| Link {
        from: format!("domain-{}", index / 4).into(),
        to: format!("domain-{}", index % 4).into(),
        delay: Duration::from_micros(300),
        tokens_per_second: 1e6,
    };
    let organisation = |index| Organisation {
        name: format!("organisation-{index}").into(),
        weight: 1.0,
        keys: vec![format!("key-0123456789abcdef-{index}").into()],
    };
    Preset {
        version: 0,
        change: Change::default(),
        name: "ordinary".into(),
        queue: 100,
        wait: Duration::from_secs(2),
        retry_share: 0.1,
        attempts: 3,
        quarantine: Duration::from_secs(600),
        organisations: (0..organisations).map(organisation).collect(),
        links: (0..16).map(link).collect(),
    }
}
