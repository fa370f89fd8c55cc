//! Tests of placement: where a prompt runs, what is imported and what is exported.

use std::collections;

use damaskdrift_core::block::{self, Key};
use damaskdrift_core::id;
use damaskdrift_core::placement::{
    self, Candidate, Change, Estimates, Exports, GiveUp, Import, Kept, Link, Offer, Plan, Prompt,
    Reason, Report, Residency, Skip,
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
    Prompt { chain, tokens, stored_blocks, block_bytes: BLOCK_BYTES, home: None }
}

/// An upstream that computes a block in 10 ms and imports one in 2 ms.
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

// Guards against an import that is slower than computing, and a computation that an import beats.
#[rstest]
#[case::nothing_kept(0, 0, 0, 0, 500_000.0, 0, Reason::NotStored)]
#[case::all_held(0, 10, 10, 0, 500_000.0, 0, Reason::Resident)]
#[case::fast_link(0, 0, 10, 0, 500_000.0, 10, Reason::ImportAll)]
#[case::rest_only(0, 4, 10, 0, 500_000.0, 6, Reason::ImportAll)]
#[case::slow_link(0, 0, 10, 0, 50_000.0, 0, Reason::LinkSlower)]
#[case::long_link_queue(0, 0, 10, 60_000, 500_000.0, 0, Reason::LinkSlower)]
#[case::short_link_queue(0, 0, 10, 20_000, 500_000.0, 10, Reason::ImportAll)]
#[case::slow_link_while_waiting(100, 0, 10, 0, 62_500.0, 6, Reason::ImportPart)]
#[case::slow_link_long_wait(500, 0, 10, 0, 62_500.0, 10, Reason::ImportAll)]
#[case::slower_link_long_wait(500, 0, 10, 0, 50_000.0, 0, Reason::LinkSlower)]
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

// Guards against a busy upstream that is chosen for its cache, and one that is left for nothing.
#[rstest]
#[case::cache_wins(0, 50, "e0")]
#[case::queue_wins(0, 500, "e1")]
#[case::home_wins_when_near(5, 0, "e1")]
#[case::home_loses_when_far(6, 0, "e0")]
fn cheapest_upstream_is_chosen(#[case] wait1: u64, #[case] wait0: u64, #[case] chosen: &str) {
    let (chain, upstreams) = (keys(12, 0), upstreams(2));
    let (mut e0, mut e1) = (candidate(&upstreams[0]), candidate(&upstreams[1]));
    e0.queue_wait = Millis(wait0);
    e1.queue_wait = Millis(wait1);
    e0.cached_blocks = if wait1 == 0 { 12 } else { 0 };
    let prompt = Prompt { home: Some(&upstreams[1]), ..prompt(&chain, 0) };
    let decision = placement::choose(&prompt, [e0, e1]).unwrap();
    assert_eq!(decision.upstream.as_str(), chosen);
}

// Guards against a decision where no upstream may be used.
#[test]
fn no_candidate_gives_no_decision() {
    assert_eq!(placement::choose(&prompt(&[], 0), []), None);
}

fn any_candidate() -> impl Strategy<Value = (u64, usize, u64, f64, f64)> {
    (0..2_000u64, 0..20usize, 0..200_000u64, 200.0..20_000.0, 1_000.0..2e6)
}

proptest! {
    #![proptest_config(config())]

    // Guards against a plan that some other number of blocks or some other upstream clearly beats.
    #[test]
    fn no_other_plan_is_clearly_better(
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
        let best = candidates.iter().map(|c| best_cost(&prompt, c)).fold(f64::MAX, f64::min);
        // 5 ms for the import's round trips and 1 ms for rounding up.
        prop_assert!(decision.expected.0 as f64 <= best * 1_000.0 + 6.0, "{decision:?}, best {best} s");
    }

    // Guards against an upstream that leaves or joins and moves prompts of the others.
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

    // Guards against a popular root that overloads its preferred upstream.
    #[test]
    fn load_stays_within_the_bound(salts in prop::collection::vec(0..4u8, 1..300)) {
        let upstreams = upstreams(6);
        let mut loads = [0.0; 6];
        for (count, salt) in salts.iter().enumerate() {
            let root = keys(1, *salt)[0];
            let chosen = placement::bounded(&root, upstreams.iter().zip(loads.iter().copied()));
            let index = upstreams.iter().position(|u| Some(u) == chosen).unwrap();
            loads[index] += 1.0;
            let bound = (placement::LOAD_BOUND * (count + 1) as f64 / 6.0).ceil();
            prop_assert!(loads[index] <= bound);
        }
    }

    // Guards against an import on a stalled link that is given up too late to recompute.
    #[test]
    fn a_stalled_import_ends_in_time(
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
            import.note_done(done, Millis(now));
        }
        let limit = recompute.max(expected).max(20);
        prop_assert!(import.give_up_at().0 <= 1_000 + limit);
        prop_assert!(import.give_up(Millis(1_000 + limit)).is_some());
    }
}

