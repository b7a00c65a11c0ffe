package pool

import "siskintide.example/siskintide/internal/core"

// hints remembers on which target a prompt's leading block was used last. The target may
// have evicted it since.
type hints struct {
	targets map[uint64]core.TargetID
	order   []uint64
}

func newHints() *hints { return &hints{targets: map[uint64]core.TargetID{}} }

// Get returns the target that probably holds the prefix, or an empty identifier.
func (h *hints) Get(prefix uint64) core.TargetID { return h.targets[prefix] }

// Set remembers that the target holds the prefix. Zero means no prefix.
func (h *hints) Set(prefix uint64, target core.TargetID) {
	if prefix == 0 {
		return
	}
	if _, found := h.targets[prefix]; !found {
		h.order = append(h.order, prefix)
	}
	h.targets[prefix] = target
	if len(h.order) > maxHints {
		delete(h.targets, h.order[0])
		h.order = h.order[1:]
	}
}

// Flush forgets all prefixes of a target.
func (h *hints) Flush(target core.TargetID) {
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
