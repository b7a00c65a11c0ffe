package pool

import "siskintide.example/siskintide/internal/core"

// prefixHints maps the hash of a prompt's leading block to the target that last ran a
// request with it. The target may have evicted the block since.
type prefixHints struct {
	targets map[uint64]core.TargetID
	order   []uint64
}

func newPrefixHints() *prefixHints { return &prefixHints{targets: map[uint64]core.TargetID{}} }

// Get returns the target that probably caches the prefix, or an empty ID.
func (h *prefixHints) Get(prefix uint64) core.TargetID { return h.targets[prefix] }

// Set records that the target caches the prefix. A zero prefix is ignored.
func (h *prefixHints) Set(prefix uint64, target core.TargetID) {
	if prefix == 0 {
		return
	}
	if _, found := h.targets[prefix]; !found {
		h.order = append(h.order, prefix)
	}
	h.targets[prefix] = target
	if len(h.order) > maxPrefixHints {
		delete(h.targets, h.order[0])
		h.order = h.order[1:]
	}
}

// Flush removes all prefixes of a target.
func (h *prefixHints) Flush(target core.TargetID) {
	kept := h.order[:0]
	for _, prefix := range h.order {
		if h.targets[prefix] == target {
			delete(h.targets, prefix)
			continue
		}
		kept = append(kept, prefix)
	}
	h.order = kept
}
