//! Mutual authentication before the first message.
//!
//! Small messages of fixed size are exchanged over the TCP connection before HTTP/2 begins, so
//! that an unauthenticated client never reaches a parser that allocates:
//!
//! 1. the dialling side: versions, its instance key and incarnation, the instance that it dials,
//!    and a nonce;
//! 2. the accepting side: the chosen version and a nonce, nothing else;
//! 3. the dialling side: HMAC-SHA256 over 1 and 2;
//! 4. the accepting side, only if 3 was valid: its instance key and incarnation, and HMAC-SHA256
//!    over all of the above.
//!
//! A client with a wrong or missing secret receives only a version and a random nonce before the
//! connection is closed. Both proofs cover both nonces, so they cannot be replayed, and each names
//! its side, so they cannot be reflected. `docs/design/peer-protocol.md` says what this does not
//! protect against.

use super::{PeersConfig, Rejection};
use hmac::{Hmac, Mac};
use oriolemux_core::event::PeerId;
use oriolemux_core::ids::{Incarnation, InstanceKey};
use rand::TryRngCore;
use rand::rngs::OsRng;
use sha2::Sha256;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The lowest protocol version that this build supports.
pub const VERSION_MIN: u16 = 1;

/// The highest protocol version that this build supports.
pub const VERSION_MAX: u16 = 2;

const MAGIC: [u8; 8] = *b"oriolmx\0";
const NONCE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;
const HELLO_BYTES: usize = MAGIC.len() + 2 + 2 + 8 + 8 + 8 + NONCE_BYTES;
const CHALLENGE_BYTES: usize = 2 + NONCE_BYTES;
const IDENTITY_BYTES: usize = 8 + 8;
const WELCOME_BYTES: usize = IDENTITY_BYTES + PROOF_BYTES;

/// The side that makes a proof.
#[derive(Clone, Copy)]
enum Side {
    Dialling,
    Accepting,
}

impl Side {
    const fn label(self) -> &'static [u8] {
        match self {
            Side::Dialling => b"oriolemux peer, dialling",
            Side::Accepting => b"oriolemux peer, accepting",
        }
    }
}

/// The first message of the dialling side.
struct Hello {
    versions: (u16, u16),
    from: PeerId,
    wanted: InstanceKey,
}

impl Hello {
    fn encode(&self, nonce: &[u8; NONCE_BYTES]) -> [u8; HELLO_BYTES] {
        let mut bytes = Vec::with_capacity(HELLO_BYTES);
        bytes.extend(MAGIC);
        bytes.extend(self.versions.0.to_be_bytes());
        bytes.extend(self.versions.1.to_be_bytes());
        bytes.extend(encode_identity(self.from));
        bytes.extend(self.wanted.0.to_be_bytes());
        bytes.extend(nonce);
        let mut fixed = [0; HELLO_BYTES];
        fixed.copy_from_slice(&bytes);
        fixed
    }

    fn decode(bytes: &[u8; HELLO_BYTES]) -> Option<Hello> {
        let rest = bytes.strip_prefix(&MAGIC)?;
        let (min, rest) = rest.split_first_chunk::<2>()?;
        let (max, rest) = rest.split_first_chunk::<2>()?;
        let (identity, rest) = rest.split_first_chunk::<IDENTITY_BYTES>()?;
        let (wanted, _) = rest.split_first_chunk::<8>()?;
        Some(Hello {
            versions: (u16::from_be_bytes(*min), u16::from_be_bytes(*max)),
            from: decode_identity(identity),
            wanted: InstanceKey(u64::from_be_bytes(*wanted)),
        })
    }
}

fn encode_identity(peer: PeerId) -> [u8; IDENTITY_BYTES] {
    let both = u128::from(peer.instance.0) << 64 | u128::from(peer.incarnation.0);
    both.to_be_bytes()
}

fn decode_identity(bytes: &[u8; IDENTITY_BYTES]) -> PeerId {
    let both = u128::from_be_bytes(*bytes);
    PeerId {
        instance: InstanceKey((both >> 64) as u64),
        incarnation: Incarnation(both as u64),
    }
}

/// Returns the highest version that is in both ranges.
pub fn common_version(ours: (u16, u16), theirs: (u16, u16)) -> Option<u16> {
    let highest = ours.1.min(theirs.1);
    let lowest = ours.0.max(theirs.0);
    (highest >= lowest).then_some(highest)
}

fn authenticator(secret: &[u8], side: Side, transcript: &[&[u8]]) -> Option<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).ok()?;
    mac.update(side.label());
    for part in transcript {
        mac.update(part);
    }
    Some(mac)
}

fn prove(secret: &[u8], side: Side, transcript: &[&[u8]]) -> Result<[u8; PROOF_BYTES], Rejection> {
    let mac = authenticator(secret, side, transcript).ok_or(Rejection::WrongSecret)?;
    Ok(mac.finalize().into_bytes().into())
}

