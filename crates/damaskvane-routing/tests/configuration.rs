//! Routes and splits.

mod support;

use damaskvane_core::ids;
use damaskvane_routing::configuration::{Configuration, Destination, Limits};
use damaskvane_routing::split::Splits;
use support::{route, service_id};

/// Two routes of a host begin the same path; the more special one must get the request, in whatever order
/// they were declared.
#[test]
fn the_longest_prefix_takes_a_request() {
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

/// A weight is a promise on shares: over a few hundred requests each service must get its part within a
/// request or two, also right after the weights changed.
#[test]
fn a_split_keeps_to_its_weights() {
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

/// A route whose weights are all zero goes nowhere; it must not panic or pick a service by chance.
#[test]
fn a_split_without_weights_has_no_destination() {
    let parts = [0, 0].map(|weight| Destination {
        service: service_id(),
        weight,
    });
    assert_eq!(Splits::default().next("r", &parts), None);
}
