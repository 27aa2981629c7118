//! The reports of the command-line tool over daemons that answer, refuse or are gone.

use std::collections::BTreeMap;
use std::path::PathBuf;

use serde_json::Value;
use serde_json::json;

use siskinyoke_base::Incarnation;
use siskinyoke_base::InstanceId;
use siskinyoke_cli::report::BurnArgs;
use siskinyoke_cli::report::Daemons;
use siskinyoke_cli::report::UsageArgs;
use siskinyoke_control::Sender;
use siskinyoke_control::burn::Burn;
use siskinyoke_control::burn::BurnReply;
use siskinyoke_control::burn::Ended;
use siskinyoke_control::burn::MemberAddress;
use siskinyoke_control::burn::Outcome;
use siskinyoke_control::burn::Slot;
use siskinyoke_control::burn::Snapshot;
use siskinyoke_control::burn::Target;
use siskinyoke_control::usage::Day;

/// Daemons by address; those left out do not answer.
struct Fleet(BTreeMap<String, Value>);

impl Daemons for Fleet {
    fn get(&self, address: &str, path: &str) -> Result<Value, String> {
        let answer = self.0.get(&format!("{address}{path}"));
        answer
            .cloned()
            .ok_or_else(|| "connection refused".to_owned())
    }
}

fn address(number: u64) -> String {
    format!("10.0.0.{number}:7101")
}

/// Returns the counts of a daemon with some drafts answered and some refused.
fn snapshot(number: u64, within: u32, refused: u32) -> Snapshot {
    let me = Sender {
        instance: InstanceId::new(&format!("entry-{number}")),
        incarnation: Incarnation(number),
    };
    let mut burn = Burn::new(me, Slot(500));
    burn.set_target(Target {
        revision: 3,
        preset: "peak".to_owned(),
        objectives: BTreeMap::from([("drafts".into(), 0.9)]),
    });
    let ended = Ended {
        tier: &"drafts".into(),
        organisation: &"studio <b>".into(),
        endpoint: Some(&"engine-1".into()),
    };
    for slot in 500..512 {
        burn.set_slot(Slot(slot));
        (0..within).for_each(|_| burn.count(ended, Outcome::Within));
        (0..refused).for_each(|_| burn.count(ended, Outcome::Refused));
        burn.waste(ended, 40);
    }
    burn.snapshot()
}

/// Two daemons answer, one is gone and left a copy, one cannot be reached.
fn fleet() -> Fleet {
    let member = |number| MemberAddress {
        instance: InstanceId::new(&format!("entry-{number}")),
        address: address(number),
    };
    let reply = |number, refused| BurnReply {
        own: snapshot(number, 10, refused),
        members: vec![member(1), member(2), member(3)],
        kept: vec![snapshot(4, 5, 0), snapshot(1, 1, 1)],
        complete: false,
    };
    let page = |number, refused| {
        let reply = serde_json::to_value(reply(number, refused)).unwrap();
        (format!("{}/admin/v1/burn", address(number)), reply)
    };
    Fleet(BTreeMap::from([page(1, 10), page(2, 0)]))
}

fn burn(json: bool, html: Option<PathBuf>) -> String {
    let args = BurnArgs {
        tier: None,
        organisation: None,
        html,
    };
    let mut out = Vec::new();
    let addresses = [address(9), address(1)];
    args.run(&fleet(), &addresses, json, &mut out).unwrap();
    String::from_utf8(out).unwrap()
}

