//! Heap memory of values, measured by the allocator of this program.

use peak_alloc::PeakAlloc;

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// Returns the number of heap bytes that a value frees when it is dropped.
pub(super) fn heap_bytes<T>(value: T) -> usize {
    let before = ALLOCATOR.current_usage();
    drop(value);
    before.saturating_sub(ALLOCATOR.current_usage())
}
