//! Tests of the selection of routes by path prefix and of traffic splits by weight.

mod support;

use damaskvane_core::ids;
use damaskvane_routing::configuration::{Configuration, Destination, Limits};
use damaskvane_routing::split::Splits;
use support::{route, service_id};

/// Guards against a route that depends on the order of declaration: two routes of a host match a path, and the route
/// with the longer prefix must be selected in either order.
#[test]
fn the_route_with_the_longest_prefix_is_selected() {
    let mut deep = route();
    deep.name = "deep".to_owned();
    deep.path_prefix = "/look/deep/".to_owned();
    let routes = [route(), deep];
    let version = ids::ConfigVersion::new(1);
    let configuration = Configuration::new(version, routes, [], Limits::default());
    let name_of = |path: &str| {
        let found = configuration.route("desk.example", path);
        found.map(|route| route.name.clone())
    };
    assert_eq!(name_of("/look/deep/1").as_deref(), Some("deep"));
    assert_eq!(name_of("/look/1").as_deref(), Some("look"));
    assert_eq!(name_of("/other/1"), None);
    assert!(configuration.route("other.example", "/look/1").is_none());
}

/// Guards against a traffic split that differs from the declared weights: of a few hundred requests, each service must
/// receive its share within one or two requests, also right after a change of the weights.
#[test]
fn a_split_follows_its_weights() {
    let parts = |weights: [u32; 3]| {
        weights.map(|weight| Destination {
            service: service_id(),
            weight,
        })
    };
    let mut splits = Splits::default();
    for weights in [[70, 20, 10], [10, 0, 90]] {
        let parts = parts(weights);
        let mut counts = [0_u32; 3];
        for _ in 0..200 {
            let index = splits.next("r", &parts).expect("a destination");
            counts[index] += 1;
        }
        for (count, weight) in counts.iter().zip(weights) {
            assert!(count.abs_diff(weight * 2) <= 1, "{counts:?} {weights:?}");
        }
    }
}

/// Guards against a panic or an arbitrary choice of service for a route whose services all have the weight zero.
#[test]
fn a_split_with_zero_weights_has_no_destination() {
    let parts = [0, 0].map(|weight| Destination {
        service: service_id(),
        weight,
    });
    assert_eq!(Splits::default().next("r", &parts), None);
}
