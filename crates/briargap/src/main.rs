//! The `briargap` command: runs an instance, or calls one as an operator.

mod cli;
mod client;
mod serve;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::options().run() {
        cli::Command::Serve { settings } => serve::serve(&settings),
        cli::Command::Check { settings } => serve::check(&settings),
        cli::Command::Client(options, action) => client::run(&options, &action),
    }
}
