//! Runs the stand-in for the platform, a key-value service and a list of VMs, as a process.

use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use fleet::Vm;
use serde::Deserialize;
use standin::platform::Platform;

/// Stand-in for the platform: key-value service and list of VMs
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Settings {
    /// Address to listen on
    #[bpaf(env("PLATFORM_LISTEN"), argument("ADDRESS"), fallback(([127, 0, 0, 1], 2379).into()))]
    listen: SocketAddr,
    /// Maximum reads per second
    #[bpaf(env("PLATFORM_READS"), argument("RATE"), fallback(2000.0))]
    reads: f64,
    /// Maximum writes per second
    #[bpaf(env("PLATFORM_WRITES"), argument("RATE"), fallback(400.0))]
    writes: f64,
    /// Lag of reads of the list of VMs, in milliseconds
    #[bpaf(env("PLATFORM_LAG_MS"), argument("MS"), fallback(1000))]
    lag_ms: u64,
    /// File with the initial list of VMs, in the JSON format of `GET /vms`
    #[bpaf(env("PLATFORM_VMS"), argument("FILE"))]
    vms: Option<PathBuf>,
}

#[derive(Deserialize)]
struct Listing {
    vms: Vec<Vm>,
}

fn main() -> Result<(), Box<dyn Error>> {
    let settings = settings().run();
    let vms = match &settings.vms {
        Some(path) => serde_json::from_slice::<Listing>(&std::fs::read(path)?)?.vms,
        None => Vec::new(),
    };
    let platform = Platform::builder()
        .listen(settings.listen)
        .rates(settings.reads, settings.writes)
        .lag(Duration::from_millis(settings.lag_ms))
        .vms(vms)
        .start()
        .map_err(|report| report.to_string())?;
    println!("listening on {}", platform.address());
    platform.join();
    Ok(())
}
