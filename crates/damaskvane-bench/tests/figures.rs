//! Lines, command lines and generated loads.

use damaskvane_bench::{arguments, commands, fit, load};

#[test]
fn a_model_is_fitted_with_its_largest_residual() {
    let points = [(vec![6.0], 12.0), (vec![12.0], 24.0), (vec![40.0], 84.0)];
    let model = fit::Model::through(&points).expect("three sizes");
    assert!((model.slopes[0] - 2.13).abs() < 0.02, "{model:?}");
    assert!(model.residual > 0.0 && model.residual < 0.02, "{model:?}");
}

#[test]
fn a_model_of_two_variables_is_found_exactly() {
    let value = |zones: f64, mates: f64| 100.0 + 7.0 * zones + 40.0 * mates;
    let sizes = [(6.0, 1.0), (6.0, 2.0), (24.0, 2.0), (1.0, 19.0)];
    let points: Vec<fit::Point> = sizes
        .iter()
        .map(|(zones, mates)| (vec![*zones, *mates], value(*zones, *mates)))
        .collect();
    let model = fit::Model::through(&points).expect("four shapes");
    assert!(
        (model.at(&[23.0, 19.0]) - value(23.0, 19.0)).abs() < 1e-6,
        "{model:?}"
    );
    assert!(model.residual < 1e-9, "{model:?}");
}

#[test]
fn points_that_settle_nothing_give_no_model() {
    let cases: [&[fit::Point]; 3] = [
        &[],
        &[(vec![6.0], 12.0), (vec![6.0], 13.0)],
        // Zones and daemons in a zone grew together, so that neither's share is known.
        &[
            (vec![1.0, 2.0], 1.0),
            (vec![2.0, 4.0], 2.0),
            (vec![3.0, 6.0], 3.0),
        ],
    ];
    for points in cases {
        assert_eq!(fit::Model::through(points), None, "{points:?}");
    }
}

#[test]
fn an_unknown_flag_names_the_nearest_one() {
    let mut parser = lexopt::Parser::from_args(["--sedd", "7"]);
    let error = arguments::parse(&mut parser, &["--rate"], |_, _| Ok(false)).expect_err("unknown");
    assert!(error.to_string().contains("--seed"), "{error}");
}

#[test]
fn every_sub_command_refuses_unknown_flags() {
    for command in commands::ALL {
        let mut parser = lexopt::Parser::from_args(["--no-such-flag"]);
        let error = (command.run)(&mut parser).expect_err("unknown").to_string();
        assert!(
            error.contains("--no-such-flag"),
            "{}: {error}",
            command.name
        );
    }
}

#[test]
fn the_same_seed_makes_the_same_load() {
    let settings = load::LoadSettings {
        services: vec!["a".into(), "b".into()],
        write_percent: 50,
        ..load::LoadSettings::default()
    };
    let orders = |seed| {
        let settings = load::LoadSettings {
            seed,
            ..settings.clone()
        };
        load::Generator::new(settings, "run")
            .take(40)
            .collect::<Vec<_>>()
    };
    assert_eq!(orders(3), orders(3));
    assert_ne!(orders(3), orders(4));
    let writes = orders(3)
        .iter()
        .filter(|order| !order.is_repeatable())
        .count();
    assert!((10..30).contains(&writes), "{writes}");
    assert!(
        orders(3)
            .iter()
            .step_by(2)
            .all(|order| order.service == "a")
    );
}
