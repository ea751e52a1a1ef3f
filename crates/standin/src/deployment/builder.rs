//! Builder and handle of a deployment.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::Report;
use fleet::{Depth, DomainName, ModelName, NodeName, OrganisationName, Role, Standing, Vm};
use smol_str::format_smolstr;

use crate::engine::{self, Engine};
use crate::platform::{self, Platform};
use crate::service::{self, Service};
use crate::{StartError, platform::Command};

/// An organisation that sends requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Share of the load that the organisation causes, from 0 to 1.
    pub share: f64,
}

/// Settings of a deployment.
#[derive(Clone, Debug, Default)]
pub struct Builder {
    model: ModelName,
    depth: Depth,
    engines: Vec<engine::Builder>,
    services: Vec<service::Builder>,
    organisations: Vec<Organisation>,
    platform: platform::Builder,
}

impl Builder {
    /// Returns the settings of a deployment for one model, without targets.
    pub fn new(model: impl Into<ModelName>, depth: Depth) -> Self {
        Self { model: model.into(), depth, ..Self::default() }
    }

    /// Adds an engine that holds layers of the deployment's model.
    pub fn engine(mut self, engine: engine::Builder) -> Self {
        self.engines.push(engine.model(self.model.clone(), self.depth));
        self
    }

    /// Adds `chains` chains of engines that split the model evenly into `stages` ranges of
    /// layers. Chains are assigned to `domains` in turn. Chain C consists of the engines
    /// `cCs0`, `cCs1` and so on. `set` changes the settings of each engine.
    pub fn chains(
        mut self,
        chains: u16,
        stages: u16,
        domains: &[DomainName],
        set: impl Fn(engine::Builder) -> engine::Builder,
    ) -> Self {
        for chain in 0..chains {
            let domain = domains[usize::from(chain) % domains.len()].clone();
            for stage in 0..stages {
                let name = format_smolstr!("c{chain}s{stage}");
                let start = self.depth * stage / stages;
                let end = self.depth * (stage + 1) / stages;
                let engine = engine::Builder::new(name).layers(start, end);
                self = self.engine(set(engine.place(domain.clone(), format_smolstr!("r{chain}"))));
            }
        }
        self
    }

    /// Multiplies the token rates of all engines added before this call by `factor`.
    pub fn scale(mut self, factor: f64) -> Self {
        self.engines = self.engines.into_iter().map(|engine| engine.scale(factor)).collect();
        self
    }

    /// Adds a plain service.
    pub fn service(mut self, service: service::Builder) -> Self {
        self.services.push(service);
        self
    }

    /// Adds an organisation with its share of the load, from 0 to 1.
    pub fn organisation(mut self, name: impl Into<OrganisationName>, share: f64) -> Self {
        self.organisations.push(Organisation { name: name.into(), share });
        self
    }

    /// Changes the settings of the platform with `set`.
    pub fn platform(mut self, set: impl FnOnce(platform::Builder) -> platform::Builder) -> Self {
        self.platform = set(self.platform);
        self
    }

    /// Sets the lag of reads of the list of VMs.
    pub fn lag(self, lag: Duration) -> Self {
        self.platform(|platform| platform.lag(lag))
    }

    /// Starts all stand-ins, with the targets on the platform's list of VMs.
    ///
    /// # Errors
    ///
    /// Returns an error when a stand-in does not start. The ones already started are stopped.
    pub fn start(self) -> Result<Deployment, Report<StartError>> {
        let engines = self.engines.into_iter().map(engine::Builder::start);
        let engines: Vec<Engine> = engines.collect::<Result<_, _>>()?;
        let services = self.services.into_iter().map(service::Builder::start);
        let services: Vec<Service> = services.collect::<Result<_, _>>()?;
        let listed = engines.iter().map(Engine::vm).chain(services.iter().map(Service::vm));
        let platform = self.platform.vms(listed.cloned().collect()).start()?;
        Ok(Deployment {
            platform,
            engines,
            services,
            organisations: self.organisations,
            model: self.model,
            depth: self.depth,
        })
    }
}

/// A running deployment. Dropping it stops all of its stand-ins.
pub struct Deployment {
    /// Platform whose list of VMs has the targets.
    pub platform: Platform,
    /// Engines, in the order in which they were added.
    pub engines: Vec<Engine>,
    /// Plain services, in the order in which they were added.
    pub services: Vec<Service>,
    /// Organisations and their shares of the load.
    pub organisations: Vec<Organisation>,
    /// Name of the model.
    pub model: ModelName,
    /// Number of layers of the model.
    pub depth: Depth,
}

impl Deployment {
    /// Returns the engine with this name.
    pub fn engine(&self, name: &str) -> Option<&Engine> {
        self.engines.iter().find(|engine| engine.vm().name == name)
    }

    /// Returns the plain service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.vm().name == name)
    }

    /// Adds a node to the platform's list of VMs, from which other nodes discover it. `peer` is
    /// the node's address for peer traffic.
    pub fn join_node(&self, name: impl Into<NodeName>, domain: &str, peer: SocketAddr) {
        let vm = Vm {
            name: name.into(),
            domain: domain.into(),
            standing: Standing::Live,
            role: Role::Entry { peer },
        };
        self.platform.command(Command::Join(Box::new(vm)));
    }
}
