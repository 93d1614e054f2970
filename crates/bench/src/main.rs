//! Load and measurement of briargap.

use bench::fleet::{self, FleetOptions, fleet_options};
use bench::policy::{self, PolicyOptions, policy_options};
use bench::slopes::{self, SlopesOptions, slopes_options};
use bpaf::{OptionParser, Parser, construct};
use std::process::ExitCode;

#[derive(Clone, Debug)]
enum Command {
    Fleet(FleetOptions),
    Policy(PolicyOptions),
    Slopes(SlopesOptions),
}

fn options() -> OptionParser<Command> {
    let policy = construct!(Command::Policy(policy_options()))
        .to_options()
        .descr("Measure the decisions on one pool, in virtual time")
        .command("policy");
    let slopes = construct!(Command::Slopes(slopes_options()))
        .to_options()
        .descr("Measure what each role costs at growing sizes")
        .command("slopes");
    let fleet = construct!(Command::Fleet(fleet_options()))
        .to_options()
        .descr("Run the built binary as real processes, under load and faults")
        .command("fleet");
    construct!([fleet, policy, slopes])
        .to_options()
        .descr("Load and measurement of briargap; JSON lines on standard output")
}

fn main() -> ExitCode {
    match options().run() {
        Command::Fleet(options) => fleet::run(&options),
        Command::Policy(options) => policy::run(&options),
        Command::Slopes(options) => slopes::run(&options),
    }
}
