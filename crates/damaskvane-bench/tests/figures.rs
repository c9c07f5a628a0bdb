//! Lines, command lines and generated loads.

use damaskvane_bench::{arguments, commands, fit, load};

#[test]
fn a_line_is_fitted_with_its_largest_residual() {
    let points = [(6.0, 12.0), (12.0, 24.0), (40.0, 84.0)];
    let line = fit::Line::through(&points).expect("three sizes");
    assert!((line.slope - 2.13).abs() < 0.02, "{line:?}");
    assert!(line.residual > 0.0 && line.residual < 0.02, "{line:?}");
    assert!(fit::Line::through(&[(6.0, 12.0), (6.0, 13.0)]).is_none());
    assert!(fit::Line::through(&[]).is_none());
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
