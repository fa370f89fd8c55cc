//! Tests of prompt placement, and of import and export of KV cache blocks.

use std::collections;

use damaskdrift_core::block::{self, Key};
use damaskdrift_core::id;
use damaskdrift_core::placement::{
    self, AbortReason, BoundedKeySet, CacheEvent, Candidate, Estimates, ExportCandidate,
    ExportQueue, Import, Link, LoadReport, Plan, Prompt, Reason, Residency, SkipReason,
};
use damaskdrift_core::time::Millis;
use proptest::prelude::{Strategy, prop};
use proptest::test_runner::{Config, RngSeed};
use proptest::{prop_assert, prop_assert_eq, proptest};
use rstest::rstest;

const BLOCK_BYTES: u64 = 1_000;

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(20_261_204), failure_persistence: None, ..Config::default() }
}

fn keys(count: usize, salt: u8) -> Vec<Key> {
    (0..count)
        .map(|index| {
            let hash = blake3::hash(&[&[salt], &index.to_le_bytes()[..]].concat());
            Key::new(*hash.as_bytes())
        })
        .collect()
}

fn upstreams(count: usize) -> Vec<id::Upstream> {
    (0..count).map(|n| id::Upstream::new(&format!("e{n}"))).collect()
}

fn prompt(chain: &[Key], stored_blocks: usize) -> Prompt<'_> {
    let tokens = chain.len() * block::BLOCK_TOKENS + 8;
    Prompt { chain, tokens, stored_blocks, block_bytes: BLOCK_BYTES, preferred: None }
}

/// Returns an idle upstream that computes a block in 10 ms and imports one in 2 ms.
fn candidate(upstream: &id::Upstream) -> Candidate<'_> {
    Candidate {
        upstream,
        queue_wait: Millis(0),
        prefill_tokens_per_s: 1_600.0,
        cached_blocks: 0,
        link_queued_bytes: 0,
        link_bytes_per_s: 500_000.0,
    }
}

// Guards against importing blocks that are faster to recompute, and recomputing blocks that are
// faster to import.
#[rstest]
#[case::nothing_stored(0, 0, 0, 0, 500_000.0, 0, Reason::NotStored)]
#[case::all_cached(0, 10, 10, 0, 500_000.0, 0, Reason::Resident)]
#[case::fast_link(0, 0, 10, 0, 500_000.0, 10, Reason::ImportAll)]
#[case::remaining_blocks_only(0, 4, 10, 0, 500_000.0, 6, Reason::ImportAll)]
#[case::slow_link(0, 0, 10, 0, 50_000.0, 0, Reason::LinkSlower)]
#[case::long_link_queue(0, 0, 10, 60_000, 500_000.0, 0, Reason::LinkSlower)]
#[case::short_link_queue(0, 0, 10, 20_000, 500_000.0, 10, Reason::ImportAll)]
#[case::slow_link_short_queue_wait(100, 0, 10, 0, 62_500.0, 6, Reason::ImportPart)]
#[case::slow_link_long_queue_wait(500, 0, 10, 0, 62_500.0, 10, Reason::ImportAll)]
#[case::slower_link_long_queue_wait(500, 0, 10, 0, 50_000.0, 0, Reason::LinkSlower)]
fn import_is_chosen_when_it_is_faster(
    #[case] wait: u64,
    #[case] cached: usize,
    #[case] stored: usize,
    #[case] queued: u64,
    #[case] rate: f64,
    #[case] blocks: usize,
    #[case] reason: Reason,
) {
    let (chain, upstream) = (keys(12, 0), id::Upstream::new("e"));
    let mut candidate = candidate(&upstream);
    candidate.queue_wait = Millis(wait);
    candidate.cached_blocks = cached;
    candidate.link_queued_bytes = queued;
    candidate.link_bytes_per_s = rate;
    let decision = placement::choose(&prompt(&chain, stored), [candidate]).unwrap();
    let (first, imported) = match decision.plan {
        Plan::Recompute => (cached, 0),
        Plan::Import { first, blocks, .. } => (first, blocks),
    };
    assert_eq!((first, imported, decision.reason), (cached, blocks, reason));
}

// Guards against choosing a busy upstream for its cached blocks, and against leaving the preferred
// upstream for a negligible gain.
#[rstest]
#[case::cached_blocks_outweigh_queue(0, 50, "e0")]
#[case::queue_outweighs_cached_blocks(0, 500, "e1")]
#[case::preferred_within_tolerance(5, 0, "e1")]
#[case::preferred_beyond_tolerance(6, 0, "e0")]
fn fastest_upstream_is_chosen(#[case] wait1: u64, #[case] wait0: u64, #[case] chosen: &str) {
    let (chain, upstreams) = (keys(12, 0), upstreams(2));
    let (mut e0, mut e1) = (candidate(&upstreams[0]), candidate(&upstreams[1]));
    e0.queue_wait = Millis(wait0);
    e1.queue_wait = Millis(wait1);
    e0.cached_blocks = if wait1 == 0 { 12 } else { 0 };
    let prompt = Prompt { preferred: Some(&upstreams[1]), ..prompt(&chain, 0) };
    let decision = placement::choose(&prompt, [e0, e1]).unwrap();
    assert_eq!(decision.upstream.as_str(), chosen);
}

