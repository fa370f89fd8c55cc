//! Tests of block keys and the life cycle of blocks, above all of invariants 1, 2 and 3.

use std::collections;

use damaskdrift_core::block::{self, Block, Doubt, Key, Pinned, Sealed, Writing};
use damaskdrift_core::time::Millis;
use damaskdrift_core::{fleet, id};
use proptest::prelude::{Strategy, any, prop};
use proptest::strategy::ValueTree as _;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use rstest::rstest;

const CASES: usize = 3_000;
const SEED: u64 = 20_261_204;
const TTL: Millis = Millis(200);

/// Runs a property over a fixed sequence of inputs and returns how many violate it.
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

/// What a store, a writer and a reader of one key do, in any order.
#[derive(Clone, Debug)]
enum Step {
    Begin(usize),
    Half(usize),
    Seal(usize),
    Free(usize),
    Reuse(usize),
    FindAndPin(usize),
    ReadHalf,
    Use,
    Wait(u64),
}

/// Which protection a reader leaves out.
#[derive(Clone, Copy, PartialEq)]
enum Without {
    Nothing,
    Check,
    Manifest,
}

/// Memory of a store with fewer slots than keys, so that slots are used again.
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

    fn begin(&mut self, index: usize) {
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

    /// Frees a block even if it is pinned, as a store that restarts does.
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

    /// Returns whether the reader used data that is not the block's.
    fn is_wrong(&self, reader: &Reader, without: Without) -> bool {
        let used = match (&reader.pin, without) {
            (Some(pin), Without::Nothing) => pin.check(&reader.data, self.now).is_ok(),
            (_, Without::Nothing) => false,
            (_, Without::Check | Without::Manifest) => reader.data.len() == 8,
        };
        used && reader.data != contents(reader.key)
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (0..14usize, 0..3usize, 0..60u64).prop_map(|(kind, index, wait)| match kind {
        0..=1 => Step::Begin(index),
        2..=4 => Step::Half(index),
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
            Step::Begin(index) => memory.begin(*index),
            Step::Half(index) => memory.write_half(*index),
            Step::Seal(index) => memory.seal(*index),
            Step::Free(index) => memory.free(*index),
            Step::Reuse(index) => {
                memory.free(*index);
                memory.begin((index + 1) % 3);
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
                if reader.take().is_some_and(|reader| memory.is_wrong(&reader, without)) {
                    return true;
                }
            }
        }
    }
    false
}

// Guards against a request that reads a freed or partly written block (invariant 1). The cases that
// leave a protection out show that the interleavings reach the fault.
#[rstest]
#[case::protected(Without::Nothing, false)]
#[case::without_check(Without::Check, true)]
#[case::without_manifest(Without::Manifest, true)]
fn no_freed_or_partly_written_block_is_read(#[case] without: Without, #[case] is_violated: bool) {
    let count = violations(steps(), |steps| reads_wrong_data(steps, without));
    assert_eq!(count > 0, is_violated, "{count} of {CASES} interleavings read wrong data");
}

// Guards against data that is used in spite of a doubt.
#[rstest]
#[case::whole(b"12345678", 0, Ok(()))]
#[case::before_the_margin(b"12345678", 149, Ok(()))]
#[case::expired(b"12345678", 150, Err(Doubt::PinExpired))]
#[case::short(b"1234567", 0, Err(Doubt::Length))]
#[case::damaged(b"1234567x", 0, Err(Doubt::Checksum))]
fn doubtful_data_is_refused(
    #[case] data: &[u8],
    #[case] at: u64,
    #[case] expected: Result<(), Doubt>,
) {
    let mut writing = Block::new(key(0), 7);
    writing.append(b"1234");
    writing.append(b"5678");
    let pinned = writing.seal().pin(Millis(0), TTL);
    assert_eq!(pinned.generation(), 7);
    assert_eq!(pinned.check(data, Millis(at)).map(|_| ()), expected);
}

/// What callers and operators do to a fleet of two engines and a store.
#[derive(Clone, Debug)]
enum Act {
    Send { workspace: usize, prompt: usize, engine: usize },
    Finish(usize),
    Swap { engine: usize, version: usize },
    Export(usize),
    Import(usize),
}

/// Which part of the key is left out.
#[derive(Clone, Copy, PartialEq)]
enum KeyPart {
    Complete,
    NoWorkspace,
    SendersVersion,
    NoLengths,
}

/// Who computed a block.
#[derive(Clone, Debug, PartialEq)]
struct Origin {
    workspace: usize,
    version: usize,
    prefix: String,
}

#[derive(Default)]
struct Engine {
    version: usize,
    /// Version that the sender of requests knows.
    known: usize,
    cache: collections::HashMap<Key, Origin>,
}

const WORKSPACES: [&str; 3] = ["mill", "mil", "notices"];
const VERSIONS: [&str; 2] = ["v1", "v2"];

/// Prompts whose words join to the same text, and that share prefixes.
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

fn chain(part: KeyPart, workspace: usize, version: usize, known: usize, prompt: &str) -> Vec<Key> {
    let secret = fleet::Secret::new("5ec7e7");
    let workspace = if part == KeyPart::NoWorkspace { 0 } else { workspace };
    let version = if part == KeyPart::SendersVersion { known } else { version };
    let workspace = id::Workspace::new(WORKSPACES[workspace]);
    let root = block::root(&secret, &workspace, &id::Model::new("m"));
    if part == KeyPart::NoLengths {
        return unframed(&root, prompt);
    }
    block::chain(&root, &id::Version::new(VERSIONS[version]), prompt)
}

/// Hashes words without their lengths and without the version.
fn unframed(root: &Key, prompt: &str) -> Vec<Key> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let full = words.len() / block::BLOCK_TOKENS;
    let text = |block: usize| words[..block * block::BLOCK_TOKENS].concat();
    let hash = |block| blake3::keyed_hash(root.as_bytes(), text(block).as_bytes());
    (1..=full).map(|block| Key::new(*hash(block).as_bytes())).collect()
}

