//! Runs measures and prints one JSON line for each result.

use std::process::ExitCode;

use bpaf::Bpaf;
use scenario::measure::{MEASURES, Measure, find};

/// Runs measures and prints one JSON line for each name and seed
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Settings {
    /// List the measures with their units, bounds and sources of bounds
    list: bool,
    /// First seed
    #[bpaf(argument("NUMBER"), fallback(1))]
    seed: u64,
    /// Number of consecutive seeds from the first one on
    #[bpaf(argument("NUMBER"), fallback(1))]
    seeds: u64,
    /// Names of measures; all if none is given
    #[bpaf(positional("NAME"), many)]
    names: Vec<String>,
}

fn main() -> ExitCode {
    let settings = settings().run();
    if settings.list {
        for measure in MEASURES {
            let name = measure.name;
            println!("{name}\t{}\t{}\t{}", measure.unit, measure.bound, measure.source);
        }
        return ExitCode::SUCCESS;
    }
    let names: Vec<&str> = match settings.names.as_slice() {
        [] => MEASURES.iter().map(|measure| measure.name).collect(),
        names => names.iter().map(String::as_str).collect(),
    };
    for name in names {
        let measure = match find(name) {
            Ok(measure) => measure,
            Err(unknown) => {
                eprintln!("Error: {unknown}");
                return ExitCode::FAILURE;
            }
        };
        for seed in settings.seed..settings.seed.saturating_add(settings.seeds) {
            if let Err(failure) = print_result(measure, seed) {
                eprintln!("Error: {name}, seed {seed}: {failure}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

fn print_result(measure: &Measure, seed: u64) -> Result<(), Box<dyn std::error::Error>> {
    println!("{}", serde_json::to_string(&measure.line(seed)?)?);
    Ok(())
}
