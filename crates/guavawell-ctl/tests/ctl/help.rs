//! The help texts, as operators read them.

use crate::support::run_alone;

#[test]
fn the_help_names_every_subcommand_and_exit_code() {
    insta::assert_snapshot!(run_alone(&["--help"]).assert_code(0).stdout);
}

#[test]
fn the_help_of_manifest_has_examples() {
    insta::assert_snapshot!(run_alone(&["manifest", "--help"]).assert_code(0).stdout);
}

#[test]
fn the_help_of_apply_tells_what_the_base_is() {
    let result = run_alone(&["manifest", "apply", "--help"]).assert_code(0);
    insta::assert_snapshot!(result.stdout);
}

#[test]
fn the_help_of_top_up_tells_that_it_may_be_repeated() {
    let result = run_alone(&["budget", "top-up", "--help"]).assert_code(0);
    insta::assert_snapshot!(result.stdout);
}

#[test]
fn a_wrong_command_line_is_code_2() {
    for args in [
        &["manifest", "apply", "fleet.toml"][..],
        &["budget", "top-up", "b", "--tokens", "many", "--id", "i"],
        &["instance", "destroy", "entry-1"],
        &["--platform", "platform.example:1", "manifest", "show"],
        &["manifest", "show"],
    ] {
        run_alone(args).assert_code(2);
    }
}
