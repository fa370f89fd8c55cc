//! Tests of the keys and the lifecycle of KV cache blocks: no request uses a freed or partly
//! written block (invariant 1), one of another workspace (invariant 2) or one of another weight
//! version (invariant 3).

use std::collections;

use damaskdrift_core::block::{self, Block, IntegrityError, Key, Pinned, Sealed, Writing};
use damaskdrift_core::time::Millis;
use damaskdrift_core::{fleet, id};
use proptest::prelude::{Strategy, any, prop};
use proptest::strategy::ValueTree as _;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use rstest::rstest;

const CASES: usize = 3_000;
const SEED: u64 = 20_261_204;
const TTL: Millis = Millis(200);

/// Returns how many of a fixed sequence of inputs violate a property.
fn violations<T: std::fmt::Debug>(
    strategy: impl Strategy<Value = T>,
    mut is_violated: impl FnMut(&T) -> bool,
) -> usize {
    let config = Config { rng_seed: RngSeed::Fixed(SEED), ..Config::default() };
    let mut runner = TestRunner::new(config);
    let inputs =
        (0..CASES).map(|_| strategy.new_tree(&mut runner).expect("no input is rejected").current());
    inputs.filter(|input| is_violated(input)).count()
}

/// Action of a cache store, a writer or a reader.
#[derive(Clone, Debug)]
enum Step {
    BeginWrite(usize),
    WriteHalf(usize),
    Seal(usize),
    Free(usize),
    Reuse(usize),
    FindAndPin(usize),
    ReadHalf,
    Use,
    Wait(u64),
}

/// Protection that a reader omits.
#[derive(Clone, Copy, PartialEq)]
enum Without {
    Nothing,
    Verification,
    Manifest,
}

/// Memory of a cache store with fewer slots than keys, so that slots are reused.
#[derive(Default)]
struct Memory {
    slots: [[u8; 8]; 2],
    owner: [Option<usize>; 2],
    written: [usize; 2],
    manifests: collections::HashMap<usize, block::Manifest>,
    writers: collections::HashMap<usize, Block<Writing>>,
    generation: u64,
    now: Millis,
}

struct Reader {
    key: usize,
    slot: usize,
    pin: Option<Block<Pinned>>,
    data: Vec<u8>,
}

fn key(index: usize) -> Key {
    Key::new([index as u8 + 1; 32])
}

fn contents(index: usize) -> [u8; 8] {
    let base = index as u8 * 10;
    std::array::from_fn(|offset| base + offset as u8 + 1)
}

impl Memory {
    fn slot(&self, index: usize) -> Option<usize> {
        self.owner.iter().position(|owner| *owner == Some(index))
    }

    fn begin_write(&mut self, index: usize) {
        if self.slot(index).is_some() {
            return;
        }
        let Some(slot) = self.owner.iter().position(Option::is_none) else {
            return;
        };
        self.owner[slot] = Some(index);
        self.written[slot] = 0;
        self.generation += 1;
        self.writers.insert(index, Block::new(key(index), self.generation));
    }

    fn write_half(&mut self, index: usize) {
        let (Some(slot), Some(writer)) = (self.slot(index), self.writers.get_mut(&index)) else {
            return;
        };
        let from = self.written[slot];
        if from == 8 {
            return;
        }
        let half = &contents(index)[from..from + 4];
        self.slots[slot][from..from + 4].copy_from_slice(half);
        self.written[slot] += 4;
        writer.append(half);
    }

    fn seal(&mut self, index: usize) {
        if self.slot(index).is_none_or(|slot| self.written[slot] < 8) {
            return;
        }
        if let Some(writer) = self.writers.remove(&index) {
            self.manifests.insert(index, writer.seal().manifest().clone());
        }
    }

    /// Frees a block even if it is pinned, as a restarting cache store does.
    fn free(&mut self, index: usize) {
        if let Some(slot) = self.slot(index) {
            self.owner[slot] = None;
            self.writers.remove(&index);
            self.manifests.remove(&index);
        }
    }

    fn find(&self, index: usize, without: Without) -> Option<Reader> {
        let slot = self.slot(index)?;
        let pin = self.manifests.get(&index).map(|manifest| {
            let sealed = Block::<Sealed>::with_manifest(key(index), manifest.clone());
            sealed.pin(self.now, TTL)
        });
        if pin.is_none() && without != Without::Manifest {
            return None;
        }
        Some(Reader { key: index, slot, pin, data: Vec::new() })
    }

    fn read_half(&self, reader: &mut Reader) {
        let from = reader.data.len();
        if from < 8 {
            reader.data.extend_from_slice(&self.slots[reader.slot][from..from + 4]);
        }
    }

