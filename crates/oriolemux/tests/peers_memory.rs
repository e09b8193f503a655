//! The memory that hostile frames use, measured as the peak of the process.
//!
//! The only test in its file, because memory of tests that run in parallel would count too.

use oriolemux::peers::FrameDecoder;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const MAX_FRAME: usize = 1024 * 1024;

/// The allowed growth: one frame, its copy, and what bincode may allocate.
const MOST_GROWTH_KB: u64 = 32 * 1024;

fn peak_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|it| it.starts_with("VmHWM")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Returns a frame whose parts declare large sizes: random bytes, among them many of bincode's
/// markers for lengths of two, four and eight bytes.
fn hostile(rng: &mut SmallRng) -> Vec<u8> {
    let length = rng.random_range(1..4096_usize);
    let mut frame = (length as u32).to_be_bytes().to_vec();
    let marks = [0, 1, 2, 3, 4, 5, 251, 252, 253, 255];
    frame.extend((0..length).map(|_| match rng.random_range(0..3) {
        0 => rng.random(),
        _ => marks[rng.random_range(0..marks.len())],
    }));
    frame
}

#[test]
fn hostile_frames_do_not_allocate_beyond_the_limit() {
    let mut rng = SmallRng::seed_from_u64(1);
    let before = peak_kb();
    for _ in 0..50_000 {
        let mut decoder = FrameDecoder::new(MAX_FRAME);
        decoder.push(&hostile(&mut rng));
        let _ = decoder.next_envelope();
    }
    let growth = peak_kb() - before;
    assert!(growth < MOST_GROWTH_KB, "{growth} KB");
}
