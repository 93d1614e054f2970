//! Command line of the load, fault and measurement tools.

use bench::fleet::{self, FleetOptions, fleet_options};
use bench::policy::{self, PolicyOptions, policy_options};
use bench::slopes::{self, SlopesOptions, slopes_options};
use bench::soak::{self, SoakOptions, soak_options};
use bench::standins::{self, StandinsOptions, standins_options};
use bpaf::{OptionParser, Parser, construct};
use std::process::ExitCode;

#[derive(Clone, Debug)]
enum Command {
    Fleet(FleetOptions),
    Policy(PolicyOptions),
    Slopes(SlopesOptions),
    Soak(SoakOptions),
    Standins(StandinsOptions),
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
    let standins = construct!(Command::Standins(standins_options()))
        .to_options()
        .descr("Run the stand-ins alone, for trying an instance by hand")
        .command("standins");
    let soak = construct!(Command::Soak(soak_options()))
        .to_options()
        .descr("Run the built binary under random faults, and check its promises")
        .command("soak");
    construct!([fleet, policy, slopes, soak, standins])
        .to_options()
        .descr("Load and measurement of briargap; JSON lines on standard output")
}

fn main() -> ExitCode {
    match options().run() {
        Command::Fleet(options) => fleet::run(&options),
        Command::Policy(options) => policy::run(&options),
        Command::Slopes(options) => slopes::run(&options),
        Command::Soak(options) => soak::run(&options),
        Command::Standins(options) => standins::run(&options),
    }
}