fn best_cost(prompt: &Prompt<'_>, candidate: &Candidate<'_>) -> f64 {
    let most = prompt.stored_blocks.saturating_sub(candidate.cached_blocks);
    let cost = |blocks: usize| {
        let bytes = candidate.link_queued_bytes + blocks as u64 * prompt.block_bytes;
        let import = if blocks == 0 { 0.0 } else { bytes as f64 / candidate.link_bytes_per_s };
        let held = (candidate.cached_blocks + blocks) * block::BLOCK_TOKENS;
        let missing = (prompt.tokens - held).max(1) as f64;
        let wait = candidate.queue_wait.0 as f64 / 1e3;
        // Half of the queue wait passes during an import of the same length.
        wait + import - 0.5 * wait.min(import) + missing / candidate.prefill_tokens_per_s
    };
    // The home tolerance does not apply, because the prompt has no home.
    (0..=most).map(cost).fold(f64::MAX, f64::min)
}

// Guards against roots that put most prompts on few upstreams.
#[test]
fn roots_spread_evenly() {
    let upstreams = upstreams(18);
    let mut counts = collections::BTreeMap::<&str, usize>::new();
    for index in 0..9_000usize {
        let root = Key::new(*blake3::hash(&index.to_le_bytes()).as_bytes());
        *counts.entry(placement::ranked(&root, &upstreams)[0].as_str()).or_default() += 1;
    }
    assert!(counts.values().all(|count| (400..600).contains(count)), "{counts:?}");
}

// Guards against a prompt that changes its root whenever it returns a little longer.
#[rstest]
#[case(0, None)]
#[case(1, Some(0))]
#[case(3, Some(1))]
#[case(4, Some(3))]
#[case(32, Some(31))]
#[case(500, Some(31))]
fn prompt_root_changes_seldom(#[case] blocks: usize, #[case] depth: Option<usize>) {
    let chain = keys(blocks, 0);
    assert_eq!(placement::prompt_root(&chain), depth.map(|depth| &chain[depth]));
}

// Guards against imports that are given up too early or for another reason than the real one.
#[rstest]
#[case::as_expected(&[(100, 5)], 110, None)]
#[case::too_early(&[], 15, None)]
#[case::no_progress(&[], 400, Some(GiveUp::Stalled))]
#[case::short_pause(&[], 399, None)]
#[case::stopped(&[(100, 5)], 500, Some(GiveUp::Stalled))]
#[case::paused(&[(240, 5)], 399, None)]
#[case::crawling(&[(190, 1)], 250, Some(GiveUp::SlowerThanRecompute))]
#[case::too_long(&[(190, 2), (370, 5), (550, 6)], 600, Some(GiveUp::OutOfTime))]
#[case::complete(&[(500, 10)], 700, None)]
fn imports_are_given_up_with_a_reason(
    #[case] arrivals: &[(u64, usize)],
    #[case] at: u64,
    #[case] reason: Option<GiveUp>,
) {
    let mut import = Import::new(10, Millis(100), Millis(600), Millis(0));
    for (at, done) in arrivals {
        import.note_done(*done, Millis(*at));
    }
    assert_eq!(import.give_up(Millis(at)), reason);
}

// Guards against residency that survives a restart or eviction, or that has holes.
#[test]
fn residency_follows_events_and_restarts() {
    let (upstream, chain) = (id::Upstream::new("e"), keys(8, 0));
    let mut residency = Residency::default();
    residency.set_boot(&upstream, &id::Boot::new("b1"));
    residency.note_chain(&upstream, &chain[..6]);
    assert_eq!(residency.prefix(&upstream, &chain), 6);
    residency.note_event(&upstream, &chain[2], Change::Evicted);
    assert_eq!(residency.prefix(&upstream, &chain), 2);
    residency.note_event(&upstream, &chain[2], Change::Stored);
    assert_eq!(residency.prefix(&upstream, &chain), 6);
    residency.limit(&upstream, 3);
    assert_eq!(residency.prefix(&upstream, &chain), 0);
    residency.note_chain(&upstream, &chain);
    residency.set_boot(&upstream, &id::Boot::new("b1"));
    assert_eq!(residency.prefix(&upstream, &chain), 8);
    residency.set_boot(&upstream, &id::Boot::new("b2"));
    assert_eq!(residency.prefix(&upstream, &chain), 0);
}

