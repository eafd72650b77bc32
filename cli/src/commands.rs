//! Commands and flags of the command line, and the commands that call an entry host.

use std::future::Future;
use std::net::SocketAddr;

use async_std::task;
use camphorbeam_model::id;
use camphorbeam_protocol::messages;
use camphorbeam_server::{api, auth, requests, settings};
use camphorbeam_telemetry::trace_file;
use camphorbeam_telemetry::traces::{self, FutureExt as _};
use clap::{Arg, ArgAction, ArgMatches, Command};
use http_types::Method;

#[cfg(feature = "check")]
use crate::check;
use crate::client::{ApiClient, CallError};
#[cfg(feature = "losses")]
use crate::losses;
use crate::{exit, host, print, serve};

/// Version of the program, with the revision of its source.
pub const VERSION: &str = concat!(
    env!("CARGO_PKG_VERSION"),
    " (",
    env!("CAMPHORBEAM_REVISION"),
    ")"
);

/// Returns the definition of the command line.
pub fn command() -> Command {
    let command = Command::new("camphorbeam")
        .about("Schedules multi-accelerator jobs under client account guarantees")
        .version(VERSION)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("serve")
                .about("Run an entry host")
                .args(settings::args()),
        )
        .subcommand(host::command())
        .subcommand(submit_command())
        .subcommand(request_command(
            "status",
            "Say in one line how a request stands",
        ))
        .subcommand(request_command("explain", "Print every step of a request"))
        .subcommand(request_command("cancel", "Cancel a request"))
        .subcommand(request_command(
            "answer",
            "Write the whole answer to standard output",
        ))
        .subcommand(sheet_command())
        .subcommand(drain_command())
        .subcommand(
            Command::new("members")
                .about("Print the entry hosts that the entry host knows")
                .args(client_args()),
        )
        .subcommand(token_command());
    #[cfg(feature = "check")]
    let command = command.subcommand(check::command());
    #[cfg(feature = "losses")]
    let command = command.subcommand(losses::command());
    command
}

fn client_args() -> [Arg; 4] {
    [
        Arg::new("server")
            .long("server")
            .env("CAMPHORBEAM_SERVER")
            .required(true)
            .help("Address of any entry host, as IP:PORT"),
        Arg::new("token-file")
            .long("token-file")
            .env("CAMPHORBEAM_TOKEN_FILE")
            .default_value("")
            .help("File with the token; CAMPHORBEAM_TOKEN is read if empty"),
        Arg::new("json")
            .long("json")
            .action(ArgAction::SetTrue)
            .help("Print JSON for programs"),
        Arg::new("trace-file")
            .long("trace-file")
            .env("CAMPHORBEAM_TRACE_FILE")
            .default_value("")
            .help("Where the span of this call is written, - for standard error; none if empty"),
    ]
}

fn request_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .args(client_args())
        .arg(Arg::new("request").required(true).help("Id of the request"))
}

fn submit_command() -> Command {
    let arg = |name: &'static str, help: &'static str| Arg::new(name).long(name).help(help);
    let flag = |name: &'static str, help: &'static str| arg(name, help).action(ArgAction::SetTrue);
    Command::new("submit")
        .about("Submit a request")
        .args(client_args())
        .arg(arg("account", "Client account that pays").required(true))
        .arg(arg("key", "Your key: the same key twice is one request").required(true))
        .arg(arg("kind", "Kind of work, as in the sheet").required(true))
        .arg(arg("accelerators", "Adjacent accelerators").default_value("1"))
        .arg(arg("run-time-ms", "How long you believe that it runs").default_value("0"))
        .arg(arg("zone", "Availability zone, if it matters"))
        .arg(arg("payload", "Input for the tasks").default_value(""))
        .arg(flag("idempotent", "Running it twice does no harm"))
        .arg(flag("checkpointable", "It can be checkpointed and resumed"))
}

fn sheet_command() -> Command {
    Command::new("sheet")
        .about("Show or apply the morning sheet")
        .subcommand_required(true)
        .subcommand(
            Command::new("show")
                .about("Print the sheet that the entry host has")
                .args(client_args()),
        )
        .subcommand(
            Command::new("apply")
                .about("Put a sheet in force")
                .args(client_args())
                .arg(
                    Arg::new("replaces")
                        .long("replaces")
                        .required(true)
                        .help("Version that it replaces, as `sheet show` prints it; 0 for none"),
                )
                .arg(Arg::new("file").required(true).help("The sheet as CSV")),
        )
}

