//! Settings are validated at start, and the exit code tells the kind of error.

use std::net::TcpListener;
use std::process::{Command, Output};

use yare::parameterized;

fn run(arguments: &[&str], variables: &[(&str, &str)]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_magnoliarun"))
        .env_clear()
        .envs(variables.iter().copied())
        .args(arguments)
        .output()
        .expect("the binary runs")
}

#[parameterized(
    address = { &["--callers", "nonsense"], &["--callers", "`nonsense`", "an IP address and a port"] },
    number = { &["--connections", "many"], &["--connections", "`many`", "a whole number from 1"] },
    range = { &["--head-bytes", "5"], &["--head-bytes", "`5`", "from 8192 to 1048576"] },
    level = { &["--log-level", "loud"], &["--log-level", "`loud`", "error, warn, info"] },
    name = { &["--domain", "a b"], &["--domain", "`a b`", "letters, digits"] },
    secret = { &["--secret", "short"], &["--secret", "at least 8 bytes"] },
    flag = { &["--colour", "red"], &["--colour"] },
)]
fn invalid_setting_is_reported_with_its_value_and_the_allowed_values(
    bad: &[&str],
    expected: &[&str],
) {
    let domain: &[&str] = if bad[0] == "--domain" { &[] } else { &["--domain", "a"] };
    let output = run(&[&["--name", "n1"], domain, bad].concat(), &[]);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{text}");
    for part in expected {
        assert!(text.contains(part), "{text}");
    }
}

#[test]
fn variable_replaces_a_flag_and_a_flag_wins() {
    let variables = [("MAGNOLIA_NAME", "n1"), ("MAGNOLIA_DOMAIN", "a"), ("MAGNOLIA_SEED", "x")];
    let output = run(&[], &variables);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("MAGNOLIA_SEED") && text.contains("`x`"), "{text}");
    let output = run(&["--seed", "y"], &variables);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("`y`"), "{text}");
}

#[test]
fn port_in_use_has_its_own_exit_code() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port");
    let address = listener.local_addr().expect("address").to_string();
    let output = run(&["--name", "n1", "--domain", "a", "--callers", &address], &[]);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(3), "{text}");
    assert!(text.contains("--callers") && text.contains(&address), "{text}");
}

#[test]
fn help_names_every_setting_and_the_exit_codes() {
    let output = run(&["--help"], &[]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(0));
    for part in ["--name", "MAGNOLIA_STOP_LAG_MS", "Exit codes", "--platform"] {
        assert!(text.contains(part), "{part} is missing in {text}");
    }
}
