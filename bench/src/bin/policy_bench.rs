//! Command that compares placement policies by replaying lists of jobs.

use std::fs;
use std::path::{Path, PathBuf};

use anyhow::Context;
use camphorbeam_bench::{
    backend_servers, clusters, generate, jobs, policies, replay, report, summary, table,
};
use camphorbeam_model::sheet;
use clap::{Arg, ArgAction, ArgMatches, Command};

fn main() -> anyhow::Result<()> {
    run(&command().get_matches())
}

fn command() -> Command {
    let path = clap::value_parser!(PathBuf);
    Command::new("policy-bench")
        .about("Replays lists of jobs under placement policies and compares them")
        .arg(
            Arg::new("jobs")
                .long("jobs")
                .value_name("FILE.csv")
                .value_parser(path.clone())
                .help("List to replay; without it, the lists made for the cluster"),
        )
        .arg(
            Arg::new("sheet")
                .long("sheet")
                .value_name("FILE.csv")
                .value_parser(path.clone())
                .help("Sheet in force; without it, half of the cluster in equal shares"),
        )
        .arg(
            Arg::new("cluster")
                .long("cluster")
                .value_parser(clusters::Cluster::NAMES)
                .default_value("union")
                .help("Cluster to replay on"),
        )
        .arg(
            Arg::new("policy")
                .long("policy")
                .value_name("NAME|all")
                .default_value("all")
                .help("fifo, fifo-backfill, quota-count, camphorbeam, or all"),
        )
        .arg(
            Arg::new("list")
                .long("list")
                .value_name("NAME|all")
                .default_value("all")
                .help("Which of the lists made for the cluster"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(clap::value_parser!(u64))
                .default_value("1")
                .help("Seed of the lists that are made"),
        )
        .arg(
            Arg::new("failing-servers")
                .long("failing-servers")
                .value_name("COUNT")
                .value_parser(clap::value_parser!(usize))
                .default_value("0")
                .help("Servers that fail everything while the list of --jobs is replayed"),
        )
        .arg(
            Arg::new("weight")
                .long("weight")
                .value_name("NAME=NUMBER")
                .action(ArgAction::Append)
                .help("Weight of the policy camphorbeam in place of that of the cluster's user"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print one JSON object a line, one for each list and policy"),
        )
        .arg(
            Arg::new("svg")
                .long("svg")
                .value_name("FILE.svg")
                .value_parser(path.clone())
                .help("Draw the comparison"),
        )
        .arg(
            Arg::new("write-lists")
                .long("write-lists")
                .value_name("DIRECTORY")
                .value_parser(path)
                .help("Write the lists that are made, replay nothing"),
        )
}

fn run(arguments: &ArgMatches) -> anyhow::Result<()> {
    let cluster = clusters::Cluster::by_name(text(arguments, "cluster"))
        .context("no such cluster (hint: see --help)")?;
    let seed = arguments.get_one::<u64>("seed").copied().unwrap_or(1);
    let scenarios = scenarios(arguments, cluster, seed)?;
    if let Some(directory) = arguments.get_one::<PathBuf>("write-lists") {
        return write_lists(directory, &scenarios);
    }
    let given = arguments.get_one::<PathBuf>("sheet");
    let given = given.map(|path| read_sheet(path)).transpose()?;
    let servers = cluster.servers();
    let mut weights = cluster.weights();
    for text in arguments.get_many::<String>("weight").into_iter().flatten() {
        weights.set(text)?;
    }
    let mut summaries = Vec::new();
    for scenario in &scenarios {
        let sheet = clusters::sheet_for(given.as_ref(), &scenario.rows, &servers);
        for name in chosen_policies(text(arguments, "policy"))? {
            let policy =
                policies::by_name(name, &weights).context("no such policy (hint: see --help)")?;
            let results = replay::run(scenario, &servers, &sheet, policy);
            let info = summary::ReplayInfo {
                policy: name,
                cluster: cluster.name(),
                seed,
                scenario,
                servers: &servers,
            };
            let summary = summary::summarize(info, &results);
            if arguments.get_flag("json") {
                println!("{}", serde_json::to_string(&summary)?);
            }
            summaries.push(summary);
        }
    }
    if !arguments.get_flag("json") {
        print!("{}", table::render(&summaries));
    }
    match arguments.get_one::<PathBuf>("svg") {
        Some(path) => report::write(path, &summaries),
        None => Ok(()),
    }
}

fn text<'a>(arguments: &'a ArgMatches, name: &str) -> &'a str {
    arguments.get_one::<String>(name).map_or("", String::as_str)
}

fn chosen_policies(name: &str) -> anyhow::Result<Vec<&'static str>> {
    let chosen: Vec<&'static str> = policies::NAMES
        .into_iter()
        .filter(|known| name == "all" || *known == name)
        .collect();
    match chosen.is_empty() {
        true => anyhow::bail!(
            "no policy {name:?} (hint: one of {}, all)",
            policies::NAMES.join(", ")
        ),
        false => Ok(chosen),
    }
}

fn scenarios(
    arguments: &ArgMatches,
    cluster: clusters::Cluster,
    seed: u64,
) -> anyhow::Result<Vec<replay::Scenario>> {
    if let Some(path) = arguments.get_one::<PathBuf>("jobs") {
        return Ok(vec![read_list(path, arguments)?]);
    }
    let wanted = text(arguments, "list");
    let mut lists = generate::all(cluster, seed);
    let names: Vec<String> = lists.iter().map(|list| list.name.clone()).collect();
    lists.retain(|list| wanted == "all" || list.name == wanted);
    match lists.is_empty() {
        true => anyhow::bail!(
            "no list {wanted:?} (hint: one of {}, all)",
            names.join(", ")
        ),
        false => Ok(lists),
    }
}

fn read_list(path: &Path, arguments: &ArgMatches) -> anyhow::Result<replay::Scenario> {
    let file = fs::File::open(path).with_context(|| format!("list {}", path.display()))?;
    let rows = jobs::read(file).with_context(|| format!("list {}", path.display()))?;
    let count = arguments.get_one::<usize>("failing-servers").copied();
    let servers = count.unwrap_or(0);
    let failure_window = (servers > 0).then_some(backend_servers::FailureWindow {
        servers,
        from_ms: 0,
        until_ms: u64::MAX,
    });
    let name = path.file_stem().unwrap_or_default().to_string_lossy();
    Ok(replay::Scenario {
        name: name.into_owned(),
        rows,
        failure_window,
    })
}

fn read_sheet(path: &Path) -> anyhow::Result<sheet::Sheet> {
    let text = fs::read_to_string(path).with_context(|| format!("sheet {}", path.display()))?;
    Ok(sheet::Sheet::parse(&text)?)
}

fn write_lists(directory: &Path, scenarios: &[replay::Scenario]) -> anyhow::Result<()> {
    fs::create_dir_all(directory)?;
    for scenario in scenarios {
        let path = directory.join(format!("{}.csv", scenario.name));
        let file = fs::File::create(&path).with_context(|| format!("list {}", path.display()))?;
        jobs::write(&scenario.rows, file)?;
    }
    Ok(())
}
