//! Command line parser.

use bpaf::{Bpaf, OptionParser, Parser, construct, long, positional};
use std::path::PathBuf;

/// Parsed command line.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    /// Run an instance.
    Serve { settings: PathBuf },
    /// Validate a settings file.
    Check { settings: PathBuf },
    /// Call a running instance.
    Client(ClientOptions, Action),
}

/// Options of the commands that call an instance
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct ClientOptions {
    /// Address on which an instance serves operators
    #[bpaf(
        long,
        env("BRIARGAP_OPERATOR"),
        argument("ADDRESS"),
        fallback("127.0.0.1:8200".to_owned()),
        display_fallback
    )]
    pub(crate) operator: String,
    /// File that holds the operators' bearer token
    #[bpaf(long("token-file"), env("BRIARGAP_TOKEN_FILE"), argument("FILE"))]
    pub(crate) token_file: Option<PathBuf>,
    /// Print JSON instead of a table
    pub(crate) json: bool,
}

/// Commands that call an instance
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum Action {
    /// Show the state of an instance
    #[bpaf(command)]
    State {
        /// Control address of an instance on the operators' platform, which
        /// needs no token
        #[bpaf(long, argument("ADDRESS"))]
        control: Option<String>,
    },
    /// List the services that have a document in force
    #[bpaf(command)]
    Services,
    /// Show a service document
    #[bpaf(command)]
    Show {
        /// Version to show; by default the one in force
        #[bpaf(long, argument("VERSION"))]
        version: Option<u64>,
        /// Service name
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// Apply a service document
    #[bpaf(command)]
    Apply {
        /// Version that the document replaces; 0 for a new service
        #[bpaf(long, argument("VERSION"))]
        expect: u64,
        /// Validate the document without applying it
        #[bpaf(long("dry-run"))]
        dry_run: bool,
        /// Service document in JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Compare a service document with the one in force
    #[bpaf(command)]
    Diff {
        /// Service document in JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// List the versions of a service document
    #[bpaf(command)]
    History {
        /// Service name
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// Drain a failure domain, or end its drain
    #[bpaf(command)]
    Domain {
        #[bpaf(external(direction))]
        direction: Direction,
        /// Name of the failure domain
        #[bpaf(positional("DOMAIN"))]
        name: String,
    },
    /// Drain one target, or end its drain
    #[bpaf(command)]
    Target {
        #[bpaf(external(direction))]
        direction: Direction,
        /// Name of the target
        #[bpaf(positional("TARGET"))]
        name: String,
    },
    /// List the instances that serve a chat
    #[bpaf(command)]
    Locate {
        /// File that holds the API key of a workspace
        #[bpaf(long("key-file"), argument("FILE"))]
        key_file: PathBuf,
        /// Address on which an instance serves callers
        #[bpaf(long, argument("ADDRESS"))]
        caller: String,
        /// Service name
        #[bpaf(positional("SERVICE"))]
        service: String,
        /// Name of the chat
        #[bpaf(positional("CHAT"))]
        chat: String,
    },
    /// Release a request from quarantine, by its digest
    #[bpaf(command("pardon"))]
    Unquarantine {
        /// Digest of the request, in hexadecimal
        #[bpaf(positional("DIGEST"))]
        digest: String,
    },
    /// Stop an instance gracefully
    #[bpaf(command)]
    Stop,
}

/// Direction of a drain order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    /// The target or failure domain is drained: it takes no new work.
    Out,
    /// The drain ends: it takes new work again.
    In,
}

impl std::str::FromStr for Direction {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "out" => Ok(Direction::Out),
            "in" => Ok(Direction::In),
            _ => Err("expected out or in"),
        }
    }
}

fn direction() -> impl Parser<Direction> {
    positional("out|in").help("out drains, in ends the drain")
}

/// Builds the parser of the whole command line.
pub(crate) fn options() -> OptionParser<Command> {
    let settings = long("settings")
        .env("BRIARGAP_SETTINGS")
        .help("Settings of the instance in JSON")
        .argument::<PathBuf>("FILE");
    let serve = construct!(Command::Serve { settings })
        .to_options()
        .descr("Run an instance")
        .command("serve");
    let settings = positional::<PathBuf>("FILE").help("Settings in JSON");
    let check = construct!(Command::Check { settings })
        .to_options()
        .descr("Validate settings and list every fault")
        .command("check");
    let client = construct!(Command::Client(client_options(), action()));
    construct!([serve, check, client])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Routes requests and returning chats to targets")
        .footer(
            "Exit codes: 0 success, 1 refused or failed, 2 invalid arguments or settings, \
             3 version conflict, 4 no response from the instance or the platform, \
             5 requests were cut off by the shutdown",
        )
}

#[cfg(test)]
mod tests {
    #[test]
    fn options_are_consistent() {
        super::options().check_invariants(true);
    }
}
