//! The operators' command, `magnoliactl`: its command line and its subcommands.

mod check;
mod commit;
mod error;
mod nodes;
mod table;
mod timeline;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bpaf::Bpaf;
use preset::Preset;
use serde_json::{Value, json};
use smol_str::SmolStr;

pub use error::Error;
use nodes::Nodes;
use table::Table;
pub use timeline::{Line, Timeline};

/// Exit code of a command that succeeded.
pub const EXIT_DONE: u8 = 0;
/// Exit code when a node, target or request cannot be reached or found.
pub const EXIT_FAILED: u8 = 1;
/// Exit code of a check that found warnings only.
pub const EXIT_WARNINGS: u8 = 1;
/// Exit code of an invalid command line or document.
pub const EXIT_INVALID: u8 = 2;
/// Exit code when another change of the preset came first.
pub const EXIT_CONFLICT: u8 = 3;
/// Exit code when the outcome of a change is not known, or it is not in force on all nodes yet.
pub const EXIT_UNSETTLED: u8 = 4;

/// Interval at which `watch` polls the nodes.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);
const FOOTER: &str = "Exit codes: 0 done, 1 not reached or not found, or warnings only from \
                      check, 2 command line or document not allowed, 3 another change came first, 4 outcome not known or not in \
                      force everywhere yet.";

/// magnoliactl: inspects and controls the nodes of magnoliarun
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(options), footer(FOOTER))]
pub struct Command {
    /// Operators' ports of the nodes; repeat it, or separate by commas in the variable
    #[bpaf(external(node_list))]
    nodes: Vec<SocketAddr>,
    /// Address of the platform's key-value service
    #[bpaf(long, env("MAGNOLIA_PLATFORM"), argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 2379))), display_fallback)]
    platform: SocketAddr,
    /// Print JSON
    json: bool,
    #[bpaf(external)]
    action: Action,
}

fn node_list() -> impl bpaf::Parser<Vec<SocketAddr>> {
    use bpaf::Parser as _;
    bpaf::long("nodes")
        .env("MAGNOLIA_NODES")
        .help("Operators' ports of the nodes, separated by commas")
        .argument::<String>("IP:PORT,...")
        .fallback("127.0.0.1:9090".to_owned())
        .display_fallback()
        .parse(|text| text.split(',').map(|one| one.trim().parse()).collect::<Result<Vec<_>, _>>())
}

