//! Command-line definition of `buckthornfall`.

use std::path::PathBuf;

use clap::{crate_version, value_parser, Arg, ArgAction, Command};

/// Builds the command-line parser with all subcommands.
pub fn command() -> Command {
    Command::new("buckthornfall")
        .version(crate_version!())
        .about("A rollout service for reinforcement learning")
        .long_about(
            "A rollout service for reinforcement learning.\n\n\
             Operators declare in a manifest which models, trainers and services take part. They \
             commit a new manifest and watch it take effect; nothing else changes the system.\n\n\
             Exit codes: 0 success, 1 failure outside the input, 2 input that is not valid, \
             3 another commit was faster, 4 refused by the system, 5 a promise was broken.",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(common_args())
        .subcommand(check())
        .subcommand(commit())
        .subcommand(status())
        .subcommand(Command::new("entry").about("Ask which daemons to use"))
        .subcommand(request())
        .subcommand(submit())
        .subcommand(report())
        .subcommand(explain())
        .subcommand(incident())
        .subcommand(demo())
        .subcommand(bench())
}

fn common_args() -> [Arg; 4] {
    [
        Arg::new("daemon")
            .long("daemon")
            .short('d')
            .global(true)
            .value_name("ADDRESS")
            .env("BUCKTHORNFALL_DAEMON")
            .value_delimiter(',')
            .action(ArgAction::Append)
            .help("Address and port of a daemon; may be given several times"),
        Arg::new("token")
            .long("token")
            .global(true)
            .value_name("TOKEN")
            .env("BUCKTHORNFALL_TOKEN")
            .hide_env_values(true)
            .help("Bearer token of the caller, trainer or operator"),
        Arg::new("zone")
            .long("zone")
            .global(true)
            .value_name("ZONE")
            .help("Prefer daemons in this availability zone"),
        Arg::new("format")
            .long("format")
            .global(true)
            .value_name("FORMAT")
            .value_parser(["text", "json"])
            .default_value("text")
            .help("Print the result for people or for scripts"),
    ]
}

fn manifest_arg() -> Arg {
    Arg::new("manifest")
        .value_name("MANIFEST")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("File with the manifest, a JSON document")
}

fn check() -> Command {
    Command::new("check")
        .about("Check a manifest without changing anything")
        .long_about(
            "Check a manifest without changing anything.\n\nAll problems are listed at once, each \
             with the JSON pointer to its place, and the exit code is 2.",
        )
        .arg(manifest_arg())
}

fn commit() -> Command {
    Command::new("commit")
        .about("Put a manifest in place of a revision")
        .long_about(
            "Put a manifest in place of a revision.\n\nThe commit succeeds only if BASE is still \
             the newest revision. If another operator was faster, the exit code is 3 and the \
             message names both revisions: make the change again on the newer one. `status \
             --watch` shows the new revision taking effect.",
        )
        .arg(manifest_arg())
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("REVISION")
                .required(true)
                .value_parser(value_parser!(u64))
                .help("Revision that the manifest was made from; 0 for the first manifest"),
        )
}

fn status() -> Command {
    Command::new("status")
        .about("Show each daemon, the revision in force there, servers and leases")
        .arg(
            Arg::new("watch")
                .long("watch")
                .short('w')
                .action(ArgAction::SetTrue)
                .help("Show the status again each second, until all daemons agree on a revision"),
        )
}

fn request() -> Command {
    Command::new("request")
        .about("Send one request as a caller and print the answer as it comes")
        .arg(
            Arg::new("service")
                .value_name("SERVICE")
                .required(true)
                .help("Model or plain service to ask"),
        )
        .arg(Arg::new("text").value_name("TEXT").required(true).help("Prompt or body"))
        .arg(
            Arg::new("operation")
                .long("operation")
                .short('o')
                .value_name("NAME")
                .help("Call this operation of a plain service instead of a model"),
        )
        .arg(
            Arg::new("key")
                .long("key")
                .value_name("KEY")
                .help("Idempotency key, needed for operations that may run only once"),
        )
        .arg(
            Arg::new("max-tokens")
                .long("max-tokens")
                .value_name("COUNT")
                .default_value("64")
                .value_parser(value_parser!(u32))
                .help("Longest answer of a model, in tokens"),
        )
}

fn submit() -> Command {
    Command::new("submit")
        .about("Submit a step as a trainer and wait until it is whole")
        .arg(
            Arg::new("trainer")
                .value_name("TRAINER")
                .required(true)
                .help("Name of the trainer, as in the manifest"),
        )
        .arg(
            Arg::new("step")
                .value_name("STEP")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("File with the step, a JSON document: step, weights_version, groups"),
        )
}

