//! Builder and handle of a plain service.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use error_stack::Report;
use fleet::{DomainName, Event, Kind, Role, Standing, Target, Vm};
use smol_str::SmolStr;

use super::command::Command;
use super::server::{Run, Shared, State};
use crate::StartError;
use crate::engine::Crash;
use crate::event::STARTED;
use crate::http::{Gate, Server, Stop};

/// Settings of a plain service.
#[derive(Clone, Debug)]
pub struct Builder {
    name: SmolStr,
    listen: SocketAddr,
    domain: DomainName,
    service: SmolStr,
    idempotent: bool,
    slots: u32,
    delay: Duration,
    crash: Crash,
}

impl Builder {
    /// Returns the settings of a booking service: `booking`, not idempotent, 64 slots, no delay,
    /// in failure domain `a`.
    pub fn new(name: impl Into<SmolStr>) -> Self {
        Self {
            name: name.into(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            domain: SmolStr::new_static("a"),
            service: SmolStr::new_static("booking"),
            idempotent: false,
            slots: 64,
            delay: Duration::ZERO,
            crash: Crash::Stop,
        }
    }

    /// Sets the address to listen on; port 0 selects a free port.
    pub fn listen(mut self, address: SocketAddr) -> Self {
        self.listen = address;
        self
    }

    /// Sets the failure domain of the service's VM.
    pub fn domain(mut self, domain: impl Into<SmolStr>) -> Self {
        self.domain = domain.into();
        self
    }

    /// Sets the name of the service, and whether its calls may be repeated.
    pub fn service(mut self, service: impl Into<SmolStr>, idempotent: bool) -> Self {
        self.service = service.into();
        self.idempotent = idempotent;
        self
    }

    /// Sets the maximum number of concurrent calls.
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the duration of each call.
    pub fn delay(mut self, delay: Duration) -> Self {
        self.delay = delay;
        self
    }

    /// Sets whether a crash aborts the process or stops only this service.
    pub fn crash(mut self, crash: Crash) -> Self {
        self.crash = crash;
        self
    }

    /// Starts the service.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound or the operating system provides no
    /// thread or event queue.
    pub fn start(self) -> Result<Service, Report<StartError>> {
        let stop = Stop::default();
        let shared = Arc::new(Shared {
            name: self.name.clone(),
            slots: self.slots,
            state: Mutex::new(State::default()),
            gate: Gate::new(),
            stop: stop.clone(),
            crash: self.crash,
        });
        shared.set_delay(self.delay);
        let handler = Arc::clone(&shared);
        let server = Server::start(&self.name, self.listen, stop, handler, Vec::new())?;
        let event = Event::new(&STARTED).with("target", &self.name);
        log::info!("{}", event.with("address", server.address()));
        let vm = self.vm(server.address());
        Ok(Service { shared, server, vm })
    }

    fn vm(&self, address: SocketAddr) -> Vm {
        let service = fleet::Service {
            name: self.service.clone(),
            idempotent: self.idempotent,
            slots: self.slots,
        };
        let target = Target {
            name: self.name.clone(),
            address,
            domain: self.domain.clone(),
            rack: SmolStr::default(),
            standing: Standing::Live,
            kind: Kind::Service(service),
        };
        Vm {
            name: self.name.clone(),
            domain: self.domain.clone(),
            standing: Standing::Live,
            role: Role::Target(target),
        }
    }
}

/// A running plain service. Dropping it stops the server and closes all connections.
pub struct Service {
    shared: Arc<Shared>,
    server: Server,
    vm: Vm,
}

impl Service {
    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the service's entry in the platform's list of VMs.
    pub fn vm(&self) -> &Vm {
        &self.vm
    }

    /// Returns whether the server is running; `false` after a crash.
    pub fn is_running(&self) -> bool {
        self.server.is_running()
    }

    /// Executes a control command.
    pub fn command(&self, command: Command) {
        self.shared.command(command);
    }

    /// Returns all runs in order. They remain available after a crash.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs()
    }

    /// Blocks until the server has stopped.
    pub fn join(mut self) {
        self.server.join();
    }
}
