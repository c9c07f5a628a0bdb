//! The deployments have the brief's sizes, and their declarations are valid.

use std::collections::BTreeMap;

use damaskvane_bench::{cluster, demo};
use damaskvane_config::document;

fn addresses(deployment: &cluster::Deployment) -> BTreeMap<String, String> {
    let services = deployment.services.iter();
    let servers = services.flat_map(|service| deployment.placements(service));
    servers
        .zip(10_000_u16..)
        .map(|(placement, port)| (placement.server, format!("127.0.0.1:{port}")))
        .collect()
}

#[test]
fn sizes_are_those_of_the_brief() {
    let cases = [
        (cluster::Deployment::prairie(), 12, 20 * 6 + 12 * 3),
        (cluster::Deployment::valokirja(), 8, 28 * 7 + 12 * 4),
    ];
    for (deployment, instances, slots) in cases {
        assert_eq!(deployment.regions().len(), 3, "{}", deployment.name);
        assert_eq!(deployment.zones().count(), 6, "{}", deployment.name);
        assert_eq!(
            deployment.instances().count(),
            instances,
            "{}",
            deployment.name
        );
        assert_eq!(deployment.slots(), slots, "{}", deployment.name);
    }
}

#[test]
fn declarations_are_read_without_a_problem() {
    for name in ["prairie", "valokirja", "2x2x1"] {
        let deployment = cluster::Deployment::named(name).expect("a deployment");
        let addresses = addresses(&deployment);
        let declarations = cluster::Declarations::new(&deployment, &addresses);
        let plan = demo::Plan::new(&deployment);
        let placements = deployment.placements(&plan.service);
        let texts = [
            declarations.whole(),
            declarations.backend_server(&plan.service, &placements[0], true),
            plan.shift(),
        ];
        for text in texts {
            let read = document::Document::parse("declarations.toml", &text);
            assert!(read.is_ok(), "{name}: {read:?}");
        }
    }
}

#[test]
fn the_demo_leaves_the_asked_instance_alone() {
    for name in ["prairie", "valokirja", "2x2x1"] {
        let plan = demo::Plan::new(&cluster::Deployment::named(name).expect("a deployment"));
        assert_ne!(plan.stopped, plan.killed, "{name}");
        assert_ne!(plan.asked, plan.stopped, "{name}");
        assert_ne!(plan.asked, plan.killed, "{name}");
        assert_ne!(plan.from, plan.to, "{name}");
    }
}

#[test]
fn a_name_that_is_no_deployment_is_refused() {
    for name in ["", "prarie", "2x2", "2x2x2x2"] {
        assert_eq!(cluster::Deployment::named(name), None, "{name}");
    }
}
