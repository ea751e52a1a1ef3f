//! Tests of the sizes of the predefined deployments.

use fleet::{Kind, Role, Vm};
use serde::Deserialize;
use standin::deployment::{Builder, dar, pnw};
use yare::parameterized;

#[derive(Deserialize)]
struct Listing {
    vms: Vec<Vm>,
}

#[parameterized(
    for_pnw = { pnw() },
    for_dar = { dar() },
)]
fn predefined_deployment_lists_forty_engines_and_three_booking_services(builder: Builder) {
    let deployment = builder.start().expect("the deployment starts");
    let url = format!("http://{}/vms", deployment.platform.address());
    let mut response = ureq::get(url).call().expect("an answer");
    let listing: Listing = response.body_mut().read_json().expect("a list of VMs");
    let kinds = listing.vms.iter().filter_map(|vm| match &vm.role {
        Role::Target(target) => Some(&target.kind),
        Role::Entry { .. } => None,
    });
    let (engines, services): (Vec<&Kind>, Vec<&Kind>) =
        kinds.partition(|kind| matches!(kind, Kind::Engine(_)));
    assert_eq!(engines.len(), 40);
    assert_eq!(services.len(), 3);
    assert_eq!(deployment.organisations.len(), 10);
    let shares: f64 = deployment.organisations.iter().map(|organisation| organisation.share).sum();
    assert!((shares - 1.0).abs() < 1e-9);
}
