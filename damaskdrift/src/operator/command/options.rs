//! Parsing of operators' command lines.

use std::collections;
use std::env;
use std::ffi;
use std::fs;
use std::net;

use crate::operator::Error;
use crate::operator::client::Client;
use crate::operator::command::Command;

/// Environment variable with the address of the operators' listener, used if `--instance` is
/// absent.
const INSTANCE_ENV: &str = "DAMASKDRIFT_INSTANCE";
/// Environment variable with the operators' token, used if `--token-file` is absent.
const TOKEN_ENV: &str = "DAMASKDRIFT_TOKEN";

/// Parsed options and arguments of one command.
#[derive(Debug, Default)]
pub struct Options {
    /// Positional arguments, as many as the command declares.
    pub arguments: Vec<String>,
    /// Whether the output is printed as JSON.
    pub is_json: bool,
    /// Whether only the help text is printed.
    pub is_help: bool,
    values: collections::BTreeMap<String, String>,
}

impl Options {
    /// Returns the arguments that follow the command's first word.
    ///
    /// # Errors
    ///
    /// Returns which argument is not valid UTF-8.
    pub fn collect(mut args: lexopt::Parser) -> Result<Vec<String>, Error> {
        let text = |arg: ffi::OsString| {
            arg.into_string()
                .map_err(|arg| Error::Usage(format!("argument {} is not UTF-8", arg.display())))
        };
        args.raw_args()?.map(text).collect()
    }

    /// Parses the options and arguments of a command.
    ///
    /// # Errors
    ///
    /// Returns which option is unknown or lacks a value, or that the number of arguments is wrong.
    pub fn parse(command: &Command, args: &[String]) -> Result<Self, Error> {
        let mut options = Self::default();
        let mut parser = lexopt::Parser::from_args(args);
        while let Some(arg) = parser.next()? {
            match arg {
                lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => options.is_help = true,
                lexopt::Arg::Long("json") => options.is_json = true,
                lexopt::Arg::Long(name) if is_known(command, name) => {
                    let name = name.to_owned();
                    let value = parser.value()?.to_string_lossy().into_owned();
                    options.values.insert(name, value);
                }
                lexopt::Arg::Value(value) => {
                    options.arguments.push(value.to_string_lossy().into_owned());
                }
                other => return Err(other.unexpected().into()),
            }
        }
        if options.is_help {
            return Ok(options);
        }
        if options.arguments.len() != command.arguments.len() {
            let expected = command.arguments.join(" ");
            let message = format!(
                "'{}' takes {} arguments ({expected}), not {}; add --help for the options",
                command.name,
                command.arguments.len(),
                options.arguments.len()
            );
            return Err(Error::Usage(message));
        }
        Ok(options)
    }

    /// Returns the value of an option, if it was given.
    pub fn value(&self, name: &str) -> Option<&str> {
        self.values.get(name).map(String::as_str)
    }

    /// Returns the value of a required option.
    ///
    /// # Errors
    ///
    /// Returns which option is missing.
    pub fn required(&self, name: &str) -> Result<&str, Error> {
        self.value(name).ok_or_else(|| Error::Usage(format!("--{name} is missing")))
    }

    /// Returns the value of an option as a number, if it was given.
    ///
    /// # Errors
    ///
    /// Returns that the value is not a whole number.
    pub fn number(&self, name: &str) -> Result<Option<u64>, Error> {
        let parse = |value: &str| {
            value
                .parse()
                .map_err(|_| Error::Usage(format!("--{name}: {value:?} is not a whole number")))
        };
        self.value(name).map(parse).transpose()
    }

    /// Creates the client of the instance that the options or the environment name.
    ///
    /// # Errors
    ///
    /// Returns which option is missing or malformed, or why the token file cannot be read.
    pub fn client(&self) -> Result<Client, Error> {
        let instance = self.value("instance").map(str::to_owned);
        let instance = instance.or_else(|| env::var(INSTANCE_ENV).ok()).ok_or_else(|| {
            Error::Usage(format!("name an instance with --instance IP:PORT or {INSTANCE_ENV}"))
        })?;
        let address: net::SocketAddr = instance
            .parse()
            .map_err(|_| Error::Usage(format!("--instance: {instance:?} is not IP:PORT")))?;
        let token = self.token()?;
        if !token.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(Error::Usage("the token may hold only visible ASCII".to_owned()));
        }
        let author = self.value("author").map(str::to_owned);
        let author = author.or_else(|| env::var("USER").ok()).unwrap_or_default();
        if !author.bytes().all(|b| matches!(b, b' '..=b'~')) {
            return Err(Error::Usage("--author may hold only visible ASCII".to_owned()));
        }
        Ok(Client::new(address, &token, &author))
    }

    fn token(&self) -> Result<String, Error> {
        let Some(path) = self.value("token-file") else {
            return env::var(TOKEN_ENV).map_err(|_| {
                let message = format!("pass the operators' token by --token-file or {TOKEN_ENV}");
                Error::Usage(message)
            });
        };
        let token =
            fs::read_to_string(path).map_err(|source| Error::File { path: path.into(), source })?;
        Ok(token.trim().to_owned())
    }
}

fn is_known(command: &Command, name: &str) -> bool {
    ["instance", "token-file", "author"].contains(&name) || command.options.contains(&name)
}