#[derive(Clone, Debug, Bpaf)]
enum Action {
    /// Check a preset document without changing anything
    #[bpaf(command)]
    Validate {
        /// The document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Find all errors of a preset or configuration, and its differences from the one in force
    #[bpaf(command)]
    Check(#[bpaf(external(check::arguments))] check::Arguments),
    /// Put a preset document in force
    #[bpaf(command)]
    Put {
        #[bpaf(external(change))]
        change: Change,
        /// The document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Put the preset of this name in force, from a folder of documents
    #[bpaf(command)]
    Switch {
        #[bpaf(external(change))]
        change: Change,
        /// Folder of the documents
        #[bpaf(long, env("MAGNOLIA_PRESETS"), argument("FOLDER"))]
        presets: PathBuf,
        /// Name, such as ordinary, peak or maintenance
        #[bpaf(positional("NAME"))]
        name: SmolStr,
    },
    /// Show the preset in force
    #[bpaf(command)]
    Show,
    /// Show each change of the preset in force on the nodes, until interrupted
    #[bpaf(command)]
    Watch {
        /// Exit after this many changes
        #[bpaf(long, argument("NUMBER"), optional)]
        changes: Option<usize>,
    },
    /// Show nodes and targets
    #[bpaf(command)]
    Status,
    /// Drain a target: give it no new work
    #[bpaf(command)]
    Drain {
        /// The target
        #[bpaf(positional("TARGET"))]
        target: SmolStr,
    },
    /// Show the decisions on a request
    #[bpaf(command)]
    Explain {
        /// Log of a node on the users' platform, or `-` for standard input; repeat it for
        /// several logs. Without logs the nodes are queried
        #[bpaf(long, argument("FILE"), many)]
        logs: Vec<PathBuf>,
        /// Request id (header Magnolia-Request) or the first part of an event id
        #[bpaf(positional("REQUEST"))]
        request: SmolStr,
    },
}

#[derive(Clone, Debug, Bpaf)]
struct Change {
    /// Name of this change; a repeat under the same name is the same change, so that an
    /// interrupted command can be repeated
    #[bpaf(long, argument("NAME"), optional)]
    change: Option<SmolStr>,
    /// Refuse unless this version is in force
    #[bpaf(long, argument("VERSION"), optional)]
    base: Option<u64>,
}

/// Output of a command.
pub struct Output {
    /// Text for standard output.
    pub text: String,
    /// Exit code.
    pub code: u8,
}

impl Command {
    /// Runs the command. Passes lines that are ready before its end to `print`.
    ///
    /// # Errors
    ///
    /// Returns an error if a file, node, target or request cannot be read, reached or found.
    pub fn run(&self, print: &mut dyn FnMut(String)) -> Result<Output, Error> {
        let nodes = Nodes::new(self.nodes.clone());
        match &self.action {
            Action::Validate { file } => self.validate(file),
            Action::Check(arguments) => arguments.run(self.json),
            Action::Put { change, file } => self.put(&nodes, change, read_document(file)?, print),
            Action::Switch { change, presets, name } => {
                let preset = read_document(&presets.join(format!("{name}.toml")))?;
                if preset.name != *name {
                    return Err(Error::NameMismatch { expected: name.clone(), found: preset.name });
                }
                self.put(&nodes, change, preset, print)
            }
            Action::Show => self.show(&nodes),
            Action::Watch { changes } => self.watch(&nodes, *changes, print),
            Action::Status => self.status(&nodes),
            Action::Drain { target } => self.drain(&nodes, target),
            Action::Explain { logs, request } if logs.is_empty() => self.explain(&nodes, request),
            Action::Explain { logs, request } => self.explain_from_logs(logs, request),
        }
    }

    /// Returns the output of a command that succeeded, as text or JSON.
    fn output(&self, text: String, value: &Value) -> Output {
        let text = if self.json { value.to_string() } else { text };
        Output { text, code: EXIT_DONE }
    }

    fn validate(&self, file: &Path) -> Result<Output, Error> {
        let preset = read_document(file)?;
        let organisations = preset.organisations.len();
        let text = format!("preset {} is valid: {organisations} organisations", preset.name);
        let value = json!({"name": preset.name, "organisations": organisations, "valid": true});
        Ok(self.output(text, &value))
    }

    fn put(
        &self,
        nodes: &Nodes,
        change: &Change,
        preset: Preset,
        print: &mut dyn FnMut(String),
    ) -> Result<Output, Error> {
        let name = change
            .change
            .clone()
            .unwrap_or_else(|| smol_str::format_smolstr!("{:016x}", rand::random::<u64>()));
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut request = preset::Request::new(preset, name, epoch);
        request.base = change.base;
        let json = self.json;
        let mut last = None;
        commit::run(request, nodes, self.platform, &mut |outcome| {
            if last.as_ref() != Some(outcome) {
                print(commit::format(outcome, json));
                last = Some(outcome.clone());
            }
        });
        let code = last.as_ref().map_or(EXIT_UNSETTLED, commit::exit_code);
        Ok(Output { text: String::new(), code })
    }

    fn show(&self, nodes: &Nodes) -> Result<Output, Error> {
        let value = nodes.get_first("/preset")?;
        let preset: Preset =
            serde_json::from_value(value.clone()).map_err(Error::malformed_answer)?;
        let head = format!("# version {}, change {}", preset.version, preset.change);
        // The commit assigns version and change; the document without them can be put again.
        let document = Preset { version: 0, change: SmolStr::default(), ..preset };
        let text = document.document().map_err(|report| Error::Document(format!("{report}")))?;
        let text = format!("{head}\n{text}");
        Ok(self.output(text, &value))
    }

    fn watch(
        &self,
        nodes: &Nodes,
        changes: Option<usize>,
        print: &mut dyn FnMut(String),
    ) -> Result<Output, Error> {
        let mut seen = std::collections::BTreeMap::new();
        let mut shown = 0;
        loop {
            for (node, status) in nodes.statuses() {
                let preset = status.map_or(Value::Null, |status| status["preset"].clone());
                if seen.get(&node) == Some(&preset) {
                    continue;
                }
                print(format_change(&node, &preset, self.json));
                seen.insert(node, preset);
                shown += 1;
                if changes.is_some_and(|changes| shown >= changes) {
                    return Ok(Output { text: String::new(), code: EXIT_DONE });
                }
            }
            std::thread::sleep(WATCH_INTERVAL);
        }
    }

    fn status(&self, nodes: &Nodes) -> Result<Output, Error> {
        let statuses = nodes.statuses();
        if statuses.iter().all(|(_, status)| status.is_none()) {
            return Err(Error::Unreachable);
        }
        let value: Value = statuses
            .iter()
            .map(|(node, status)| (node.clone(), status.clone().unwrap_or(Value::Null)))
            .collect::<serde_json::Map<_, _>>()
            .into();
        Ok(self.output(table::format_status(&statuses), &value))
    }

    fn drain(&self, nodes: &Nodes, target: &str) -> Result<Output, Error> {
        let value = nodes.drain(target)?;
        Ok(self.output(format!("target {target} takes no new work"), &value))
    }

    /// Builds the timeline of a request from log files.
    fn explain_from_logs(&self, logs: &[PathBuf], request: &str) -> Result<Output, Error> {
        let mut lines = Vec::new();
        for file in logs {
            let text = read_log(file)?;
            lines.extend(text.lines().filter_map(Line::parse));
        }
        let timeline = Timeline::new(request, lines);
        let timeline = timeline.ok_or_else(|| Error::NotLogged { request: request.into() })?;
        Ok(self.output(timeline.to_string(), &json!(timeline)))
    }

    fn explain(&self, nodes: &Nodes, request: &str) -> Result<Output, Error> {
        let (node, value) = nodes.explain(request)?;
        let mut table = Table::new(&["node", "decision"]);
        for decision in value["decisions"].as_array().into_iter().flatten() {
            table.add_row([node.clone(), decision.as_str().unwrap_or_default().to_owned()]);
        }
        Ok(self.output(table.to_string(), &json!({"node": node, "explanation": value})))
    }
}

fn format_change(node: &str, preset: &Value, json: bool) -> String {
    if json {
        return json!({"node": node, "preset": preset}).to_string();
    }
    match preset["name"].as_str() {
        Some(name) => format!("node {node}: preset {name}, version {}", preset["version"]),
        None => format!("node {node}: no preset known"),
    }
}

/// Reads a log from a file, or from standard input for `-`.
fn read_log(file: &Path) -> Result<String, Error> {
    let read = if file == Path::new("-") {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(file)
    };
    read.map_err(|error| Error::File { file: file.to_owned(), kind: error.kind() })
}

/// Reads and validates a preset document.
fn read_document(file: &Path) -> Result<Preset, Error> {
    let read = std::fs::read_to_string(file);
    let text = read.map_err(|error| Error::File { file: file.to_owned(), kind: error.kind() })?;
    Preset::parse(&text).map_err(|report| Error::Document(format!("{report}")))
}
