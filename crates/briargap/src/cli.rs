//! The command line.

use bpaf::{Bpaf, OptionParser, Parser, construct, long, positional};
use std::path::PathBuf;

/// What the command is to do.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    /// Run an instance.
    Serve { settings: PathBuf },
    /// Check settings or a service document.
    Check { settings: PathBuf },
    /// Ask an instance something, as an operator.
    Client(ClientOptions, Action),
}

/// Options of every operators' call.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct ClientOptions {
    /// Operators' address of an instance
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
    /// Print JSON in place of a table
    pub(crate) json: bool,
}

/// One operators' call.
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
    /// List the services in force
    #[bpaf(command)]
    Services,
    /// Show a service document
    #[bpaf(command)]
    Show {
        /// Version; the one in force where none is given
        #[bpaf(long, argument("VERSION"))]
        version: Option<u64>,
        /// Service
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// Apply a service document
    #[bpaf(command)]
    Apply {
        /// Version that the document replaces; 0 for a new service
        #[bpaf(long, argument("VERSION"))]
        expect: u64,
        /// Check the document and change nothing
        #[bpaf(long("dry-run"))]
        dry_run: bool,
        /// Document, in JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show what differs between a document and the one in force
    #[bpaf(command)]
    Diff {
        /// Document, in JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// List the versions of a service document
    #[bpaf(command)]
    History {
        /// Service
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// Take a failure domain out or back in
    #[bpaf(command)]
    Domain {
        #[bpaf(external(direction))]
        direction: Direction,
        /// Failure domain
        #[bpaf(positional("DOMAIN"))]
        name: String,
    },
    /// Take one target out or back in
    #[bpaf(command)]
    Target {
        #[bpaf(external(direction))]
        direction: Direction,
        /// Target
        #[bpaf(positional("TARGET"))]
        name: String,
    },
    /// Ask which instances serve a chat
    #[bpaf(command)]
    Locate {
        /// File that holds a workspace's key
        #[bpaf(long("key-file"), argument("FILE"))]
        key_file: PathBuf,
        /// Callers' address of an instance
        #[bpaf(long, argument("ADDRESS"))]
        caller: String,
        /// Service
        #[bpaf(positional("SERVICE"))]
        service: String,
        /// Chat
        #[bpaf(positional("CHAT"))]
        chat: String,
    },
    /// Release a request's digest from quarantine
    #[bpaf(command("pardon"))]
    Unquarantine {
        /// Digest, in hexadecimal
        #[bpaf(positional("DIGEST"))]
        digest: String,
    },
    /// Stop an instance gracefully
    #[bpaf(command)]
    Stop,
}

/// Direction of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    /// Takes no new work.
    Out,
    /// Takes new work again.
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
    positional("out|in").help("Whether it goes out or comes back in")
}

/// Parser of the whole command line.
pub(crate) fn options() -> OptionParser<Command> {
    let settings = long("settings")
        .env("BRIARGAP_SETTINGS")
        .help("Settings of the instance, in JSON")
        .argument::<PathBuf>("FILE");
    let serve = construct!(Command::Serve { settings })
        .to_options()
        .descr("Run an instance")
        .command("serve");
    let settings = positional::<PathBuf>("FILE").help("Settings, in JSON");
    let check = construct!(Command::Check { settings })
        .to_options()
        .descr("Check settings and list every fault")
        .command("check");
    let client = construct!(Command::Client(client_options(), action()));
    construct!([serve, check, client])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("A router fleet for very many returning chats")
        .footer(
            "Exit codes: 0 done, 1 refused or failed, 2 bad arguments or settings, \
             3 conflict of versions, 4 the instance or the platform does not answer, \
             5 requests were cut off while stopping",
        )
}

#[cfg(test)]
mod tests {
    #[test]
    fn options_are_consistent() {
        super::options().check_invariants(true);
    }
}
