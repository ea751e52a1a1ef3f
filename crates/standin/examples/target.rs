//! Runs the stand-in for a model engine as a process.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use simplelog::{ConfigBuilder, LevelFilter, SimpleLogger};
use smol_str::SmolStr;
use standin::engine::{Builder, Crash};

/// Stand-in for a model engine that holds a range of layers
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Settings {
    /// Name, unique in the deployment
    #[bpaf(env("TARGET_NAME"), argument("NAME"))]
    name: SmolStr,
    /// Address to listen on; port 0 selects a free port
    #[bpaf(env("TARGET_LISTEN"), argument("ADDRESS"), fallback(([127, 0, 0, 1], 0).into()))]
    listen: SocketAddr,
    /// Failure domain
    #[bpaf(env("TARGET_DOMAIN"), argument("NAME"), fallback("a".into()))]
    domain: SmolStr,
    /// Rack in the failure domain
    #[bpaf(env("TARGET_RACK"), argument("NAME"), fallback("".into()))]
    rack: SmolStr,
    /// Name of the loaded model
    #[bpaf(env("TARGET_MODEL"), argument("NAME"), fallback("plank".into()))]
    model: SmolStr,
    /// Number of layers of the whole model
    #[bpaf(env("TARGET_DEPTH"), argument("LAYERS"), fallback(48))]
    depth: u16,
    /// First layer that the engine holds
    #[bpaf(env("TARGET_START"), argument("LAYER"), fallback(0))]
    start: u16,
    /// First layer after those that the engine holds
    #[bpaf(env("TARGET_END"), argument("LAYER"), fallback(48))]
    end: u16,
    /// Tokens per second through all layers of the engine, summed over all streams
    #[bpaf(env("TARGET_RATE"), argument("RATE"), fallback(1000.0))]
    rate: f64,
    /// Maximum number of concurrent streams
    #[bpaf(env("TARGET_SLOTS"), argument("COUNT"), fallback(16))]
    slots: u32,
    /// Kind of accelerator
    #[bpaf(env("TARGET_ACCELERATOR"), argument("KIND"), fallback("a100".into()))]
    accelerator: SmolStr,
    /// Accepts orders with outdated fencing numbers
    #[bpaf(env("TARGET_IGNORES_FENCE"))]
    ignores_fence: bool,
    /// Capacity of the prefix cache, in prefixes
    #[bpaf(env("TARGET_CACHE"), argument("COUNT"), fallback(256))]
    cache: usize,
    /// Lag of the load report, in milliseconds
    #[bpaf(env("TARGET_LOAD_LAG_MS"), argument("MS"), fallback(200))]
    load_lag_ms: u64,
    /// Lag of cache events, in milliseconds
    #[bpaf(env("TARGET_EVENT_LAG_MS"), argument("MS"), fallback(300))]
    event_lag_ms: u64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let settings = settings().run();
    SimpleLogger::init(LevelFilter::Info, ConfigBuilder::new().build())?;
    let engine = Builder::new(settings.name)
        .listen(settings.listen)
        .place(settings.domain, settings.rack)
        .model(settings.model, settings.depth)
        .layers(settings.start, settings.end)
        .tokens_per_second(settings.rate)
        .slots(settings.slots)
        .accelerator(settings.accelerator)
        .checks_orders(!settings.ignores_fence)
        .cache(settings.cache)
        .lags(
            Duration::from_millis(settings.load_lag_ms),
            Duration::from_millis(settings.event_lag_ms),
        )
        .crash(Crash::Abort)
        .start()
        .map_err(|report| report.to_string())?;
    println!("listening on {}", engine.address());
    engine.join();
    Ok(())
}
