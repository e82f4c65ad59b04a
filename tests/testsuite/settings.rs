//! Settings of a node are validated before anything starts.

use std::fs;
use std::process::{Command, Output};

use serde_json::{Value, json};

/// Returns valid settings.
fn settings() -> Value {
    json!({
        "node": "klang-1",
        "zone": "kl-hall-a",
        "callers": {"listen": "127.0.0.1:0", "hold_ms": 10_000},
        "operators": {"listen": "127.0.0.1:0", "token": "operators-of-klang"},
        "peers": {"listen": "127.0.0.1:0", "token": "nodes-of-klang-valley"},
        "platform": {"address": "127.0.0.1:2379"},
    })
}

/// Runs the daemon with `--check` on a text; `name` makes the file name unique to the test.
fn check(name: &str, text: &str) -> Output {
    let file = format!("jacinthfall-settings-{}-{name}.jsonc", std::process::id());
    let file = std::env::temp_dir().join(file);
    fs::write(&file, text).expect("settings can be written");
    let output = Command::new(env!("CARGO_BIN_EXE_jacinthfalld"))
        .arg("--check")
        .arg("--settings")
        .arg(&file)
        .output()
        .expect("the daemon can be run");
    fs::remove_file(&file).expect("settings can be removed");
    output
}

#[test]
fn valid_settings_with_comments_pass() {
    let text = format!("// A node.\n{} /* end */", settings());

    let output = check("sound", &text);

    assert!(output.status.success(), "{output:?}");
}

#[test]
fn errors_in_settings_name_file_key_and_remedy() {
    let cases = [
        ("unknown", "/callers/hold_s", json!(10), "callers", "unknown field `hold_s`"),
        ("unit", "/callers/hold_ms", json!("10s"), "callers.hold_ms", "invalid type"),
        ("hold", "/callers/hold_ms", json!(5), "callers.hold_ms", "100 to 600000"),
        ("token", "/peers/token", json!("short"), "peers.token", "16 or more"),
        ("name", "/node", json!("klang 1"), "node", "letters, digits"),
        ("address", "/platform/address", json!("nowhere"), "platform.address", "address"),
        ("drain", "/limits", json!({"drain_ms": 1_000}), "limits.drain_ms", "hold_ms"),
        ("body", "/limits", json!({"body_bytes": 1}), "limits.body_bytes", "1024"),
    ];
    for (name, path, value, key, remedy) in cases {
        let mut settings = settings();
        let (parent, field) = path.rsplit_once('/').expect("a path");
        settings.pointer_mut(parent).expect("a parent")[field] = value;

        let output = check(name, &settings.to_string());

        let message = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{name}: {message}");
        assert!(message.contains(&format!("-{name}.jsonc")), "{name}: {message}");
        assert!(message.contains(&format!("`{key}")), "{name}: {message}");
        assert!(message.contains(remedy), "{name}: {message}");
    }
}
