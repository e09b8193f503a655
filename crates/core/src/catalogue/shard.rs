//! A verified shard: a map from digests of bearer keys to workspaces.

use crate::ids::{EntryKey, WorkspaceKey, stable_hash};
use cranelift_entity::{PrimaryMap, entity_impl};
use subtle::{Choice, ConditionallySelectable, ConstantTimeEq};

/// A [`Workspace`] of one [`Shard`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkspaceId(u32);
entity_impl!(WorkspaceId, "workspace");

/// A workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// The published name.
    pub name: String,
    /// The key of that name.
    pub key: WorkspaceKey,
    /// The entries that it may use, sorted.
    pub entries: Vec<EntryKey>,
    /// Its limits over all instances.
    pub limits: WorkspaceLimits,
}

impl Workspace {
    /// Returns whether the workspace may use the entry.
    pub fn allows(&self, entry: EntryKey) -> bool {
        self.entries.binary_search(&entry).is_ok()
    }
}

/// The limits of a workspace at shared endpoints, over all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkspaceLimits {
    /// Maximum number of concurrent requests.
    pub concurrent: u32,
    /// Maximum number of prompt and output tokens per minute.
    pub tokens_per_minute: u64,
}

/// A key digest and the workspace that holds the key.
#[derive(Clone, Debug)]
struct KeySlot {
    /// Stable hash of the digest. The slots are sorted by it.
    hash: u64,
    digest: [u8; 32],
    workspace: WorkspaceId,
}

/// One verified shard of a catalogue.
///
/// Invariants: `slots` is sorted by hash, each digest occurs at most once, and every workspace id
/// is valid.
#[derive(Clone, Debug)]
pub struct Shard {
    number: u32,
    workspaces: PrimaryMap<WorkspaceId, Workspace>,
    slots: Vec<KeySlot>,
}

impl Shard {
    /// Returns an empty shard.
    pub fn new(number: u32) -> Self {
        Shard {
            number,
            workspaces: PrimaryMap::new(),
            slots: Vec::new(),
        }
    }

    /// Adds a workspace with its key digests. [`Shard::seal`] must be called after the last one.
    pub(super) fn insert(
        &mut self,
        workspace: Workspace,
        digests: impl IntoIterator<Item = [u8; 32]>,
    ) {
        let id = self.workspaces.push(workspace);
        let slots = digests.into_iter().map(|digest| KeySlot {
            hash: slot_hash(&digest),
            digest,
            workspace: id,
        });
        self.slots.extend(slots);
    }

    /// Sorts the slots for lookups.
    pub(super) fn seal(&mut self) {
        self.slots.sort_by_key(|slot| slot.hash);
        self.slots.shrink_to_fit();
    }

    /// Returns the shard's number.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// Returns the workspaces in the order of the shard.
    pub fn workspaces(&self) -> &PrimaryMap<WorkspaceId, Workspace> {
        &self.workspaces
    }

    /// Returns the workspace that holds the bearer key with this digest.
    ///
    /// The lookup resists timing attacks. A comparison that stops at the first different byte would
    /// reveal how long a prefix of a stored digest a guess matches, and eventually the digest. So
    /// the digest is compared in constant time with each slot of equal hash, even after a match.
    /// The search for these slots uses a hash of the digest. Its timing depends only on the
    /// position of the guess's own hash and reveals nothing, because a caller cannot choose a key
    /// whose SHA-256 digest is close to an unknown one.
    pub fn workspace_by_digest(&self, digest: &[u8; 32]) -> Option<&Workspace> {
        let hash = slot_hash(digest);
        let start = self.slots.partition_point(|slot| slot.hash < hash);
        let mut found = Choice::from(0);
        let mut index = 0_u32;
        for slot in self.slots[start..]
            .iter()
            .take_while(|slot| slot.hash == hash)
        {
            let equal = slot.digest.ct_eq(digest);
            index.conditional_assign(&slot.workspace.as_u32(), equal);
            found |= equal;
        }
        bool::from(found).then(|| &self.workspaces[WorkspaceId::from_u32(index)])
    }

    /// Returns the approximate memory use of the shard in bytes.
    pub fn memory_bytes(&self) -> usize {
        let slots = self.slots.len() * size_of::<KeySlot>();
        let workspaces = self.workspaces.values().map(|workspace| {
            size_of::<Workspace>()
                + workspace.name.capacity()
                + workspace.entries.capacity() * size_of::<EntryKey>()
        });
        size_of::<Shard>() + slots + workspaces.sum::<usize>()
    }
}

fn slot_hash(digest: &[u8; 32]) -> u64 {
    stable_hash(&[digest])
}