    /// Returns whether the reader used data that does not belong to the block.
    fn uses_wrong_data(&self, reader: &Reader, without: Without) -> bool {
        let used = match (&reader.pin, without) {
            (Some(pin), Without::Nothing) => pin.verify(&reader.data, self.now).is_ok(),
            (_, Without::Nothing) => false,
            (_, Without::Verification | Without::Manifest) => reader.data.len() == 8,
        };
        used && reader.data != contents(reader.key)
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (0..14usize, 0..3usize, 0..60u64).prop_map(|(kind, index, wait)| match kind {
        0..=1 => Step::BeginWrite(index),
        2..=4 => Step::WriteHalf(index),
        5..=6 => Step::Seal(index),
        7 => Step::Free(index),
        8 => Step::Reuse(index),
        9 => Step::FindAndPin(index),
        10..=11 => Step::ReadHalf,
        12 => Step::Use,
        _ => Step::Wait(wait),
    });
    prop::collection::vec(step, 40..160)
}

fn reads_wrong_data(steps: &[Step], without: Without) -> bool {
    let mut memory = Memory::default();
    let mut reader = None;
    for step in steps {
        match step {
            Step::BeginWrite(index) => memory.begin_write(*index),
            Step::WriteHalf(index) => memory.write_half(*index),
            Step::Seal(index) => memory.seal(*index),
            Step::Free(index) => memory.free(*index),
            Step::Reuse(index) => {
                memory.free(*index);
                memory.begin_write((index + 1) % 3);
                memory.write_half((index + 1) % 3);
            }
            Step::FindAndPin(index) => reader = reader.or_else(|| memory.find(*index, without)),
            Step::Wait(wait) => memory.now = memory.now + Millis(*wait),
            Step::ReadHalf => {
                if let Some(reader) = &mut reader {
                    memory.read_half(reader);
                }
            }
            Step::Use => {
                if reader.take().is_some_and(|reader| memory.uses_wrong_data(&reader, without)) {
                    return true;
                }
            }
        }
    }
    false
}

// Guards against using data of a freed or partly written block (invariant 1). The cases that omit a
// protection show that the interleavings reach the fault.
#[rstest]
#[case::protected(Without::Nothing, false)]
#[case::without_verification(Without::Verification, true)]
#[case::without_manifest(Without::Manifest, true)]
fn no_freed_or_partly_written_block_is_read(#[case] without: Without, #[case] is_violated: bool) {
    let count = violations(steps(), |steps| reads_wrong_data(steps, without));
    assert_eq!(count > 0, is_violated, "{count} of {CASES} interleavings read wrong data");
}

// Guards against using data after its pin expired, or data that does not match its manifest.
#[rstest]
#[case::intact(b"12345678", 0, Ok(()))]
#[case::before_the_margin(b"12345678", 149, Ok(()))]
#[case::expired(b"12345678", 150, Err(IntegrityError::PinExpired))]
#[case::truncated(b"1234567", 0, Err(IntegrityError::Length))]
#[case::corrupted(b"1234567x", 0, Err(IntegrityError::Checksum))]
fn invalid_data_is_rejected(
    #[case] data: &[u8],
    #[case] at: u64,
    #[case] expected: Result<(), IntegrityError>,
) {
    let mut writing = Block::new(key(0), 7);
    writing.append(b"1234");
    writing.append(b"5678");
    let pinned = writing.seal().pin(Millis(0), TTL);
    assert_eq!(pinned.generation(), 7);
    assert_eq!(pinned.verify(data, Millis(at)).map(|_| ()), expected);
}

/// Event in a fleet of two engines and a cache store.
#[derive(Clone, Debug)]
enum Event {
    Send { workspace: usize, prompt: usize, engine: usize },
    Finish(usize),
    Swap { engine: usize, version: usize },
    Export(usize),
    Import(usize),
}

/// Fault in the derivation of block keys.
#[derive(Clone, Copy, PartialEq)]
enum KeyFault {
    None,
    WorkspaceOmitted,
    SenderVersion,
    LengthsOmitted,
}

/// Workspace, weight version and prompt prefix for which a block was computed.
#[derive(Clone, Debug, PartialEq)]
struct Origin {
    workspace: usize,
    version: usize,
    prefix: String,
}

#[derive(Default)]
struct Engine {
    version: usize,
    /// Version known to the sender of requests, which lags behind during a version swap.
    known_version: usize,
    cache: collections::HashMap<Key, Origin>,
}

const WORKSPACES: [&str; 3] = ["mill", "mil", "notices"];
const VERSIONS: [&str; 2] = ["v1", "v2"];

/// Returns one of three prompts; the first two have the same text once white space is removed.
fn prompt(index: usize) -> String {
    let word = ["ab c", "a bc", "x y"][index % 3];
    vec![word; 24].join(" ")
}

fn origins(workspace: usize, version: usize, prompt: &str, keys: &[Key]) -> Vec<(Key, Origin)> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let origin = |(index, key): (usize, &Key)| {
        let prefix = words[..(index + 1) * block::BLOCK_TOKENS].join(" ");
        (*key, Origin { workspace, version, prefix })
    };
    keys.iter().enumerate().map(origin).collect()
}

