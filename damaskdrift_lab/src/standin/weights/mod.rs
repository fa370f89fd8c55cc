//! Stand-in for the store of model weights.

use std::convert;
use std::net;
use std::process;
use std::sync;

use bytes::Bytes;
use futures_util::{Stream, stream};
use warp::Filter as _;

use crate::error::Error;
use crate::server;
use crate::standin::flag;
use crate::standin::link;

const HELP: &str = "\
Run a stand-in for the weight store

Usage: damaskdrift_lab standin weights --listen IP:PORT

Options:
  --bytes N        Size of the weights of each version [16777216]
  --bytes-per-s F  Rate that all transfers share; 0 is unlimited [50000000]
";

/// Runs the stand-in until it is killed.
///
/// # Errors
///
/// Returns an error when a flag is invalid or the listener cannot be opened.
pub async fn run(mut args: lexopt::Parser) -> Result<process::ExitCode, Error> {
    let mut address: Option<net::SocketAddr> = None;
    let (mut bytes, mut bytes_per_s) = (16 << 20, 50e6);
    while let Some(arg) = args.next()? {
        match arg {
            lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => {
                print!("{HELP}");
                return Ok(process::ExitCode::SUCCESS);
            }
            lexopt::Arg::Long("listen") => address = Some(flag::value(&mut args)?),
            lexopt::Arg::Long("bytes") => bytes = flag::value(&mut args)?,
            lexopt::Arg::Long("bytes-per-s") => bytes_per_s = flag::value(&mut args)?,
            other => return Err(other.unexpected().into()),
        }
    }
    let address =
        address.ok_or_else(|| Error::Usage("weights needs --listen IP:PORT".to_owned()))?;
    let link = sync::Arc::new(link::Link::new(bytes_per_s));
    let routes = warp::path!("v1" / "weights" / String / String)
        .and(warp::get())
        .map(move |_model, _version| warp::reply::stream(weight_stream(link.clone(), bytes)));
    server::run(address, routes).await?;
    Ok(process::ExitCode::SUCCESS)
}

/// Streams zeros in place of weights at the rate of the shared link.
fn weight_stream(
    link: sync::Arc<link::Link>,
    bytes: usize,
) -> impl Stream<Item = Result<Bytes, convert::Infallible>> + Send + Sync + 'static {
    stream::unfold((link, bytes), |(link, remaining)| async move {
        if remaining == 0 {
            return None;
        }
        let len = remaining.min(link::CHUNK_BYTES);
        link.transfer(len).await;
        Some((Ok(Bytes::from(vec![0; len])), (link, remaining - len)))
    })
}
