//! Stand-ins and checks of the review's cases that are scripts.
//!
//! Usage: `standin CASE FOLDER RECORD`, from the repository's root. FOLDER holds settings and logs.
//! The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod crash;
mod engines;
mod http;
mod metrics_memory;
mod program;
mod prompt_parts;
mod record;
mod sent_ahead;
mod store;

use std::env;
use std::path::PathBuf;
use std::process::ExitCode;

/// The result of a run.
#[derive(Debug)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

impl Verdict {
    fn broken(is_broken: bool) -> Self {
        if is_broken { Self::Broken } else { Self::Held }
    }
}

fn main() -> ExitCode {
    let mut args = env::args().skip(1);
    let (Some(case), Some(folder), Some(path)) = (args.next(), args.next(), args.next()) else {
        eprintln!("usage: standin CASE FOLDER RECORD");
        return 2.into();
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let mut record = record::Record::create(&PathBuf::from(path));
    record.line(&format!("case {case}, disruption: {}", if has_trouble { "yes" } else { "no" }));
    let folder = PathBuf::from(folder);
    let verdict = match case.as_str() {
        "sent-ahead" => sent_ahead::run(&folder, has_trouble, &mut record),
        "prompt-parts" => prompt_parts::run(&folder, has_trouble, &mut record),
        "deep-part" => crash::run(&folder, has_trouble, false, &mut record),
        "silent-crash" => crash::run(&folder, has_trouble, true, &mut record),
        "metrics-memory" => metrics_memory::run(&folder, has_trouble, &mut record),
        _ => Verdict::NotRun,
    };
    record.line(&format!("result: {verdict:?}"));
    match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    }
    .into()
}