fn drain_command() -> Command {
    Command::new("drain")
        .about("Keep new work from a backend server, or have an entry host leave")
        .args(client_args())
        .arg(
            Arg::new("undo")
                .long("undo")
                .action(ArgAction::SetTrue)
                .help("Let it have work again"),
        )
        .arg(
            Arg::new("entry-host")
                .long("entry-host")
                .action(ArgAction::SetTrue)
                .conflicts_with_all(["undo", "backend-server"])
                .help("Have the entry host at --server finish what is under way, then leave"),
        )
        .arg(
            Arg::new("backend-server")
                .required_unless_present("entry-host")
                .help("Id of the backend server"),
        )
}

fn token_command() -> Command {
    Command::new("token")
        .about("Print a token; the secret is read as `serve` reads it")
        .arg(
            Arg::new("secret-file")
                .long("secret-file")
                .env("CAMPHORBEAM_SECRET_FILE")
                .default_value("")
                .help("File with the secret; CAMPHORBEAM_SECRET is read if empty"),
        )
        .arg(
            Arg::new("account")
                .long("account")
                .help("Client account of a caller; an operator's token without it"),
        )
}

/// Error message and exit code of a command that failed.
struct Failure {
    message: String,
    code: exit::Code,
}

impl Failure {
    fn usage(message: impl ToString) -> Self {
        Self {
            message: message.to_string(),
            code: exit::Code::Usage,
        }
    }
}

impl From<CallError> for Failure {
    fn from(error: CallError) -> Self {
        Self {
            code: error.exit_code(),
            message: error.to_string(),
        }
    }
}

/// Runs the command that `matches` names.
pub fn run(matches: &ArgMatches, signals: Option<anyhow::Result<host::SignalFlags>>) -> exit::Code {
    let (name, matches) = match matches.subcommand() {
        Some(("serve", matches)) => return serve::run(matches),
        Some(("host", matches)) => return host::run(matches, signals),
        #[cfg(feature = "check")]
        Some(("check", matches)) => return check::run(matches),
        #[cfg(feature = "losses")]
        Some(("losses", matches)) => return losses::run(matches),
        Some(subcommand) => subcommand,
        None => return exit::Code::Usage,
    };
    let result = match name {
        "token" => print_token(matches),
        "sheet" => run_sheet(matches),
        _ => run_traced(name, matches, run_client_command(name, matches)),
    };
    match result {
        Ok(()) => exit::Code::Success,
        Err(failure) => {
            eprintln!("camphorbeam {name}: {}", failure.message);
            failure.code
        }
    }
}

fn run_sheet(matches: &ArgMatches) -> Result<(), Failure> {
    match matches.subcommand() {
        Some((name, matches)) => run_traced("sheet", matches, call_sheet_api(name, matches)),
        None => Err(Failure::usage("give `show` or `apply`")),
    }
}

/// Runs a command in the root span of a new trace. The trace is written to the trace file, if there
/// is one.
fn run_traced(
    name: &str,
    matches: &ArgMatches,
    command: impl Future<Output = Result<(), Failure>>,
) -> Result<(), Failure> {
    let _recording = trace_file::start(arg_text(matches, "trace-file"), "caller")
        .map_err(|error| Failure::usage(format!("{error:#}")))?;
    let span = traces::start_or_continue_trace("caller.command", None)
        .with_property(|| ("command", name.to_owned()));
    task::block_on(command.in_span(span))
}

fn arg_text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

fn parse_arg<T>(matches: &ArgMatches, name: &str) -> Result<T, Failure>
where
    T: std::str::FromStr<Err: std::fmt::Display>,
{
    let value = arg_text(matches, name);
    value
        .parse()
        .map_err(|error| Failure::usage(format!("{name} {value:?}: {error}")))
}

fn read_file(path: &str) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|error| Failure::usage(format!("{path}: {error}")))
}

fn api_client(matches: &ArgMatches) -> Result<ApiClient, Failure> {
    let address: SocketAddr = parse_arg(matches, "server")?;
    let token = match arg_text(matches, "token-file") {
        "" => std::env::var("CAMPHORBEAM_TOKEN").unwrap_or_default(),
        path => read_file(path)?,
    };
    Ok(ApiClient::new(address, token.trim().to_owned()))
}

async fn run_client_command(name: &str, matches: &ArgMatches) -> Result<(), Failure> {
    let client = api_client(matches)?;
    match name {
        "submit" => submit(&client, matches).await,
        "drain" if matches.get_flag("entry-host") => leave(&client, matches).await,
        "members" => members(&client, matches).await,
        "drain" => drain(&client, matches).await,
        // `status`, `explain`, `cancel` and `answer`.
        _ => {
            let request: id::RequestId = parse_arg(matches, "request")?;
            run_request_command(name, &client, &request, matches.get_flag("json")).await
        }
    }
}