// Guards against a decision or a panic when there are no candidates.
#[test]
fn no_candidate_gives_no_decision() {
    assert_eq!(placement::choose(&prompt(&[], 0), []), None);
}

fn any_candidate() -> impl Strategy<Value = (u64, usize, u64, f64, f64)> {
    (0..2_000u64, 0..20usize, 0..200_000u64, 200.0..20_000.0, 1_000.0..2e6)
}

proptest! {
    #![proptest_config(config())]

    // Guards against choosing an upstream or a number of blocks when another is clearly faster.
    #[test]
    fn no_other_plan_is_clearly_faster(
        inputs in prop::collection::vec(any_candidate(), 1..6),
        stored in 0..20usize,
    ) {
        let (chain, upstreams) = (keys(20, 0), upstreams(inputs.len()));
        let prompt = prompt(&chain, stored);
        let candidates: Vec<Candidate<'_>> = inputs.iter().zip(&upstreams).map(|(input, upstream)| {
            let &(wait, cached, queued, prefill, link) = input;
            Candidate {
                upstream,
                queue_wait: Millis(wait),
                prefill_tokens_per_s: prefill,
                cached_blocks: cached,
                link_queued_bytes: queued,
                link_bytes_per_s: link,
            }
        }).collect();
        let decision = placement::choose(&prompt, candidates.iter().copied()).unwrap();
        let secs = candidates.iter().map(|c| min_first_token_secs(&prompt, c));
        let best = secs.fold(f64::MAX, f64::min);
        // Allows 5 ms for the round trips of an import and 1 ms for rounding up.
        prop_assert!(decision.expected.0 as f64 <= best * 1_000.0 + 6.0, "{decision:?}, best {best} s");
    }

    // Guards against moving the prompts of other upstreams when one is removed or added.
    #[test]
    fn only_prompts_of_a_removed_upstream_move(salt in 0..200u8, removed in 0..18usize) {
        let upstreams = upstreams(18);
        let root = keys(1, salt)[0];
        let before = placement::ranked(&root, &upstreams);
        let rest: Vec<&id::Upstream> = upstreams.iter().enumerate()
            .filter(|(n, _)| *n != removed).map(|(_, u)| u).collect();
        let after = placement::ranked(&root, rest);
        let expected: Vec<&id::Upstream> =
            before.into_iter().filter(|u| **u != upstreams[removed]).collect();
        prop_assert_eq!(after, expected);
    }

    // Guards against overloading the preferred upstream of a popular root.
    #[test]
    fn load_stays_within_the_bound(salts in prop::collection::vec(0..4u8, 1..300)) {
        let upstreams = upstreams(6);
        let mut loads = [0.0; 6];
        for (count, salt) in salts.iter().enumerate() {
            let root = keys(1, *salt)[0];
            let current = upstreams.iter().zip(loads.iter().copied());
            let chosen = placement::preferred_upstream(&root, current);
            let index = upstreams.iter().position(|u| Some(u) == chosen).unwrap();
            loads[index] += 1.0;
            let bound = (placement::LOAD_BOUND * (count + 1) as f64 / 6.0).ceil();
            prop_assert!(loads[index] <= bound);
        }
    }

    // Guards against aborting an import on a stalled link later than its maximum duration.
    #[test]
    fn stalled_import_is_aborted_in_time(
        blocks in 1..100usize,
        expected in 0..500u64,
        recompute in 0..2_000u64,
        arrivals in prop::collection::vec((0..400u64, 1..20usize), 0..10),
    ) {
        let mut import = Import::new(blocks, Millis(expected), Millis(recompute), Millis(1_000));
        let (mut now, mut done) = (1_000, 0);
        for (wait, more) in arrivals {
            now += wait;
            done = (done + more).min(blocks - 1);
            import.record_progress(done, Millis(now));
        }
        let limit = recompute.max(expected).max(20);
        prop_assert!(import.deadline().0 <= 1_000 + limit);
        prop_assert!(import.abort_reason(Millis(1_000 + limit)).is_some());
    }
}