/// Compares in constant time, so that a proof cannot be guessed byte by byte.
fn check(secret: &[u8], side: Side, transcript: &[&[u8]], proof: &[u8]) -> Result<(), Rejection> {
    let mac = authenticator(secret, side, transcript).ok_or(Rejection::WrongSecret)?;
    mac.verify_slice(proof).map_err(|_| Rejection::WrongSecret)
}

fn nonce() -> Result<[u8; NONCE_BYTES], Rejection> {
    let mut nonce = [0; NONCE_BYTES];
    let drawn = OsRng.try_fill_bytes(&mut nonce);
    drawn.map_err(|_| Rejection::NoRandomness)?;
    Ok(nonce)
}

async fn read<const N: usize>(io: &mut (impl AsyncRead + Unpin)) -> Result<[u8; N], Rejection> {
    let mut bytes = [0; N];
    io.read_exact(&mut bytes)
        .await
        .map_err(|_| Rejection::Closed)?;
    Ok(bytes)
}

async fn write(io: &mut (impl AsyncWrite + Unpin), bytes: &[u8]) -> Result<(), Rejection> {
    io.write_all(bytes).await.map_err(|_| Rejection::Closed)?;
    io.flush().await.map_err(|_| Rejection::Closed)
}

/// The authenticated peer of a connection, and the protocol version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AuthenticatedPeer {
    pub peer: PeerId,
    /// The version that was chosen.
    pub version: u16,
}

/// Authenticates a connection that this side dialled to the instance `wanted`.
pub(super) async fn dial<Io: AsyncRead + AsyncWrite + Unpin>(
    io: &mut Io,
    cfg: &PeersConfig,
    wanted: InstanceKey,
) -> Result<AuthenticatedPeer, Rejection> {
    let hello = Hello {
        versions: (VERSION_MIN, VERSION_MAX),
        from: cfg.id(),
        wanted,
    };
    let hello = hello.encode(&nonce()?);
    write(io, &hello).await?;
    let challenge: [u8; CHALLENGE_BYTES] = read(io).await?;
    let chosen = u16::from_be_bytes([challenge[0], challenge[1]]);
    if !(VERSION_MIN..=VERSION_MAX).contains(&chosen) {
        return Err(Rejection::Version);
    }
    let secret = cfg.secret();
    let proof = prove(secret, Side::Dialling, &[&hello, &challenge])?;
    write(io, &proof).await?;
    let welcome: [u8; WELCOME_BYTES] = read(io).await?;
    let (identity, proof) = welcome.split_at(IDENTITY_BYTES);
    check(
        secret,
        Side::Accepting,
        &[&hello, &challenge, identity],
        proof,
    )?;
    let mut fixed = [0; IDENTITY_BYTES];
    fixed.copy_from_slice(identity);
    let peer = decode_identity(&fixed);
    if peer.instance == wanted {
        Ok(AuthenticatedPeer {
            peer,
            version: chosen,
        })
    } else {
        Err(Rejection::WrongInstance)
    }
}

/// Authenticates a connection that was accepted.
pub(super) async fn accept<Io: AsyncRead + AsyncWrite + Unpin>(
    io: &mut Io,
    cfg: &PeersConfig,
) -> Result<AuthenticatedPeer, Rejection> {
    let bytes: [u8; HELLO_BYTES] = read(io).await?;
    let hello = Hello::decode(&bytes).ok_or(Rejection::NotAPeer)?;
    let chosen = common_version((VERSION_MIN, VERSION_MAX), hello.versions);
    let chosen = chosen.ok_or(Rejection::Version)?;
    let mut challenge = [0; CHALLENGE_BYTES];
    challenge[..2].copy_from_slice(&chosen.to_be_bytes());
    challenge[2..].copy_from_slice(&nonce()?);
    write(io, &challenge).await?;
    let proof: [u8; PROOF_BYTES] = read(io).await?;
    let secret = cfg.secret();
    check(secret, Side::Dialling, &[&bytes, &challenge], &proof)?;
    if hello.wanted != cfg.id().instance {
        return Err(Rejection::WrongInstance);
    }
    if hello.from.instance == cfg.id().instance {
        return Err(Rejection::OwnName);
    }
    let identity = encode_identity(cfg.id());
    let proof = prove(secret, Side::Accepting, &[&bytes, &challenge, &identity])?;
    let mut welcome = [0; WELCOME_BYTES];
    welcome[..IDENTITY_BYTES].copy_from_slice(&identity);
    welcome[IDENTITY_BYTES..].copy_from_slice(&proof);
    write(io, &welcome).await?;
    Ok(AuthenticatedPeer {
        peer: hello.from,
        version: chosen,
    })
}
