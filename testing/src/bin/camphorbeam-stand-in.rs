//! Runs the fake platform or fake backend servers in a process of their own.
//!
//! Prints one line of JSON on standard output once it accepts connections, and runs until it is
//! killed.
//!
//! The modules say fake, but the program keeps the name stand-in, because scripts start it.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use async_std::task;
use camphorbeam_model::cluster;
use camphorbeam_telemetry::trace_file;
use camphorbeam_testing::{fake_backend, fake_platform, journal};
use clap::{Arg, ArgMatches, Command};

fn main() -> anyhow::Result<()> {
    let matches = Command::new("camphorbeam-stand-in")
        .subcommand_required(true)
        .arg(
            Arg::new("trace-file")
                .long("trace-file")
                .global(true)
                .default_value(""),
        )
        .subcommand(
            Command::new("platform")
                .arg(
                    Arg::new("listen")
                        .long("listen")
                        .default_value("127.0.0.1:0"),
                )
                .arg(
                    Arg::new("hosts-lag-ms")
                        .long("hosts-lag-ms")
                        .default_value("0"),
                ),
        )
        .subcommand(
            Command::new("backend-servers")
                .arg(Arg::new("spec").long("spec").required(true))
                .arg(Arg::new("journal").long("journal").required(true)),
        )
        .get_matches();
    let name = matches.subcommand_name().unwrap_or_default();
    let _recording = trace_file::start(text(&matches, "trace-file"), name)?;
    task::block_on(async {
        match matches.subcommand() {
            Some(("platform", matches)) => platform(matches).await,
            Some((_, matches)) => backend_servers(matches).await,
            None => Ok(()),
        }
    })
}

fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

async fn platform(matches: &ArgMatches) -> anyhow::Result<()> {
    let listen: SocketAddr = text(matches, "listen").parse()?;
    let lag = Duration::from_millis(text(matches, "hosts-lag-ms").parse()?);
    let fake = fake_platform::start(listen, lag).await?;
    println!("{}", serde_json::json!({ "address": fake.address }));
    std::future::pending().await
}

async fn backend_servers(matches: &ArgMatches) -> anyhow::Result<()> {
    let specs: Vec<fake_backend::ServerSpec> =
        serde_json::from_str(&std::fs::read_to_string(text(matches, "spec"))?)?;
    let journal = journal::Journal::to_file(Path::new(text(matches, "journal")))?;
    let mut infos: Vec<cluster::BackendServerInfo> = Vec::new();
    for spec in &specs {
        let (_, info) = fake_backend::start(spec, journal.clone()).await?;
        infos.push(info);
    }
    println!("{}", serde_json::to_string(&infos)?);
    std::future::pending().await
}