fn report() -> Command {
    let burn = Command::new("burn")
        .about("Show how fast the error budgets of the service levels are used up")
        .long_about(
            "Show how fast the error budgets of the service levels are used up.\n\nThe counts of \
             all daemons are added up over five minutes, one hour and six hours. A burn rate of \
             1.0 uses the budget up just at the promised rate. Daemons that do not answer are \
             named.",
        )
        .arg(
            Arg::new("html")
                .long("html")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Also write the report with plots as one HTML page"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Also write the report as a JSON document"),
        );
    let capacity = Command::new("capacity")
        .about("Show what the servers of each service still take, from the logs of all daemons")
        .long_about(
            "Show what the servers of each service still take, from the logs of all daemons.\n\n\
             Servers in need state a request limit, which holds for all daemons together. For each \
             service the report shows its servers, the sum of their limits, and how many requests \
             the limits admitted and denied in the last ten seconds of the logs.",
        )
        .arg(logs_arg());
    Command::new("report")
        .about("Reports for operators")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(burn)
        .subcommand(capacity)
}

fn logs_arg() -> Arg {
    Arg::new("logs")
        .value_name("LOG")
        .required(true)
        .num_args(1..)
        .value_parser(value_parser!(PathBuf))
        .help("Logs of daemons, a file each; words before \"time=\" name the daemon of a line")
}

fn explain() -> Command {
    Command::new("explain")
        .about("Tell the story of one request, job or sample from the logs of all daemons")
        .long_about(
            "Tell the story of one request, job or sample from the logs of all daemons.\n\nPrints \
             each line that names the id, in order of time, with what changed meanwhile for the \
             daemons and servers that these lines name: servers that left, the store lost or \
             regained, owners and desired states that changed. Lines of a job name its samples, \
             so a sample's story starts with its own id. Work of a job that was sent after the \
             job was closed is marked, and the last line tells how long after its end the last \
             work was sent. The exit code is 2 if no line names the id.",
        )
        .arg(Arg::new("id").value_name("ID").required(true).help("Id of a request, job or sample"))
        .arg(logs_arg())
}

fn incident() -> Command {
    let time_arg = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("TIME").help(help)
    };
    Command::new("incident")
        .about("List what changed in a span of time, from the logs of all daemons")
        .long_about(
            "List what changed in a span of time, from the logs of all daemons.\n\nEach kind of \
             change is listed with its first and last time, how often it was logged and by how \
             many daemons; requests that were refused or failed are counted by cause.",
        )
        .arg(logs_arg())
        .arg(time_arg("from", "Leave out lines before this time, as 2026-12-04T08:16:11Z"))
        .arg(time_arg("until", "Leave out lines from this time on"))
}

fn bench() -> Command {
    let load = Command::new("load")
        .about("Send a load through one daemon, and the same load directly to the engines")
        .arg(
            Arg::new("requests")
                .long("requests")
                .value_name("COUNT")
                .value_parser(value_parser!(u64).range(1..=1_000_000))
                .default_value("4000")
                .help("Requests of each of the two loads"),
        )
        .arg(
            Arg::new("callers")
                .long("callers")
                .value_name("COUNT")
                .value_parser(value_parser!(u64).range(1..=64))
                .default_value("32")
                .help("Requests at the same time"),
        );
    let fleet = Command::new("fleet")
        .about("Play an experiment many times in virtual time, with trainers that fall behind")
        .long_about(
            "Play an experiment many times in virtual time, with trainers that fall behind.\n\n\
             The decisions are those of the daemons; trainers, servers and the store are models. \
             The result has 95% intervals over the seeds. With --compare, the difference from an \
             older result (written with --format json) is shown, seed by seed.",
        )
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("The experiment, like examples/fleet-outage.json"),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("COUNT")
                .value_parser(value_parser!(u64).range(1..=100_000))
                .default_value("200")
                .help("Days to play, one a seed"),
        )
        .arg(
            Arg::new("compare")
                .long("compare")
                .value_name("OLD.json")
                .value_parser(value_parser!(PathBuf))
                .help("An older result of the same experiment and seeds"),
        );
    Command::new("bench")
        .about("Benches for people")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("policy").about("Compare policies in virtual time; takes about a minute"),
        )
        .subcommand(load)
        .subcommand(fleet)
}

fn demo() -> Command {
    Command::new("demo")
        .about("Run the whole system with stand-ins in this process and check every promise")
        .long_about(
            "Run the whole system with stand-ins in this process and check every promise.\n\n\
             Daemons, the platform's services, model engines, plain services, trainers and \
             callers talk over loopback sockets. Trainers run steps while weights change, \
             callers send requests, and one daemon makes a planned stop. The exit code is 5 if a \
             promise was broken.",
        )
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .value_name("NAME")
                .value_parser(["gedel", "consortium"])
                .default_value("gedel")
                .help("Sizes to run"),
        )
        .arg(
            Arg::new("steps")
                .long("steps")
                .value_name("COUNT")
                .value_parser(value_parser!(u64).range(1..=1000))
                .default_value("4")
                .help("Steps of each trainer"),
        )
        .arg(
            Arg::new("faults")
                .long("faults")
                .action(ArgAction::SetTrue)
                .help("Also crash an engine, lose replies of the table, and send a poison request"),
        )
        .arg(
            Arg::new("break")
                .long("break")
                .value_name("PART")
                .value_parser(["answers", "cursor", "ledger"])
                .help("Break a stand-in on purpose, to see the checks fail"),
        )
        .arg(
            Arg::new("verbose")
                .long("verbose")
                .short('v')
                .action(ArgAction::SetTrue)
                .help("Print the log of the daemons to standard error"),
        )
}
