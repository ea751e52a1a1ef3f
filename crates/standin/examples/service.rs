//! Runs the stand-in for a plain service as a process.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use simplelog::{ConfigBuilder, LevelFilter, SimpleLogger};
use smol_str::SmolStr;
use standin::engine::Crash;
use standin::service::Builder;

/// Stand-in for a plain service, for example a booking service
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Settings {
    /// Name, unique in the deployment
    #[bpaf(env("SERVICE_NAME"), argument("NAME"))]
    name: SmolStr,
    /// Address to listen on; port 0 selects a free port
    #[bpaf(env("SERVICE_LISTEN"), argument("ADDRESS"), fallback(([127, 0, 0, 1], 0).into()))]
    listen: SocketAddr,
    /// Failure domain
    #[bpaf(env("SERVICE_DOMAIN"), argument("NAME"), fallback("a".into()))]
    domain: SmolStr,
    /// Name of the service in the path `/services/NAME/`
    #[bpaf(env("SERVICE_SERVICE"), argument("NAME"), fallback("booking".into()))]
    service: SmolStr,
    /// Declares that calls may be repeated
    #[bpaf(env("SERVICE_IDEMPOTENT"))]
    idempotent: bool,
    /// Maximum number of concurrent calls
    #[bpaf(env("SERVICE_SLOTS"), argument("COUNT"), fallback(64))]
    slots: u32,
    /// Duration of each call, in milliseconds
    #[bpaf(env("SERVICE_DELAY_MS"), argument("MS"), fallback(0))]
    delay_ms: u64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let settings = settings().run();
    SimpleLogger::init(LevelFilter::Info, ConfigBuilder::new().build())?;
    let service = Builder::new(settings.name)
        .listen(settings.listen)
        .domain(settings.domain)
        .service(settings.service, settings.idempotent)
        .slots(settings.slots)
        .delay(Duration::from_millis(settings.delay_ms))
        .crash(Crash::Abort)
        .start()
        .map_err(|report| report.to_string())?;
    println!("listening on {}", service.address());
    service.join();
    Ok(())
}