async fn run_request_command(
    name: &str,
    client: &ApiClient,
    request: &id::RequestId,
    is_json: bool,
) -> Result<(), Failure> {
    let path = format!("/v1/requests/{request}");
    traces::add_property(traces::REQUEST, request);
    match name {
        "cancel" => {
            let outcome: messages::CancelOutcome =
                client.call_json(Method::Delete, &path, Vec::new()).await?;
            print::cancel_outcome(&outcome, is_json);
        }
        "answer" => {
            let path = format!("{path}/answer");
            let content = client.call(Method::Get, &path, Vec::new()).await?;
            print::bytes(&content);
        }
        // `status` and `explain`.
        _ => {
            let explanation: requests::Explanation =
                client.call_json(Method::Get, &path, Vec::new()).await?;
            match name {
                "status" => print::status(&explanation, is_json),
                _ => print::explanation(&explanation, is_json),
            }
        }
    }
    Ok(())
}

async fn submit(client: &ApiClient, matches: &ArgMatches) -> Result<(), Failure> {
    let zone: Option<id::ZoneName> = match arg_text(matches, "zone") {
        "" => None,
        _ => Some(parse_arg(matches, "zone")?),
    };
    let spec = camphorbeam_model::request::RequestSpec {
        client_account: parse_arg(matches, "account")?,
        key: parse_arg(matches, "key")?,
        kind: parse_arg(matches, "kind")?,
        accelerators: parse_arg(matches, "accelerators")?,
        idempotent: matches.get_flag("idempotent"),
        checkpointable: matches.get_flag("checkpointable"),
        declared_run_time_ms: parse_arg(matches, "run-time-ms")?,
        zone,
        payload: arg_text(matches, "payload").to_owned(),
    };
    let body = serde_json::to_vec(&spec).map_err(Failure::usage)?;
    let submitted: api::SubmitResponse =
        client.call_json(Method::Post, "/v1/requests", body).await?;
    traces::add_property(traces::REQUEST, &submitted.id);
    print::submission(&submitted, matches.get_flag("json"));
    Ok(())
}

async fn members(client: &ApiClient, matches: &ArgMatches) -> Result<(), Failure> {
    let health: api::Health = client
        .call_json(Method::Get, "/v1/health", Vec::new())
        .await?;
    print::members(&health, matches.get_flag("json"));
    Ok(())
}

/// Asks the entry host to shut down, for `drain --entry-host`. "Leave" is another word for a
/// shutdown.
async fn leave(client: &ApiClient, matches: &ArgMatches) -> Result<(), Failure> {
    let health: api::Health = client
        .call_json(Method::Post, "/v1/leave", Vec::new())
        .await?;
    print::leaving_host(&health, matches.get_flag("json"));
    Ok(())
}

/// Starts or, with `--undo`, ends the drain of a backend server.
async fn drain(client: &ApiClient, matches: &ArgMatches) -> Result<(), Failure> {
    let drain = messages::DrainServer {
        server: parse_arg(matches, "backend-server")?,
        is_drained: !matches.get_flag("undo"),
    };
    let body = serde_json::to_vec(&drain).map_err(Failure::usage)?;
    let progress: messages::DrainProgress =
        client.call_json(Method::Post, "/v1/drain", body).await?;
    print::drain(&drain, &progress, matches.get_flag("json"));
    Ok(())
}

async fn call_sheet_api(name: &str, matches: &ArgMatches) -> Result<(), Failure> {
    let client = api_client(matches)?;
    let is_json = matches.get_flag("json");
    match name {
        "show" => {
            let sheet: api::SheetResponse = client
                .call_json(Method::Get, "/v1/sheet", Vec::new())
                .await?;
            print::sheet(&sheet, is_json);
        }
        // `apply`.
        _ => {
            let replaces: u64 = parse_arg(matches, "replaces")?;
            let csv = read_file(arg_text(matches, "file"))?;
            let path = format!("/v1/sheet/{replaces}");
            let sheet: api::SheetResponse = client
                .call_json(Method::Put, &path, csv.into_bytes())
                .await?;
            print::applied_sheet(&sheet, is_json);
        }
    }
    Ok(())
}

fn print_token(matches: &ArgMatches) -> Result<(), Failure> {
    let secret = match arg_text(matches, "secret-file") {
        "" => std::env::var(settings::SECRET_ENV).unwrap_or_default(),
        path => read_file(path)?,
    };
    let keyring = auth::Keyring::new(secret.trim()).map_err(Failure::usage)?;
    let identity = match arg_text(matches, "account") {
        "" => auth::Identity::Operator,
        _ => auth::Identity::Caller(parse_arg(matches, "account")?),
    };
    println!("{}", keyring.token(&identity));
    Ok(())
}
