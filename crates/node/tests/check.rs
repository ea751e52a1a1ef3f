//! `magnoliactl check` on files.

use std::path::{Path, PathBuf};
use std::process::Command;

use serde_json::Value;
use yare::parameterized;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r1","host":"h","prefix":"/a/","kind":"safe",
    "timeout_ms":800,"service":"s"}],"services":[{"name":"s"}],
    "tenants":[{"name":"o","api_keys":["secret-one"]}]}"#;

const PRESET: &str = r#"name = "ordinary"
queue = 100
wait = "2s"
retry_share = 0.1
attempts = 3
quarantine = "10m"
organisations = [{ name = "plank", weight = 1.0, keys = ["secret-one"] }]
"#;

/// Folder of documents. Removed when dropped.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        // Tests run in threads of one process.
        let thread = format!("{:?}", std::thread::current().id());
        let name = format!("magnolia-check-{}-{thread}", std::process::id());
        let folder = std::env::temp_dir().join(name.replace(['(', ')'], "-"));
        std::fs::create_dir_all(&folder).expect("folder");
        Self(folder)
    }

    fn write(&self, name: &str, bytes: &[u8]) -> String {
        let file = self.0.join(name);
        std::fs::write(&file, bytes).expect("file");
        file.display().to_string()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).ok();
    }
}

/// Runs `check` with further arguments; returns the exit code and standard output.
fn run(arguments: &[&str]) -> (i32, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_magnoliactl"))
        .env_clear()
        .arg("check")
        .args(arguments)
        .output()
        .expect("the binary runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    (output.status.code().expect("exit code"), text)
}

// Guards against a script that sends a configuration with errors because of the exit code.
#[parameterized(
    config = { CONFIG, "", "", 0, "0 errors, 0 warnings, 0 differences" },
    preset = { PRESET, "", "", 0, "0 errors, 0 warnings, 0 differences" },
    warning = { CONFIG, "\"service\":\"s\"", "\"service\":\"s\",\"public\":true", 1, "0 errors, 1 warning, 0 differences" },
    error = { CONFIG, "800", "0", 2, "1 error, 0 warnings, 0 differences" },
    both = { CONFIG, "\"service\":\"s\"", "\"service\":\"x\",\"public\":true", 2, "1 error, 1 warning, 0 differences" },
    preset_error = { PRESET, "100", "0", 2, "error [value]: queue: 0: allowed is 1 to 1000000 requests" },
    preset_warning = { PRESET, "secret-one", " secret-one", 1, "0 errors, 1 warning" },
    empty = { "", "", "", 2, "error [field]: line 1, queue: is missing" },
)]
fn exit_code_is_that_of_the_worst_finding(
    document: &str,
    find: &str,
    replace: &str,
    code: i32,
    expected: &str,
) {
    let folder = Folder::new();
    let file = folder.write("document", document.replacen(find, replace, 1).as_bytes());
    let (found, text) = run(&[&file]);
    assert_eq!(found, code, "{text}");
    assert!(text.contains(expected) && !text.contains("secret"), "{text}");
}

#[parameterized(
    memory = { &["--memory-mb", "4"], 2, "error [memory]: limits: the body limit of 4194304 bytes" },
    enough_memory = { &["--memory-mb", "4.2"], 0, "0 errors" },
    stall = { &["--stall-ms", "250"], 2, "error [pause]: routes[0]" },
    longer_stall = { &["--stall-ms", "300"], 0, "0 errors" },
    no_memory = { &["--memory-mb", "0"], 2, "" },
    negative = { &["--stall-ms", "-1"], 2, "" },
    no_number = { &["--stall-ms", "nan"], 2, "" },
    format = { &["--format", "xml"], 2, "" },
)]
fn bounds_are_arguments(arguments: &[&str], code: i32, expected: &str) {
    let folder = Folder::new();
    let document = CONFIG.replace("\"service\":\"s\"", "\"service\":\"s\",\"gap_aim_ms\":300");
    let file = folder.write("document", document.as_bytes());
    let (found, text) = run(&[arguments, &[&file]].concat());
    assert_eq!(found, code, "{text}");
    assert!(text.contains(expected), "{text}");
}

// Guards against differences that change the exit code, and against keys in clear text.
#[parameterized(
    config = { CONFIG, CONFIG.replace("\"version\":7", "\"version\":8").replace("secret-one", "secret-two"), 2 },
    preset = { PRESET, PRESET.replace("queue = 100", "queue = 50").replace("1.0", "2.0"), 2 },
    same = { CONFIG, CONFIG.to_owned(), 0 },
)]
fn differences_leave_the_exit_code(before: &str, after: String, differences: u64) {
    let folder = Folder::new();
    let files = [("before", before), ("after", after.as_str())]
        .map(|(name, text)| folder.write(name, text.as_bytes()));
    let [before, after] = &files;
    for arguments in [&["--format", "json"] as &[&str], &["--format=json"]] {
        let (code, text) = run(&[arguments, &["--against", before, after]].concat());
        let value: Value = serde_json::from_str(&text).expect("JSON");
        assert_eq!((code, &value["differences"]), (0, &differences.into()), "{text}");
        assert_eq!(value["findings"].as_array().map(Vec::len), Some(differences as usize));
        assert!(!text.contains("secret"), "{text}");
    }
}

#[test]
fn json_has_severity_cause_place_and_reason() {
    let folder = Folder::new();
    let file = folder.write("document", CONFIG.replace("800", "0").as_bytes());
    let (code, text) = run(&["--format", "json", &file]);
    let value: Value = serde_json::from_str(&text).expect("JSON");
    let finding = &value["findings"][0];
    assert_eq!((code, &value["errors"], &value["warnings"]), (2, &1.into(), &0.into()));
    assert_eq!((&finding["severity"], &finding["cause"]), (&"error".into(), &"time".into()));
    assert_eq!(finding["place"], "routes[0]");
    assert_eq!(finding["reason"], "route \"r1\" has a timeout of 0");
}

// Guards against output that controls the operator's terminal.
#[test]
fn control_characters_are_escaped() {
    let folder = Folder::new();
    let document = CONFIG.replace("\"r1\"", "\"r1\\u001b[2J\"").replace("800", "0");
    let (_, text) = run(&[&folder.write("document", document.as_bytes())]);
    assert!(!text.contains('\u{1b}') && text.contains("r1"), "{text}");
}

#[parameterized(
    binary = { b"\xff\xfe\x00", "error [syntax]: line 1: is not UTF-8" },
    binary_in_line_2 = { b"queue = 1\n\xff", "error [syntax]: line 2: is not UTF-8" },
    json_list = { b"[{}]", "error [" },
    json = { b" {", "error [syntax]: line 1 column 2" },
)]
fn unreadable_document_is_an_error(bytes: &[u8], expected: &str) {
    let folder = Folder::new();
    let (code, text) = run(&[&folder.write("document", bytes)]);
    assert!(code == 2 && text.contains(expected), "{code}: {text}");
}

#[test]
fn missing_file_is_an_error() {
    assert_eq!(run(&["/nonexistent/document"]), (2, String::new()));
}

#[parameterized(
    dar_ordinary = { "dar/ordinary" },
    dar_peak = { "dar/peak" },
    dar_maintenance = { "dar/maintenance" },
    pnw_ordinary = { "pnw/ordinary" },
    pnw_peak = { "pnw/peak" },
    pnw_maintenance = { "pnw/maintenance" },
)]
fn shipped_preset_has_no_finding(name: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../presets");
    let (code, text) = run(&[&folder.join(format!("{name}.toml")).display().to_string()]);
    assert_eq!(code, 0, "{text}");
}
