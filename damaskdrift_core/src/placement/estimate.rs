//! What an instance knows of the upstreams that may run a prompt.

use std::collections;

use crate::block;
use crate::id;
use crate::placement;
use crate::time::Millis;

/// Prefill rate assumed of an upstream that has not reported yet, in tokens a second.
const DEFAULT_PREFILL_RATE: f64 = 5_000.0;
/// Link rate assumed before the first transfer, in bytes a second.
///
/// The guess is high, because a low one is never corrected: nothing would be exported, and nothing
/// could be imported and measured. One that is too high costs an import that is given up.
const DEFAULT_LINK_RATE: f64 = 10e9;
/// Weight of a new prompt in the average number of computed tokens.
const TOKENS_WEIGHT: f64 = 0.1;
/// Time for which own requests are remembered after their first token; no report is older.
const SENT_MEMORY: Millis = Millis::from_secs(5);
/// Computed tokens of a prompt assumed before the first.
const DEFAULT_TOKENS: f64 = 500.0;

/// What a load report says, with the time at which it was received.
#[derive(Clone, Debug)]
pub struct Report {
    /// Requests that wait for their first token.
    pub queued: usize,
    /// Prompt tokens computed a second.
    pub prefill_tokens_per_s: f64,
    /// Blocks in the prefix cache.
    pub cached_blocks: usize,
    /// When the report was received.
    pub at: Millis,
}

/// What an instance knows of the upstreams that may run a prompt.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    /// Which blocks each upstream seems to hold.
    pub residency: placement::Residency,
    upstreams: collections::HashMap<id::Upstream, State>,
    mean_tokens: Option<f64>,
}

#[derive(Clone, Debug)]
struct State {
    report: Option<Report>,
    sent: Vec<Sent>,
    link: placement::Link,
}

/// An own request, remembered for [`SENT_MEMORY`] after its first token.
#[derive(Clone, Debug)]
struct Sent {
    request: u64,
    tokens: u64,
    at: Millis,
    first_token: Option<Millis>,
}

impl Default for State {
    fn default() -> Self {
        Self { report: None, sent: Vec::new(), link: placement::Link::new(DEFAULT_LINK_RATE) }
    }
}

impl Estimates {
    /// Notes a load report.
    pub fn note_report(&mut self, upstream: &id::Upstream, boot: &id::Boot, report: Report) {
        self.residency.set_boot(upstream, boot);
        self.state(upstream).report = Some(report);
    }

    /// Notes a request that was sent and the tokens that the upstream has to compute.
    pub fn note_sent(&mut self, upstream: &id::Upstream, request: u64, tokens: u64, now: Millis) {
        let mean = self.mean_tokens.unwrap_or(DEFAULT_TOKENS);
        self.mean_tokens = Some(mean + TOKENS_WEIGHT * (tokens as f64 - mean));
        let sent = &mut self.state(upstream).sent;
        sent.retain(|sent| sent.first_token.is_none_or(|at| now.since(at) < SENT_MEMORY));
        sent.push(Sent { request, tokens, at: now, first_token: None });
    }

    /// Notes that the first token of a request came, or that the request ended without one.
    pub fn note_first_token(&mut self, upstream: &id::Upstream, request: u64, now: Millis) {
        let sent = self.state(upstream).sent.iter_mut();
        for sent in sent.filter(|sent| sent.request == request && sent.first_token.is_none()) {
            sent.first_token = Some(now);
        }
    }

    /// Returns the transfer link of an upstream.
    pub fn link(&mut self, upstream: &id::Upstream) -> &mut placement::Link {
        &mut self.state(upstream).link
    }

    /// Returns own requests without a first token at an upstream.
    pub fn outstanding(&self, upstream: &id::Upstream) -> usize {
        self.upstreams.get(upstream).map_or(0, |state| state.outstanding().count())
    }

    /// Returns what is estimated of an upstream for a chain.
    pub fn candidate<'a>(
        &self,
        upstream: &'a id::Upstream,
        chain: &[block::Key],
        report_lag: Millis,
    ) -> placement::Candidate<'a> {
        let fallback = State::default();
        let state = self.upstreams.get(upstream).unwrap_or(&fallback);
        let rate = state.prefill_rate();
        let mean = self.mean_tokens.unwrap_or(DEFAULT_TOKENS);
        placement::Candidate {
            upstream,
            queue_wait: Millis((state.queued_tokens(mean, report_lag) * 1_000.0 / rate) as u64),
            prefill_tokens_per_s: rate,
            cached_blocks: self.residency.prefix(upstream, chain),
            link_queued_bytes: state.link.queued_bytes(),
            link_bytes_per_s: state.link.bytes_per_s(),
        }
    }

    fn state(&mut self, upstream: &id::Upstream) -> &mut State {
        self.upstreams.entry(upstream.clone()).or_default()
    }
}

impl State {
    fn prefill_rate(&self) -> f64 {
        let rate = self.report.as_ref().map_or(0.0, |report| report.prefill_tokens_per_s);
        if rate > 0.0 { rate } else { DEFAULT_PREFILL_RATE }
    }

    fn outstanding(&self) -> impl Iterator<Item = &Sent> {
        self.sent.iter().filter(|sent| sent.first_token.is_none())
    }

    /// Returns own requests without a first token, which are known exactly, and those that the
    /// report shows beyond own ones of its time.
    fn queued_tokens(&self, mean_tokens: f64, report_lag: Millis) -> f64 {
        let own: u64 = self.outstanding().map(|sent| sent.tokens).sum();
        let Some(report) = &self.report else {
            return own as f64;
        };
        let seen_at = report.at - report_lag;
        let own_then = self.sent.iter().filter(|sent| sent.was_queued(seen_at)).count();
        let others = report.queued.saturating_sub(own_then);
        own as f64 + others as f64 * mean_tokens
    }
}

impl Sent {
    fn was_queued(&self, at: Millis) -> bool {
        self.at <= at && self.first_token.is_none_or(|first_token| first_token > at)
    }
}