fn min_first_token_secs(prompt: &Prompt<'_>, candidate: &Candidate<'_>) -> f64 {
    let max_blocks = prompt.stored_blocks.saturating_sub(candidate.cached_blocks);
    let first_token_secs = |blocks: usize| {
        let bytes = candidate.link_queued_bytes + blocks as u64 * prompt.block_bytes;
        let import = if blocks == 0 { 0.0 } else { bytes as f64 / candidate.link_bytes_per_s };
        let cached_tokens = (candidate.cached_blocks + blocks) * block::BLOCK_TOKENS;
        let pending_tokens = (prompt.tokens - cached_tokens).max(1) as f64;
        let wait = candidate.queue_wait.0 as f64 / 1e3;
        // An import hides half of a queue wait of the same duration.
        wait + import - 0.5 * wait.min(import) + pending_tokens / candidate.prefill_tokens_per_s
    };
    // The tolerance does not apply, because the prompt has no preferred upstream.
    (0..=max_blocks).map(first_token_secs).fold(f64::MAX, f64::min)
}

// Guards against a hash that assigns most roots to a few upstreams.
#[test]
fn roots_are_distributed_evenly() {
    let upstreams = upstreams(18);
    let mut counts = collections::BTreeMap::<&str, usize>::new();
    for index in 0..9_000usize {
        let root = Key::new(*blake3::hash(&index.to_le_bytes()).as_bytes());
        *counts.entry(placement::ranked(&root, &upstreams)[0].as_str()).or_default() += 1;
    }
    assert!(counts.values().all(|count| (400..600).contains(count)), "{counts:?}");
}

// Guards against a root that changes on each turn of a growing conversation.
#[rstest]
#[case(0, None)]
#[case(1, Some(0))]
#[case(3, Some(1))]
#[case(4, Some(3))]
#[case(32, Some(31))]
#[case(500, Some(31))]
fn prompt_root_changes_rarely(#[case] blocks: usize, #[case] depth: Option<usize>) {
    let chain = keys(blocks, 0);
    assert_eq!(placement::prompt_root(&chain), depth.map(|depth| &chain[depth]));
}

// Guards against aborting an import too early, too late or with the wrong reason.
#[rstest]
#[case::as_expected(&[(100, 5)], 110, None)]
#[case::before_minimum_duration(&[], 15, None)]
#[case::no_progress(&[], 400, Some(AbortReason::Stalled))]
#[case::before_stall_timeout(&[], 399, None)]
#[case::stalled_after_progress(&[(100, 5)], 500, Some(AbortReason::Stalled))]
#[case::progress_resets_stall_timeout(&[(240, 5)], 399, None)]
#[case::slower_than_recompute(&[(190, 1)], 250, Some(AbortReason::SlowerThanRecompute))]
#[case::out_of_time(&[(190, 2), (370, 5), (550, 6)], 600, Some(AbortReason::OutOfTime))]
#[case::complete(&[(500, 10)], 700, None)]
fn imports_are_aborted_with_the_right_reason(
    #[case] arrivals: &[(u64, usize)],
    #[case] at: u64,
    #[case] reason: Option<AbortReason>,
) {
    let mut import = Import::new(10, Millis(100), Millis(600), Millis(0));
    for (at, done) in arrivals {
        import.record_progress(*done, Millis(*at));
    }
    assert_eq!(import.abort_reason(Millis(at)), reason);
}

// Guards against counting blocks lost by a restart or an eviction, and blocks that follow a missing
// one.
#[test]
fn residency_follows_events_and_restarts() {
    let (upstream, chain) = (id::Upstream::new("e"), keys(8, 0));
    let mut residency = Residency::default();
    residency.set_boot(&upstream, &id::Boot::new("b1"));
    residency.record_chain(&upstream, &chain[..6]);
    assert_eq!(residency.prefix_len(&upstream, &chain), 6);
    residency.record_event(&upstream, &chain[2], CacheEvent::Evicted);
    assert_eq!(residency.prefix_len(&upstream, &chain), 2);
    residency.record_event(&upstream, &chain[2], CacheEvent::Stored);
    assert_eq!(residency.prefix_len(&upstream, &chain), 6);
    residency.truncate(&upstream, 3);
    assert_eq!(residency.prefix_len(&upstream, &chain), 0);
    residency.record_chain(&upstream, &chain);
    residency.set_boot(&upstream, &id::Boot::new("b1"));
    assert_eq!(residency.prefix_len(&upstream, &chain), 8);
    residency.set_boot(&upstream, &id::Boot::new("b2"));
    assert_eq!(residency.prefix_len(&upstream, &chain), 0);
}

