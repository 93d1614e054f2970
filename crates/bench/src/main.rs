//! Load and measurement of briargap.

use bench::policy::{self, PolicyOptions, policy_options};
use bpaf::{OptionParser, Parser, construct};
use std::process::ExitCode;

#[derive(Clone, Debug)]
enum Command {
    Policy(PolicyOptions),
}

fn options() -> OptionParser<Command> {
    let policy = construct!(Command::Policy(policy_options()))
        .to_options()
        .descr("Measure the decisions on one pool, in virtual time")
        .command("policy");
    construct!([policy])
        .to_options()
        .descr("Load and measurement of briargap; JSON lines on standard output")
}

fn main() -> ExitCode {
    match options().run() {
        Command::Policy(options) => policy::run(&options),
    }
}