// Guards against a link estimate that ignores what it measured, or never trusts a link again.
#[test]
fn link_estimate_follows_measurements() {
    let mut link = Link::new(1_000_000.0);
    link.start(500_000);
    assert_eq!(link.time_for(500_000), Millis(1_000));
    for _ in 0..40 {
        link.finish(0, 100_000, 0, Millis(1_000));
    }
    link.finish(500_000, 0, 0, Millis(1_000));
    assert_eq!(link.queued_bytes(), 0);
    assert!((link.bytes_per_s() - 100_000.0).abs() < 1_000.0);
    link.give_up(0, Millis(5_000));
    link.give_up(0, Millis(6_000));
    assert!(link.bytes_per_s() < 30_000.0);
    link.refresh(Millis(35_999));
    assert!(link.bytes_per_s() < 30_000.0);
    link.refresh(Millis(36_000));
    assert!((link.bytes_per_s() - 100_000.0).abs() < 1_000.0);
}

// Guards against a queue estimate that misses requests, or that counts own ones twice or after their
// first token. The report shows the state at 1,800 ms; each request takes 500 tokens.
#[rstest]
#[case::idle(0, &[], 0)]
#[case::others(4, &[], 2_000)]
#[case::own_in_the_report(1, &[(100, None)], 500)]
#[case::own_and_others(3, &[(100, None)], 1_500)]
#[case::own_after_the_report(4, &[(1_900, None)], 2_500)]
#[case::own_ended_since(1, &[(100, Some(1_900))], 0)]
#[case::own_ended_before(1, &[(100, Some(1_700))], 500)]
fn queue_wait_counts_own_requests_and_others(
    #[case] queued: usize,
    #[case] sent: &[(u64, Option<u64>)],
    #[case] wait: u64,
) {
    let upstream = id::Upstream::new("e");
    let mut estimates = Estimates::default();
    for (request, (at, first_token)) in sent.iter().enumerate() {
        let request = request as u64;
        estimates.note_sent(&upstream, request, 500, Millis(*at));
        if let Some(first_token) = first_token {
            estimates.note_first_token(&upstream, request, Millis(*first_token));
        }
    }
    let report =
        Report { queued, prefill_tokens_per_s: 1_000.0, cached_blocks: 0, at: Millis(2_000) };
    estimates.note_report(&upstream, &id::Boot::new("b"), report);
    let got = estimates.candidate(&upstream, &[], Millis(200)).queue_wait;
    assert_eq!(got, Millis(wait));
}

// Guards against exports of what never returns, is kept already or is slower to import.
#[test]
fn exports_follow_priority() {
    let offer = |return_chance: f64, prefill_secs: f64, bytes: u64| Offer {
        upstream: id::Upstream::new("e"),
        store: id::Upstream::new("s"),
        blocks: keys(1, 0),
        return_chance,
        prefill_secs,
        bytes,
    };
    let mut exports = Exports::default();
    for chance in [0.2, 0.9, 0.5] {
        exports.add(offer(chance, 1.0, 1_000));
    }
    exports.add(offer(0.9, 0.1, 1_000));
    let taken: Vec<f64> = std::iter::from_fn(|| exports.take()).map(|o| o.return_chance).collect();
    assert_eq!(taken, [0.9, 0.5, 0.2, 0.9]);
    assert_eq!(offer(0.9, 1.0, 1_000).skip(500.0), Some(Skip::LinkSlower));
    assert_eq!(offer(0.9, 1.0, 1_000).skip(5_000.0), None);
    let empty = Offer { blocks: Vec::new(), ..offer(0.9, 1.0, 1_000) };
    assert_eq!(empty.skip(5_000.0), Some(Skip::Kept));
}

// Guards against a chance of return that does not follow what a workspace does.
#[test]
fn return_chance_is_learned_by_workspace() {
    let mut returns = placement::Returns::default();
    let (often, never) = (id::Workspace::new("often"), id::Workspace::new("never"));
    for _ in 0..98 {
        returns.note(&often, true);
        returns.note(&never, false);
    }
    assert!(returns.chance(&often) > 0.95);
    assert!(returns.chance(&never) < 0.05);
    assert_eq!(returns.chance(&id::Workspace::new("new")), 0.5);
}

// Guards against kept blocks that are remembered without bound or after they are gone.
#[test]
fn kept_blocks_are_bounded() {
    let chain = keys(10, 0);
    let mut kept = Kept::default();
    kept.note(&chain, 100);
    assert_eq!(kept.prefix(&chain), 10);
    kept.forget(&chain[4]);
    assert_eq!(kept.prefix(&chain), 4);
    kept.note(&keys(5, 1), 5);
    assert_eq!(kept.prefix(&chain), 0);
    assert_eq!(kept.prefix(&keys(5, 1)), 5);
}