fn chain(
    fault: KeyFault,
    workspace: usize,
    version: usize,
    known_version: usize,
    prompt: &str,
) -> Vec<Key> {
    let secret = fleet::Secret::new("5ec7e7");
    let workspace = if fault == KeyFault::WorkspaceOmitted { 0 } else { workspace };
    let version = if fault == KeyFault::SenderVersion { known_version } else { version };
    let workspace = id::Workspace::new(WORKSPACES[workspace]);
    let root = block::root(&secret, &workspace, &id::Model::new("m"));
    if fault == KeyFault::LengthsOmitted {
        return unframed(&root, prompt);
    }
    block::chain(&root, &id::Version::new(VERSIONS[version]), prompt)
}

/// Derives keys from the words without their lengths and without the version.
fn unframed(root: &Key, prompt: &str) -> Vec<Key> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let full = words.len() / block::BLOCK_TOKENS;
    let text = |block: usize| words[..block * block::BLOCK_TOKENS].concat();
    let hash = |block| blake3::keyed_hash(root.as_bytes(), text(block).as_bytes());
    (1..=full).map(|block| Key::new(*hash(block).as_bytes())).collect()
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let numbers = (0..9usize, 0..3usize, 0..3usize, any::<bool>());
    let event = numbers.prop_map(|(kind, workspace, prompt, second)| {
        let engine = usize::from(second);
        match kind {
            0..=3 => Event::Send { workspace, prompt, engine },
            4..=5 => Event::Finish(workspace),
            6 => Event::Swap { engine, version: prompt % 2 },
            7 => Event::Export(engine),
            _ => Event::Import(engine),
        }
    });
    prop::collection::vec(event, 10..40)
}

fn uses_wrong_block(events: &[Event], fault: KeyFault) -> bool {
    let mut engines = [Engine::default(), Engine::default()];
    let mut store = collections::HashMap::new();
    let mut runs: Vec<(usize, Vec<(Key, Origin)>)> = Vec::new();
    for event in events {
        match event {
            Event::Send { workspace, prompt: index, engine: e } => {
                let (engine, text) = (&mut engines[*e], prompt(*index));
                let keys = chain(fault, *workspace, engine.version, engine.known_version, &text);
                let own = origins(*workspace, engine.version, &text, &keys);
                let cached = own.iter().map_while(|(key, own)| Some((engine.cache.get(key)?, own)));
                if cached.into_iter().any(|(found, own)| found != own) {
                    return true;
                }
                engine.known_version = engine.version;
                runs.push((*e, own));
            }
            Event::Finish(index) => {
                if *index < runs.len() {
                    let (engine, blocks) = runs.remove(*index);
                    engines[engine].cache.extend(blocks);
                }
            }
            Event::Swap { engine, version } => {
                engines[*engine].version = *version;
                engines[*engine].cache.clear();
            }
            Event::Export(engine) => store.extend(engines[*engine].cache.clone()),
            Event::Import(engine) => engines[*engine].cache.extend(store.clone()),
        }
    }
    false
}

// Guards against using blocks of another workspace (invariant 2) or of another weight version
// (invariant 3). The cases with a fault in the key derivation show that the interleavings reach the
// fault.
#[rstest]
#[case::correct(KeyFault::None, false)]
#[case::without_workspace(KeyFault::WorkspaceOmitted, true)]
#[case::with_the_sender_version(KeyFault::SenderVersion, true)]
#[case::without_lengths(KeyFault::LengthsOmitted, true)]
fn no_block_of_another_workspace_or_version_is_used(
    #[case] fault: KeyFault,
    #[case] is_violated: bool,
) {
    let count = violations(events(), |events| uses_wrong_block(events, fault));
    assert_eq!(count > 0, is_violated, "{count} of {CASES} interleavings used a wrong block");
}

// Guards against keys that do not depend on the fleet secret, or that depend on white space in a
// prompt.
#[test]
fn keys_depend_on_the_secret_and_the_words() {
    let keys = |secret: &str, prompt: &str| {
        let secret = fleet::Secret::new(secret);
        let root = block::root(&secret, &id::Workspace::new("mill"), &id::Model::new("m"));
        block::chain(&root, &id::Version::new("v1"), prompt)
    };
    let words: Vec<String> = (0..40).map(|n| n.to_string()).collect();
    let chain = keys("aa", &words.join(" "));
    assert_eq!(chain.len(), 2);
    assert_eq!(chain, keys("aa", &words.join("\n  ")));
    assert_eq!(chain[..1], keys("aa", &words[..16].join(" ")));
    assert_ne!(chain, keys("ab", &words.join(" ")));
    assert_eq!(chain[0].to_string().parse::<Key>().unwrap(), chain[0]);
}
