//! Operators' commands.

mod check;
mod domain;
mod moves;
mod options;
mod report;
mod status;
mod template;
mod upstream;

use std::process;

use crate::cli;
use crate::operator;
use crate::operator::command::options::Options;

/// Description of a command and the function that runs it.
struct Command {
    /// Words of the command after the program name.
    name: &'static str,
    /// Help text, printed above [`COMMON_HELP`].
    help: &'static str,
    /// Names of the positional arguments.
    arguments: &'static [&'static str],
    /// Options of this command in addition to the common ones; each takes a value.
    options: &'static [&'static str],
    run: fn(&Options) -> Result<Output, operator::Error>,
}

/// Output of a command: JSON with `--json`, otherwise text.
struct Output {
    json: serde_json::Value,
    text: String,
    exit_code: u8,
}

impl Output {
    fn new(json: serde_json::Value, text: String) -> Self {
        Self { json, text, exit_code: 0 }
    }
}

const COMMANDS: &[Command] = &[
    check::CHECK,
    template::SHOW,
    template::APPLY,
    template::HISTORY,
    template::HASH_KEY,
    domain::OUT,
    domain::IN,
    domain::STATUS,
    upstream::STATUS,
    status::STATUS,
    moves::START,
    moves::STATUS,
    moves::CANCEL,
    report::BURN,
];

const COMMON_HELP: &str = "
Common options:
      --instance IP:PORT  Operators' listener of any instance [env: DAMASKDRIFT_INSTANCE]
      --token-file FILE   File with the operators' token [env: DAMASKDRIFT_TOKEN holds the token]
      --author NAME       Name recorded with a change [default: $USER]
      --json              Print JSON
  -h, --help              Print help

Exit codes: 0 done, 1 failed or refused, 2 wrong command line, 3 accepted but not confirmed
everywhere.
";

/// Runs an operator's command and prints its output.
///
/// # Errors
///
/// Returns why the command failed.
pub fn run(name: &str, args: lexopt::Parser) -> Result<process::ExitCode, operator::Error> {
    let args = Options::collect(args)?;
    let Some(command) = find(name, &args) else {
        return Ok(list_subcommands(name, &args)?.into());
    };
    let words = command.name.split(' ').count() - 1;
    let options = Options::parse(command, &args[words..])?;
    if options.is_help {
        print!("{}{COMMON_HELP}", command.help);
        return Ok(process::ExitCode::SUCCESS);
    }
    match (command.run)(&options) {
        Ok(output) if options.is_json => {
            println!("{}", output.json);
            Ok(output.exit_code.into())
        }
        Ok(output) => {
            print!("{}", output.text);
            Ok(output.exit_code.into())
        }
        Err(error) => {
            if options.is_json {
                println!("{}", error.to_json());
            }
            Err(error)
        }
    }
}

fn find(name: &str, args: &[String]) -> Option<&'static Command> {
    COMMANDS.iter().find(|command| {
        let mut words = command.name.split(' ');
        words.next() == Some(name)
            && words.zip(0..).all(|(word, i)| args.get(i) == Some(&word.to_owned()))
    })
}

/// Lists the commands that start with a word which is not a command by itself.
fn list_subcommands(name: &str, args: &[String]) -> Result<u8, operator::Error> {
    let prefix = format!("{name} ");
    let names: Vec<_> = COMMANDS
        .iter()
        .filter(|command| command.name.starts_with(&prefix))
        .map(|command| command.name)
        .collect();
    if names.is_empty() {
        let message = format!("unknown command {name:?}; see 'damaskdrift --help'");
        return Err(operator::Error::Usage(message));
    }
    if args.iter().any(|arg| arg == "--help" || arg == "-h") {
        println!("Commands: {}\n\nAdd --help to a command for its options.", names.join(", "));
        return Ok(0);
    }
    Err(operator::Error::Usage(format!("say which: {}", names.join(", "))))
}

/// Formats the response to an accepted change, with the instances that have confirmed it.
fn accepted_output(response: serde_json::Value) -> Output {
    let names = |key: &str| -> Vec<String> {
        let list = response[key].as_array().map(Vec::as_slice).unwrap_or_default();
        list.iter().filter_map(|name| name.as_str().map(str::to_owned)).collect()
    };
    let confirmed = names("confirmed").len();
    let mut text = format!(
        "accepted as revision {}, confirmed by {confirmed} instances\n",
        response["revision"]
    );
    let stopped = names("stopped");
    if !stopped.is_empty() {
        let list = stopped.join(", ");
        text.push_str(&format!("stopped or already changed, and silent: {list}\n"));
    }
    let unconfirmed = names("unconfirmed");
    let mut exit_code = 0;
    if !unconfirmed.is_empty() {
        let list = unconfirmed.join(", ");
        text.push_str(&format!("NOT CONFIRMED, may still work under the old document: {list}\n"));
        if let Some(reason) = response["reason"].as_str() {
            text.push_str(&format!("because {reason}\n"));
        }
        exit_code = cli::EXIT_UNCONFIRMED;
    }
    Output { json: response, text, exit_code }
}