/// One daemon is down and another was replaced. The report looks whole, and an operator reads a
/// good hour out of half of the fleet.
#[test]
fn the_report_says_what_it_lacks() {
    let text = burn(false, None);
    assert!(
        text.contains("NOT REACHED: 10.0.0.9:7101, entry-3"),
        "{text}"
    );
    assert!(text.contains("five minutes old: entry-4"), "{text}");
    assert!(
        text.contains("daemons that are gone are left out"),
        "{text}"
    );
    let row = text
        .lines()
        .find(|line| line.starts_with("drafts"))
        .unwrap();
    let cells: Vec<&str> = row.split("  ").filter(|cell| !cell.is_empty()).collect();
    // 120 of 120 + 60 refused, 120 and 60 within: 300 of 420, so 2.9 times the budget of 10%.
    assert_eq!(
        cells[2..8].join("|").replace(' ', ""),
        "slow|90.00%|71.43%|2.9|2.9|120/0/0"
    );
    assert_eq!(
        cells[9..],
        [" engine-1 120", "entry-1 120, entry-2 0, entry-4 0"].map(str::trim)
    );
    let report: Value = serde_json::from_str(&burn(true, None)).unwrap();
    assert_eq!(report["lines"][0]["long"]["tally"]["within"], 300);
    assert_eq!(report["unreached"], json!(["10.0.0.9:7101", "entry-3"]));
}

/// The page is opened on a machine without a network, and an organisation's name holds markup.
/// Plots stay empty, or the name runs as a script in the operator's browser.
#[test]
fn the_page_needs_nothing_and_escapes_names() {
    let path = std::env::temp_dir().join(format!("burn-{}.html", std::process::id()));
    burn(false, Some(path.clone()));
    let page = std::fs::read_to_string(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(page.matches("<svg").count(), 3);
    assert!(page.contains("studio &lt;b&gt;") && !page.contains("<b>"));
    let links = page.matches("http").count();
    assert_eq!(
        links,
        page.matches("xmlns=\"http://www.w3.org/2000/svg\"").count()
    );
    assert!(!page.contains("src=") && !page.contains("url("));
}

/// A bill is read for a day, a value of it is damaged, and nothing on the bill tells.
#[test]
fn the_bill_names_the_day_and_what_is_missing() {
    let key = json!({ "organisation": "studio-1", "tier": "drafts", "model": "planner" });
    let bill = json!({
        "code": 1000,
        "lines": [{
            "day": 20_000, "line": key,
            "counters": { "requests": 3, "prompt": 70, "output": 9, "wasted": [0, 5, 0, 2] },
        }],
        "damaged": 1,
        "recent_here": [{
            "identity": { "organisation": "studio-1", "owner": 7, "key": "draft-77" },
            "line": key, "prompt": 30, "output": 4, "at": 12,
        }],
    });
    let path = format!("{}/admin/v1/usage/studio-1?day=20000", address(1));
    let fleet = Fleet(BTreeMap::from([(path, bill)]));
    let file = std::env::temp_dir().join(format!("usage-{}.html", std::process::id()));
    let args = UsageArgs {
        organisation: Some("studio-1".to_owned()),
        day: Some("2024-10-04".to_owned()),
        html: Some(file.clone()),
    };
    let mut out = Vec::new();
    args.run(&fleet, &[address(1)], false, &mut out).unwrap();
    let text = String::from_utf8(out).unwrap();
    assert!(text.contains("INCOMPLETE: 1 values"), "{text}");
    assert!(text.contains("2024-10-04  studio-1"), "{text}");
    assert!(text.contains("broken 5, poison 2"), "{text}");
    assert!(text.contains("draft-77"), "{text}");
    let page = std::fs::read_to_string(&file).unwrap();
    std::fs::remove_file(&file).unwrap();
    assert!(page.contains("<svg") && page.contains("draft-77"));
}

/// A date is off by one around the end of February, and the bill of another day is shown.
#[test]
fn dates_are_read_and_written_alike() {
    for (date, day) in [
        ("1970-01-01", 0),
        ("2000-02-29", 11_016),
        ("2026-12-02", 20_789),
    ] {
        assert_eq!(Day::parse(date), Ok(Day(day)));
        assert_eq!(Day(day).date(), date);
    }
    for wrong in [
        "2026-02-29",
        "2026-13-01",
        "02-03-2026",
        "",
        "1969-12-31",
        "2026-1-1",
    ] {
        assert!(Day::parse(wrong).is_err(), "{wrong}");
    }
}
