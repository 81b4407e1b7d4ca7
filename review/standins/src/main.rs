//! The stand-ins and drivers of the review's cases. Usage, from the repository's root:
//! `review-standins CASE RECORD`. `TROUBLE=0` leaves out the disruption. Exit codes: 1 the rule was broken, 0 it held,
//! 2 the case could not run.

mod delay;
mod deployments;
mod discovery;
mod half_requests;
mod host;
mod http;
mod late_second_answer;
mod long_pipeline;
mod node;
mod no_length;
mod record;

use record::Record;

fn main() {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let [case, path] = &arguments[..] else {
        eprintln!("usage: review-standins CASE RECORD");
        std::process::exit(2);
    };
    let usual_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        usual_hook(panic);
        // The host ends with this process.
        std::process::exit(2);
    }));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(path);
    record.line(format!("case {case}, trouble {trouble}"));
    let broken = match case.as_str() {
        "late-second-answer" => late_second_answer::run(&record, trouble),
        "late-second-refusal" => late_second_answer::run_refusals(&record, trouble),
        "long-pipeline" => long_pipeline::run(&record, trouble),
        "half-requests" => half_requests::run(&record, trouble),
        "no-length" => no_length::run(&record, trouble),
        _ => host::give_up(&record, "no such case"),
    };
    record.say(if broken { "BROKEN" } else { "held" });
    std::process::exit(i32::from(broken));
}
