//! Membership of a fleet, with hosts as processes: a host joins once the others have a document that names it, a killed
//! host is out after its lease, and a second process under one name gets no lease. The tests read each host's view of
//! the fleet over its control socket.

mod client;
mod commands;
mod offline;
mod rig;

use rig::{gullsail, host, maintenance_document, until};
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// The standing of the host with this number, as the status reports it; empty if it is not listed.
fn state(output: &serde_json::Value, host: u64) -> String {
    let members = output["status"]["members"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    let found = members.iter().find(|m| m["host"] == host);
    found
        .and_then(|m| m["standing"].as_str())
        .unwrap_or_default()
        .to_string()
}

#[test]
fn a_host_joins_by_document_leaves_after_its_lease_and_cannot_run_twice() {
    let dir = tempfile::tempdir().unwrap();
    let dir = dir.path();
    let free = || {
        TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap()
    };
    let addresses = [free(), free(), free()];
    let document = |hosts: usize, revision: &str| {
        let mut text = String::from(
            "fleet \"f\" lease=\"800ms\" drift=0.01 voters=1 floor=0.3\nrules tick=\"20ms\" most-units=8\n\
             stream-type \"r\" effect=\"repeatable\" slo=\"1s\" expiry=\"2s\"\n\
             plan \"p\" limit=\"100units/s\" burst=640 usual=\"60units/s\"\nvolume \"v\" plan=\"p\"\n",
        );
        for (place, at) in addresses[..hosts].iter().enumerate() {
            text += &format!("host \"h{}\" address=\"{at}\"\n", place + 1);
        }
        text + revision
    };
    std::fs::write(dir.join("first.kdl"), document(2, "revision 1\n")).unwrap();
    std::fs::write(dir.join("h1.kdl"), document(2, "revision 1\n")).unwrap();
    std::fs::write(dir.join("h2.kdl"), document(2, "revision 1\n")).unwrap();
    let _h1 = host(dir, "h1.kdl", "h1", "h1.sock");
    let h2 = host(dir, "h2.kdl", "h2", "h2.sock");
    until(dir, "h1.sock", "both are members", |s| {
        state(s, 1) == "member"
    });
    // A third host, which the documents of the others do not name yet: it waits until they have its document.
    let next = document(3, "revision 2 after=\"first.kdl\"\n");
    std::fs::write(dir.join("h3.kdl"), &next).unwrap();
    let _h3 = host(dir, "h3.kdl", "h3", "h3.sock");
    for (file, socket) in [("h1.kdl", "h1.sock"), ("h2.kdl", "h2.sock")] {
        std::fs::write(dir.join(file), &next).unwrap();
        let (code, output) = gullsail(dir, &["reload", socket]);
        assert_eq!(code, Some(0), "{output}");
    }
    until(dir, "h3.sock", "it knows its coordinator", |s| {
        s["status"]["coordinator"] == 0
    });
    let output = until(dir, "h1.sock", "the third is a member", |s| {
        state(s, 2) == "member"
    });
    let counted = output["status"]["budgets"]
        .as_array()
        .unwrap()
        .iter()
        .map(|b| b["counted"].as_u64().unwrap());
    assert!(counted.max().unwrap() <= 1_000_000, "{output}");
    // A second process under the name of a running host gets no lease.
    let double = dir.join("double.kdl");
    std::fs::write(
        &double,
        next.replace(
            &format!("address=\"{}\"", addresses[2]),
            &format!("address=\"{}\"", free()),
        ),
    )
    .unwrap();
    let twin = host(dir, "double.kdl", "h3", "twin.sock");
    // The others send to the address in their document, so the second process receives nothing and holds only its
    // floor.
    let output = until(dir, "twin.sock", "it is up", |s| s["status"]["me"] == 2);
    assert!(output["status"]["lease_ms"].is_null(), "{output}");
    drop(twin);
    // A killed host is out after its lease, and its shares of the budgets pass to the others.
    drop(h2);
    let output = until(dir, "h1.sock", "the dead one is out", |s| {
        state(s, 1) == "out"
    });
    assert_eq!(state(&output, 2), "member");
    let largest_share = |s: &serde_json::Value| {
        let budgets = s["status"]["budgets"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        let shares = |b: &serde_json::Value| b["parts"].as_array().cloned().unwrap_or_default();
        budgets
            .iter()
            .flat_map(shares)
            .filter(|p| p[0] == 1)
            .filter_map(|p| p[1].as_u64())
            .max()
            .unwrap_or(0)
    };
    until(dir, "h1.sock", "its floor alone is counted", |s| {
        largest_share(s) == 100_000
    });
    // Without `--json` the status is a table.
    let (code, text) = gullsail(dir, &["fleet", "status", "h1.sock"]);
    let wanted = [
        "fleet f",
        "coordinator: this host",
        "out (lease expired)",
        "cold nodes",
    ];
    assert!(
        code == Some(0) && wanted.iter().all(|w| text.contains(w)),
        "{text}"
    );
}

#[test]
fn a_command_to_any_host_takes_a_server_offline_and_back() {
    let dir = tempfile::tempdir().unwrap();
    let dir = dir.path();
    std::fs::write(dir.join("works.kdl"), maintenance_document()).unwrap();
    let start = |name: &str| host(dir, "works.kdl", name, &format!("{name}.sock"));
    let (_h1, _h2, mut h3) = (start("h1"), start("h2"), start("h3"));
    for name in ["h1.sock", "h2.sock", "h3.sock"] {
        let has_lease = |s: &serde_json::Value| s["status"]["lease_ms"].is_number();
        until(dir, name, "it has a lease", has_lease);
    }
    let maintenance = |socket: &str| {
        let (_, output) = gullsail(dir, &["fleet", "works", socket, "--json"]);
        serde_json::from_str::<serde_json::Value>(&output).unwrap_or_default()
    };
    let wait = |socket: &str, fits: &dyn Fn(&serde_json::Value) -> bool| {
        let end = Instant::now() + Duration::from_secs(60);
        while !fits(&maintenance(socket)) {
            assert!(Instant::now() < end, "{}", maintenance(socket));
            std::thread::sleep(Duration::from_millis(50));
        }
    };
    let stage = |w: &serde_json::Value| {
        w["orders"][0]["stage"]
            .as_str()
            .unwrap_or_default()
            .to_string()
    };
    wait("h1.sock", &|w| w["known"] == true);
    // Each command is refused with its reason, and leaves no order behind.
    let refused: [(&[&str], &str); 6] = [
        (&["fleet", "out", "h1.sock", "n11"], "did you mean `n1`?"),
        (
            &["fleet", "out", "h2.sock", "h3", "n1"],
            "keep=0.6 wants more",
        ),
        (
            &["fleet", "out", "h1.sock", "h3", "h77"],
            "no node, host or zone is called \"h77\"",
        ),
        (
            &["fleet", "back", "h1.sock", "h3"],
            "there is no order for it",
        ),
        (
            &["fleet", "cancel", "h3.sock", "h3"],
            "there is no order for it",
        ),
        (
            &["fleet", "out", "h1.sock", "h3", "--for", "soon"],
            "invalid value",
        ),
    ];
    for (words, why) in refused {
        let (code, output) = gullsail(dir, words);
        assert!(
            code.is_some_and(|c| c > 0) && output.contains(why),
            "{words:?}: {code:?} {output}"
        );
    }
    assert_eq!(
        maintenance("h1.sock")["orders"].as_array().map(Vec::len),
        Some(0)
    );
    // The same command through two hosts at once makes one order. The server's host answers its open requests, leaves
    // the fleet and exits.
    let out = [
        "fleet",
        "out",
        "h1.sock",
        "h3",
        "--reason",
        "a new kernel",
        "--wait",
    ];
    std::thread::scope(|s| {
        let other = s.spawn(|| {
            gullsail(
                dir,
                &["fleet", "out", "h2.sock", "h3", "--reason", "a new kernel"],
            )
        });
        let (code, output) = gullsail(dir, &out);
        assert!(
            code == Some(0) && output.contains("a new kernel"),
            "{output}"
        );
        assert_eq!(other.join().unwrap().0, Some(0));
    });
    let view = maintenance("h2.sock");
    assert!(
        view["orders"].as_array().is_some_and(|o| o.len() == 1),
        "{view}"
    );
    // The host announced its departure, which it does as coordinator too, so the order did not have to wait until its
    // lease expired.
    assert_eq!(
        view["orders"][0]["hosts"].as_array().map(Vec::len),
        Some(0),
        "{view}"
    );
    assert!(h3.0.wait().unwrap().success());
    let (code, output) = gullsail(dir, &["fleet", "cancel", "h2.sock", "h3"]);
    assert!(
        code == Some(1) && output.contains("it is out already"),
        "{output}"
    );
    // A new process under its name does not join the fleet until an operator gives the `back` command.
    drop(h3);
    let _h3 = start("h3");
    std::thread::sleep(Duration::from_millis(1500));
    assert_eq!(stage(&maintenance("h1.sock")), "out");
    let output = until(dir, "h3.sock", "it is up", |s| s["status"]["me"] == 2);
    assert!(output["status"]["lease_ms"].is_null(), "{output}");
    assert_eq!(
        gullsail(dir, &["fleet", "back", "h2.sock", "h3"]).0,
        Some(0)
    );
    wait("h1.sock", &|w| stage(w) == "done");
    until(dir, "h3.sock", "it is a member", |s| {
        s["status"]["lease_ms"].is_number()
    });
}
