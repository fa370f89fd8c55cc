//! Estimates of the queue, prefill rate, cache and link of each upstream.

use std::collections;

use crate::block;
use crate::id;
use crate::placement;
use crate::time::Millis;

/// Prefill rate in tokens per second assumed for an upstream that has not reported one.
const DEFAULT_PREFILL_TOKENS_PER_S: f64 = 5_000.0;
/// Link rate in bytes per second assumed before the first transfer.
///
/// The value is high because one that is too low is never corrected: no blocks would be exported,
/// so no import could measure the link. One that is too high costs one aborted import.
const DEFAULT_LINK_BYTES_PER_S: f64 = 10e9;
/// Weight of a new prompt in the moving average of computed tokens per prompt.
const TOKENS_WEIGHT: f64 = 0.1;
/// Retention of own requests after their first token; no load report is older than this.
const SENT_RETENTION: Millis = Millis::from_secs(5);
/// Average number of computed tokens per prompt assumed before the first prompt.
const DEFAULT_MEAN_TOKENS: f64 = 500.0;

/// Load report of an upstream with its time of receipt.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Number of requests without a first token.
    pub queued: usize,
    /// Prefill rate in tokens per second; 0 if unknown.
    pub prefill_tokens_per_s: f64,
    /// Number of blocks in the upstream's prefix cache.
    pub cached_blocks: usize,
    /// Time at which the report was received.
    pub received_at: Millis,
}

/// Estimated state of all upstreams, as seen by one instance.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    /// Blocks that each upstream is estimated to hold.
    pub residency: placement::Residency,
    upstreams: collections::HashMap<id::Upstream, State>,
    mean_tokens: Option<f64>,
}

#[derive(Clone, Debug)]
struct State {
    report: Option<LoadReport>,
    sent: Vec<SentRequest>,
    link: placement::Link,
}

/// A request sent by this instance, retained for [`SENT_RETENTION`] after its first token.
#[derive(Clone, Debug)]
struct SentRequest {
    request: u64,
    tokens: u64,
    sent_at: Millis,
    first_token_at: Option<Millis>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            report: None,
            sent: Vec::new(),
            link: placement::Link::new(DEFAULT_LINK_BYTES_PER_S),
        }
    }
}

impl Estimates {
    /// Records a load report; a changed boot discards the residency of the earlier one.
    pub fn record_report(&mut self, upstream: &id::Upstream, boot: &id::Boot, report: LoadReport) {
        self.residency.set_boot(upstream, boot);
        self.state(upstream).report = Some(report);
    }

    /// Records a request that was sent and the number of tokens that the upstream has to compute.
    pub fn record_sent(&mut self, upstream: &id::Upstream, request: u64, tokens: u64, now: Millis) {
        let mean = self.mean_tokens.unwrap_or(DEFAULT_MEAN_TOKENS);
        self.mean_tokens = Some(mean + TOKENS_WEIGHT * (tokens as f64 - mean));
        let sent = &mut self.state(upstream).sent;
        sent.retain(|sent| sent.first_token_at.is_none_or(|at| now.since(at) < SENT_RETENTION));
        sent.push(SentRequest { request, tokens, sent_at: now, first_token_at: None });
    }

    /// Records the first token of a request, or the end of a request without one.
    pub fn record_first_token(&mut self, upstream: &id::Upstream, request: u64, now: Millis) {
        let sent = self.state(upstream).sent.iter_mut();
        for sent in sent.filter(|sent| sent.request == request && sent.first_token_at.is_none()) {
            sent.first_token_at = Some(now);
        }
    }

    /// Returns the estimate of an upstream's transfer link.
    pub fn link(&mut self, upstream: &id::Upstream) -> &mut placement::Link {
        &mut self.state(upstream).link
    }

    /// Returns the number of own requests at an upstream that have no first token yet.
    pub fn outstanding(&self, upstream: &id::Upstream) -> usize {
        self.upstreams.get(upstream).map_or(0, |state| state.outstanding().count())
    }

    /// Returns the estimates of an upstream for a chain.
    ///
    /// `report_lag` is the age of a load report at receipt.
    pub fn candidate<'a>(
        &self,
        upstream: &'a id::Upstream,
        chain: &[block::Key],
        report_lag: Millis,
    ) -> placement::Candidate<'a> {
        let default = State::default();
        let state = self.upstreams.get(upstream).unwrap_or(&default);
        let rate = state.prefill_rate();
        let mean = self.mean_tokens.unwrap_or(DEFAULT_MEAN_TOKENS);
        placement::Candidate {
            upstream,
            queue_wait: Millis((state.queued_tokens(mean, report_lag) * 1_000.0 / rate) as u64),
            prefill_tokens_per_s: rate,
            cached_blocks: self.residency.prefix_len(upstream, chain),
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
        if rate > 0.0 { rate } else { DEFAULT_PREFILL_TOKENS_PER_S }
    }

    fn outstanding(&self) -> impl Iterator<Item = &SentRequest> {
        self.sent.iter().filter(|sent| sent.first_token_at.is_none())
    }

    /// Returns the estimated number of queued tokens.
    ///
    /// Own requests without a first token are known exactly. Requests of other instances are those
    /// in the report beyond the own requests that were queued when the report was made.
    fn queued_tokens(&self, mean_tokens: f64, report_lag: Millis) -> f64 {
        let own: u64 = self.outstanding().map(|sent| sent.tokens).sum();
        let Some(report) = &self.report else {
            return own as f64;
        };
        let measured_at = report.received_at - report_lag;
        let own_at_report = self.sent.iter().filter(|sent| sent.was_queued(measured_at)).count();
        let others = report.queued.saturating_sub(own_at_report);
        own as f64 + others as f64 * mean_tokens
    }
}

impl SentRequest {
    fn was_queued(&self, at: Millis) -> bool {
        self.sent_at <= at && self.first_token_at.is_none_or(|first_token_at| first_token_at > at)
    }
}