// Guards against a link rate that ignores measurements, or that is never restored after an abort.
#[test]
fn link_estimate_follows_measurements() {
    let mut link = Link::new(1_000_000.0);
    link.start(500_000);
    assert_eq!(link.transfer_time(500_000), Millis(1_000));
    for _ in 0..40 {
        link.finish(0, 100_000, 0, Millis(1_000));
    }
    link.finish(500_000, 0, 0, Millis(1_000));
    assert_eq!(link.queued_bytes(), 0);
    assert!((link.bytes_per_s() - 100_000.0).abs() < 1_000.0);
    link.abort(0, Millis(5_000));
    link.abort(0, Millis(6_000));
    assert!(link.bytes_per_s() < 30_000.0);
    link.refresh(Millis(35_999));
    assert!(link.bytes_per_s() < 30_000.0);
    link.refresh(Millis(36_000));
    assert!((link.bytes_per_s() - 100_000.0).abs() < 1_000.0);
}

// Guards against a queue estimate that omits requests, or that counts own requests twice or after
// their first token. The report shows the state at 1,800 ms; each request takes 500 tokens.
#[rstest]
#[case::idle(0, &[], 0)]
#[case::others(4, &[], 2_000)]
#[case::own_in_the_report(1, &[(100, None)], 500)]
#[case::own_and_others(3, &[(100, None)], 1_500)]
#[case::own_after_the_report(4, &[(1_900, None)], 2_500)]
#[case::own_finished_after_the_report(1, &[(100, Some(1_900))], 0)]
#[case::own_finished_before_the_report(1, &[(100, Some(1_700))], 500)]
fn queue_wait_counts_own_requests_and_others(
    #[case] queued: usize,
    #[case] sent: &[(u64, Option<u64>)],
    #[case] wait: u64,
) {
    let upstream = id::Upstream::new("e");
    let mut estimates = Estimates::default();
    for (request, (at, first_token)) in sent.iter().enumerate() {
        let request = request as u64;
        estimates.record_sent(&upstream, request, 500, Millis(*at));
        if let Some(first_token) = first_token {
            estimates.record_first_token(&upstream, request, Millis(*first_token));
        }
    }
    let report = LoadReport {
        queued,
        prefill_tokens_per_s: 1_000.0,
        cached_blocks: 0,
        received_at: Millis(2_000),
    };
    estimates.record_report(&upstream, &id::Boot::new("b"), report);
    let got = estimates.candidate(&upstream, &[], Millis(200)).queue_wait;
    assert_eq!(got, Millis(wait));
}

// Guards against exporting in the wrong order, and exporting blocks that are already stored or
// slower to import than to recompute.
#[test]
fn exports_follow_priority() {
    let candidate = |return_probability: f64, prefill_secs: f64, bytes: u64| ExportCandidate {
        upstream: id::Upstream::new("e"),
        store: id::Upstream::new("s"),
        blocks: keys(1, 0),
        return_probability,
        prefill_secs,
        bytes,
    };
    let mut exports = ExportQueue::default();
    for probability in [0.2, 0.9, 0.5] {
        exports.push(candidate(probability, 1.0, 1_000));
    }
    exports.push(candidate(0.9, 0.1, 1_000));
    let taken: Vec<f64> =
        std::iter::from_fn(|| exports.pop()).map(|c| c.return_probability).collect();
    assert_eq!(taken, [0.9, 0.5, 0.2, 0.9]);
    assert_eq!(candidate(0.9, 1.0, 1_000).skip_reason(500.0), Some(SkipReason::LinkSlower));
    assert_eq!(candidate(0.9, 1.0, 1_000).skip_reason(5_000.0), None);
    let empty = ExportCandidate { blocks: Vec::new(), ..candidate(0.9, 1.0, 1_000) };
    assert_eq!(empty.skip_reason(5_000.0), Some(SkipReason::AlreadyStored));
}

// Guards against a return probability that ignores the prompts of a workspace, or mixes workspaces.
#[test]
fn return_probability_is_learned_per_workspace() {
    let mut returns = placement::ReturnStats::default();
    let (returning, unique) = (id::Workspace::new("returning"), id::Workspace::new("unique"));
    for _ in 0..98 {
        returns.record(&returning, true);
        returns.record(&unique, false);
    }
    assert!(returns.probability(&returning) > 0.95);
    assert!(returns.probability(&unique) < 0.05);
    assert_eq!(returns.probability(&id::Workspace::new("new")), 0.5);
}

// Guards against a key set that exceeds its limit or retains removed keys.
#[test]
fn key_set_is_bounded() {
    let chain = keys(10, 0);
    let mut set = BoundedKeySet::default();
    set.insert(&chain, 100);
    assert_eq!(set.prefix_len(&chain), 10);
    set.remove(&chain[4]);
    assert_eq!(set.prefix_len(&chain), 4);
    set.insert(&keys(5, 1), 5);
    assert_eq!(set.prefix_len(&chain), 0);
    assert_eq!(set.prefix_len(&keys(5, 1)), 5);
}
