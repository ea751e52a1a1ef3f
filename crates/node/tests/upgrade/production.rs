//! Builds the program as it is in production, from the history of the repository.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::OnceLock;

/// The file that names the commit in production.
const DEPLOY_FILE: &str = "deploy/system.toml";

/// Returns the program of the commit in production; builds it unless it is built already.
pub(crate) fn program() -> &'static Path {
    static PROGRAM: OnceLock<PathBuf> = OnceLock::new();
    PROGRAM.get_or_init(|| {
        let commit = commit();
        assert_known(&commit);
        let source = check_out(&commit);
        build(&source)
    })
}

/// Returns the root of the repository.
fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the commit that the deploy file names.
fn commit() -> String {
    let text = fs::read_to_string(root().join(DEPLOY_FILE)).expect("the deploy file is readable");
    let file: toml::Table = text.parse().expect("the deploy file is TOML");
    let commit = file.get("production").and_then(toml::Value::as_str);
    commit.expect("the deploy file names the commit in `production`").to_owned()
}

/// Checks that the history holds a commit.
fn assert_known(commit: &str) {
    let object = format!("{commit}^{{commit}}");
    let output = output(git().args(["cat-file", "-e", &object]));
    assert!(
        output.status.success(),
        "{DEPLOY_FILE} names the commit {commit} as the one in production, and the history of this \
         repository does not hold it (a shallow clone? `git fetch --unshallow`): {}",
        String::from_utf8_lossy(&output.stderr)
    );
}

fn git() -> Command {
    let mut command = Command::new("git");
    command.arg("-C").arg(root());
    command
}

/// Writes the files of a commit into a folder below the build folder, once. Returns the folder.
fn check_out(commit: &str) -> PathBuf {
    let builds = Path::new(env!("CARGO_TARGET_TMPDIR")).join("../production");
    let folder = builds.join(commit);
    let source = folder.join("source");
    if source.exists() {
        return source;
    }
    let unfinished = folder.join(format!("unfinished-{}", std::process::id()));
    fs::create_dir_all(&unfinished).expect("a folder for the files of the commit");
    let unfinished = unfinished.canonicalize().expect("a path of the folder");
    let index = unfinished.with_extension("index");
    run(git().env("GIT_INDEX_FILE", &index).args(["read-tree", commit]));
    let prefix = format!("--prefix={}/", unfinished.display());
    run(git().env("GIT_INDEX_FILE", &index).args(["checkout-index", "--all", &prefix]));
    fs::remove_file(&index).expect("the index is removed");
    fs::rename(&unfinished, &source).expect("the folder is renamed");
    source
}

/// Builds the program in its own build folder. Returns its path.
fn build(source: &Path) -> PathBuf {
    let target = source.join("target");
    let mut cargo = Command::new(env!("CARGO"));
    cargo.current_dir(source).env_remove("CARGO_TARGET_DIR").arg("build").arg("--target-dir");
    cargo.arg(&target).args(["--locked", "--offline", "-p", "node", "--bin", "magnoliarun"]);
    run(&mut cargo);
    target.join("debug/magnoliarun")
}

/// Runs a command that must succeed.
fn run(command: &mut Command) {
    let output = output(command);
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{command:?} failed: {error}");
}

/// Runs a command to its end. It starts while no port is tried.
fn output(command: &mut Command) -> Output {
    let child = platform_standin::spawn(command.stdout(Stdio::piped()).stderr(Stdio::piped()));
    let output = child.and_then(Child::wait_with_output);
    output.unwrap_or_else(|error| panic!("{command:?} does not run: {error}"))
}
