//! Validation of the settings file of `coordinate`.

use chestnutlug::coordinator::settings::CoordinatorSettings;

const VALID: &str = r#"
vm = "vm-1"
zone = "akl-a"
callers = "127.0.0.1:1"
readiness = "127.0.0.1:2"
peers = "127.0.0.1:3"
metrics = "127.0.0.1:4"
store = "127.0.0.1:5"
lease_max_ms = 6000
grace_s = 6
"#;

struct Case {
    name: &'static str,
    text: String,
    findings: &'static [&'static str],
}

#[test]
fn parse_reports_all_findings() {
    let cases = [
        Case {
            name: "valid",
            text: VALID.to_owned(),
            findings: &[],
        },
        Case {
            name: "two values out of range",
            text: VALID
                .replace("6000", "0")
                .replace("grace_s = 6", "grace_s = -1.0"),
            findings: &["lease_max_ms", "grace_s"],
        },
        Case {
            name: "unknown key",
            text: format!("{VALID}\nlease = 1"),
            findings: &["lease"],
        },
        Case {
            name: "unknown log level",
            text: format!("{VALID}\nlog = \"chestnutlug=loud\""),
            findings: &["log"],
        },
        Case {
            name: "value of the wrong type",
            text: VALID.replace("\"akl-a\"", "7"),
            findings: &["zone"],
        },
    ];
    for case in cases {
        let findings = CoordinatorSettings::parse(&case.text).err();
        let findings = findings.unwrap_or_default();
        assert_eq!(
            findings.len(),
            case.findings.len(),
            "{}: {findings:?}",
            case.name
        );
        for (found, expected) in findings.iter().zip(case.findings) {
            assert!(found.contains(expected), "{}: {found}", case.name);
        }
    }
}
