//! Command line of `buckthornfall-standins`.

use std::path::PathBuf;

use clap::{crate_version, value_parser, Arg, ArgAction, Command};

/// Builds the command line parser.
pub fn command() -> Command {
    Command::new("buckthornfall-standins")
        .version(crate_version!())
        .about("Stand-ins for the platform, engines and services around buckthornfall")
        .long_about(
            "Stand-ins for the platform, engines and services around buckthornfall.\n\nEach \
             subcommand runs one of them until it is terminated. All listen on loopback only.",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(listen(Command::new("table").about("The transactional table service")))
        .subcommand(listen(Command::new("objects").about("The object store")))
        .subcommand(host_list())
        .subcommand(weight_store())
        .subcommand(engine())
        .subcommand(service())
        .subcommand(all())
}

fn listen(command: Command) -> Command {
    command.arg(
        Arg::new("listen")
            .long("listen")
            .value_name("ADDRESS")
            .required(true)
            .help("Loopback address and port to serve on"),
    )
}

fn text(name: &'static str, value: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).default_value(default).help(help)
}

fn host_list() -> Command {
    listen(Command::new("host-list").about("The platform's host list, with a delay"))
        .arg(
            Arg::new("hosts")
                .long("hosts")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("JSON file with the host list (hosts and leaving_servers)"),
        )
        .arg(
            text("lag-ms", "MS", "2000", "Delay in milliseconds until a change becomes visible")
                .value_parser(value_parser!(u64)),
        )
}

fn weight_store() -> Command {
    listen(Command::new("weight-store").about("The rate-limited weight store"))
        .arg(
            text("bytes-per-s", "BYTES", "20000000", "Bytes per second, shared by all readers")
                .value_parser(value_parser!(u64)),
        )
        .arg(text("region", "NAME", "", "Region of the store"))
}

fn engine() -> Command {
    listen(Command::new("engine").about("A model engine"))
        .arg(text("model", "NAME", "model", "Name of the model"))
        .arg(text("region", "NAME", "", "Region of the engine"))
        .arg(text("zone", "NAME", "", "Availability zone of the engine"))
        .arg(text("weight-store", "ADDRESS", "127.0.0.1:7004", "Address of the weight store"))
        .arg(text("crash-text", "TEXT", "", "A prompt that contains this text crashes the engine"))
        .arg(
            text("slots", "COUNT", "16", "Maximum number of concurrent requests")
                .value_parser(value_parser!(u32)),
        )
        .arg(
            Arg::new("ignore-fence")
                .long("ignore-fence")
                .action(ArgAction::SetTrue)
                .help("Accept orders with an outdated fencing token"),
        )
}

fn service() -> Command {
    listen(Command::new("service").about("A server of a plain or scoring service"))
        .arg(text("name", "NAME", "service", "Name of the service"))
        .arg(text("crash-text", "TEXT", "", "A body that contains this text crashes the server"))
}

fn all() -> Command {
    Command::new("all")
        .about("All servers of a manifest, and the platform's services")
        .long_about(
            "All servers of a manifest, and the platform's services.\n\nServers listen on the \
             addresses in the manifest, the table on port 7001, the object store on 7002, the host \
             list on 7003 and the weight store on 7004. The host list contains the hosts in FILE.",
        )
        .arg(
            Arg::new("manifest")
                .long("manifest")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("File with the manifest"),
        )
        .arg(
            Arg::new("hosts")
                .long("hosts")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("File with the host list"),
        )
}
