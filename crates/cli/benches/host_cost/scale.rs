//! Runs many hosts in several processes and measures demand reports and processor time per request.

use crate::load::{Answers, Load, clients};
use crate::processes::{Cost, document_text, hosts, listeners, nodes};
use gullsail_configuration::parse;
use std::net::TcpListener as StdListener;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

/// Hosts in each process. 100 hosts have more connections than one process may open.
const HOSTS_PER_PROCESS: usize = 25;

/// Runs the hosts `from..to` of a document until standard input ends. Then prints their processor time in seconds and
/// the number of demand reports that they sent.
pub fn scale_part(file: &str, from: usize, to: usize) {
    let text = std::fs::read_to_string(file).expect("the document");
    let d = Arc::new(parse(file, &text).unwrap_or_else(|p| panic!("{:?}", p.problems)));
    let bind = |h: usize| {
        let listener = StdListener::bind(&d.hosts[h].address).expect("its port is still free");
        listener.set_nonblocking(true).expect("non-blocking");
        listener
    };
    let running = hosts(&d, from, (from..to).map(bind).collect());
    let _ = std::io::stdin().read_line(&mut String::new());
    let Cost { cpu, counts } = running.end();
    println!(
        "{cpu} {}",
        counts.iter().map(|c| c.demand_reports_sent).sum::<u64>()
    );
}

/// Measures fleets of 10, 50 and 100 hosts and prints a row for each.
pub fn scale() {
    println!(
        "hosts   requests/s  done reports/s reports per request  host cpu us per request  p50 us  p99 us"
    );
    for count in [10, 50, 100] {
        let ((nl, na), (hl, ha)) = (listeners(60), listeners(count));
        nodes(nl, Some(1024));
        // The limit is a quarter above the load's rate (1000 units a second for each of two volumes). Hosts with a short
        // peak borrow from others.
        let plan = format!("limit=\"1250units/s\" burst={}", 16 * count.max(70));
        let file =
            std::env::temp_dir().join(format!("gullsail-scale-{}-{count}.kdl", std::process::id()));
        std::fs::write(&file, document_text(&ha, &na, &plan)).expect("the document");
        drop(hl);
        let processes: Vec<_> = (0..count)
            .step_by(HOSTS_PER_PROCESS)
            .map(|from| {
                let to = (from + HOSTS_PER_PROCESS).min(count);
                Command::new(std::env::current_exe().expect("this program"))
                    .args([
                        "scale-part",
                        &file.display().to_string(),
                        &from.to_string(),
                        &to.to_string(),
                    ])
                    .stdin(Stdio::piped())
                    .stdout(Stdio::piped())
                    .spawn()
                    .expect("a process of hosts")
            })
            .collect();
        std::thread::sleep(Duration::from_secs(1));
        let load = Load {
            outstanding: 0,
            rate: 2000.0,
            seconds: 20.0,
            shards: 60,
            bytes: 0,
            warm: 4.0,
        };
        let Answers {
            succeeded: done,
            others: other,
            times,
        } = clients(&ha, &load, false);
        let (mut cpu, mut demand_reports) = (0.0, 0.0);
        for mut process in processes {
            drop(process.stdin.take());
            let out = process
                .wait_with_output()
                .expect("the output of the process");
            let text = String::from_utf8_lossy(&out.stdout).into_owned();
            let mut figures = text
                .split_whitespace()
                .filter_map(|f| f.parse::<f64>().ok());
            cpu += figures.next().expect("processor time");
            demand_reports += figures.next().expect("demand reports");
        }
        let _ = std::fs::remove_file(&file);
        let all = (done + other).max(1) as f64;
        println!(
            "{count:>5} {:>12.0} {:>5.2} {:>9.0} {:>19.2} {:>24.0} {:>7} {:>7}",
            all / load.seconds,
            done as f64 / all,
            demand_reports / load.seconds,
            demand_reports / all,
            cpu / all * 1e6,
            times.value_at_quantile(0.5),
            times.value_at_quantile(0.99)
        );
    }
}