fn acts() -> impl Strategy<Value = Vec<Act>> {
    let numbers = (0..9usize, 0..3usize, 0..3usize, any::<bool>());
    let act = numbers.prop_map(|(kind, workspace, prompt, second)| {
        let engine = usize::from(second);
        match kind {
            0..=3 => Act::Send { workspace, prompt, engine },
            4..=5 => Act::Finish(workspace),
            6 => Act::Swap { engine, version: prompt % 2 },
            7 => Act::Export(engine),
            _ => Act::Import(engine),
        }
    });
    prop::collection::vec(act, 10..40)
}

fn uses_wrong_block(acts: &[Act], part: KeyPart) -> bool {
    let mut engines = [Engine::default(), Engine::default()];
    let mut store = collections::HashMap::new();
    let mut runs: Vec<(usize, Vec<(Key, Origin)>)> = Vec::new();
    for act in acts {
        match act {
            Act::Send { workspace, prompt: index, engine: e } => {
                let (engine, text) = (&mut engines[*e], prompt(*index));
                let keys = chain(part, *workspace, engine.version, engine.known, &text);
                let own = origins(*workspace, engine.version, &text, &keys);
                let held = own.iter().map_while(|(key, own)| Some((engine.cache.get(key)?, own)));
                if held.into_iter().any(|(found, own)| found != own) {
                    return true;
                }
                engine.known = engine.version;
                runs.push((*e, own));
            }
            Act::Finish(index) => {
                if *index < runs.len() {
                    let (engine, blocks) = runs.remove(*index);
                    engines[engine].cache.extend(blocks);
                }
            }
            Act::Swap { engine, version } => {
                engines[*engine].version = *version;
                engines[*engine].cache.clear();
            }
            Act::Export(engine) => store.extend(engines[*engine].cache.clone()),
            Act::Import(engine) => engines[*engine].cache.extend(store.clone()),
        }
    }
    false
}

// Guards against a workspace that gets another's blocks (invariant 2) and a new request that gets
// blocks of another weight version (invariant 3). The cases with a part of the key left out show
// that the interleavings reach the fault.
#[rstest]
#[case::complete(KeyPart::Complete, false)]
#[case::without_workspace(KeyPart::NoWorkspace, true)]
#[case::with_the_senders_version(KeyPart::SendersVersion, true)]
#[case::without_lengths(KeyPart::NoLengths, true)]
fn no_block_of_another_workspace_or_version_is_used(
    #[case] part: KeyPart,
    #[case] is_violated: bool,
) {
    let count = violations(acts(), |acts| uses_wrong_block(acts, part));
    assert_eq!(count > 0, is_violated, "{count} of {CASES} interleavings used a wrong block");
}

// Guards against keys that another fleet can derive, or that change with the prompt's white space.
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
