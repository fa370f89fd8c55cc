//! Stand-ins of the platform, of servers and of consumers, and the scripted cases of the review.
//!
//! Usage: `standin CASE FOLDER`. It writes FOLDER/record.txt and exits with 1 if the rule was broken,
//! 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the environment it leaves the
//! disruption out.

mod gone;
mod http;
mod interim;
mod json;
mod link;
mod poison;
mod program;
mod record;
mod stop;
mod store;
mod wall;

use std::path::Path;
use std::process::ExitCode;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run, for the given reason.
    NotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::new();
    record.add(format!(
        "case {case}, {} the disruption",
        if has_trouble { "with" } else { "without" }
    ));
    let work = program::temporary_folder(case);
    let verdict = match case.as_str() {
        "stop" => stop::run(&record, &work, has_trouble),
        "wall" => wall::run(&record, &work, has_trouble),
        "poison" => poison::run(&record, &work, has_trouble),
        "interim" => interim::run(&record, &work, has_trouble),
        "gone" => gone::run(&record, &work, has_trouble),
        _ => Verdict::NotRun(format!("unknown case {case}")),
    };
    let code = match verdict {
        Verdict::Held => {
            record.add("the rule held".to_owned());
            0
        }
        Verdict::Broken => {
            record.add("the rule was broken".to_owned());
            1
        }
        Verdict::NotRun(reason) => {
            record.add(format!("the case could not run: {reason}"));
            2
        }
    };
    // Only temporary files of this run are in it.
    let _ = std::fs::remove_dir_all(&work);
    if record.write(&Path::new(folder).join("record.txt")).is_err() {
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
