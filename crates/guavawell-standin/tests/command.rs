//! The binary's command line and exit statuses.
//!
//! Apart from the tests of sockets: a child holds copies of its parent's open
//! sockets until it executes, so that a port would stay in use for a moment.

use std::net::TcpListener;
use std::process::Command;
use std::process::Output;

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_guavawell-standin"))
        .args(arguments)
        .output()
        .expect("the binary was built")
}

fn error_line(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn help_names_each_stand_in() {
    let output = run(&["--help"]);
    assert_eq!(output.status.code(), Some(0));
    let help = String::from_utf8_lossy(&output.stdout).into_owned();
    for name in ["platform", "engine", "service"] {
        assert!(help.contains(name), "{help}");
    }
}

#[test]
fn wrong_arguments_exit_2_and_name_the_input() {
    let cases: [(&[&str], &str); 4] = [
        (&["engine", "--listen", "127.0.0.1:0"], "--control"),
        (&["platform", "--listen", "nowhere"], "nowhere"),
        (&["database"], "database"),
        (
            &[
                "platform",
                "--listen",
                "127.0.0.1:0",
                "--control",
                "127.0.0.1:0",
                "--write-cap",
                "many",
            ],
            "many",
        ),
    ];
    for (arguments, named) in cases {
        let output = run(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(
            error_line(&output).contains(named),
            "{}",
            error_line(&output)
        );
    }
}

#[test]
fn model_without_version_is_explained() {
    let addresses = ["--listen", "127.0.0.1:0", "--control", "127.0.0.1:0"];
    let output = run(&[&["engine", "--model", "m"], &addresses[..]].concat());
    assert_eq!(output.status.code(), Some(2));
    let line = error_line(&output);
    assert!(line.contains("write `model:version`"), "{line}");
}

#[test]
fn taken_address_exits_3() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = taken.local_addr().expect("bound").to_string();
    let output = run(&["platform", "--listen", &address, "--control", "127.0.0.1:0"]);
    assert_eq!(output.status.code(), Some(3));
    assert!(error_line(&output).contains(&address));
}
