package callerbudget

const (
	// shortRatio is the part of memory and connections beyond which they are short.
	shortRatio = 0.6
	// addressRatio is the part of them that one address may have then, if there are others.
	addressRatio = 0.4
)

// Budget counts what callers have taken. It is not safe for concurrent use.
type Budget struct {
	limits      Limits
	inWork      int64 // bytes up to which answers may fill a budget that was reduced below what is in use; zero otherwise
	used        int64
	connections int
	holdings    map[string]*holding // by address; only those that hold anything
}

// New returns a budget of which nothing is taken.
func New(limits Limits) *Budget { return &Budget{limits: limits, holdings: map[string]*holding{}} }

// SetLimits changes the bounds. If more is in use, nothing new is admitted until enough was returned. Answers of
// requests in work then get as much beyond what is in use as bodies leave them of the new bounds, and no more than before.
func (b *Budget) SetLimits(limits Limits) {
	before := max(b.limits.Bytes, b.inWork)
	b.limits, b.inWork = limits, 0
	reserve := limits.Bytes - int64(ceilings[Body]*float64(limits.Bytes))
	if !b.roomForAnswers() {
		b.inWork = min(before, b.used+reserve)
	}
}

// roomForAnswers reports whether as much as usual is left for answers.
func (b *Budget) roomForAnswers() bool {
	return float64(b.used) <= ceilings[Body]*float64(b.limits.Bytes)
}

// Overdrawn reports whether more is in use than the bounds allow, as they were reduced.
func (b *Budget) Overdrawn() bool {
	return b.used > b.limits.Bytes || b.connections > b.limits.Connections
}

// Used returns the bytes that are taken.
func (b *Budget) Used() int64 { return b.used }

// Connections returns the number of connections that are taken.
func (b *Budget) Connections() int { return b.connections }

// TakeConnection takes a connection and its memory. It returns a reason, and takes nothing, if it must not.
func (b *Budget) TakeConnection(address string) Reason {
	if b.connections >= b.limits.Connections {
		return NoConnections
	}
	short := shortRatio * float64(b.limits.Connections)
	if float64(b.connections) >= short && b.others(address) && float64(b.held(address).connections) >= addressRatio*float64(b.limits.Connections) {
		return AddressShare
	}
	if reason := b.Take(Connection, address, ConnectionBytes); reason != "" {
		return reason
	}
	b.connections++
	b.holdings[address].connections++
	return ""
}

// GiveConnection returns a connection and its memory.
func (b *Budget) GiveConnection(address string) {
	b.connections--
	b.holdings[address].connections--
	b.Give(address, ConnectionBytes)
}

// DetachConnection returns the memory of a connection whose bytes the HTTP server handles no longer. The connection still counts.
func (b *Budget) DetachConnection(address string) { b.Give(address, ConnectionBytes) }

// GiveDetached returns a connection that was detached.
func (b *Budget) GiveDetached(address string) {
	b.connections--
	b.holdings[address].connections--
	b.Give(address, 0)
}

// Take takes memory for a class. An empty address has no share, as that of buffered answers. It returns a reason, and
// takes nothing, if it must not.
func (b *Budget) Take(class Class, address string, n int64) Reason {
	total := float64(b.limits.Bytes)
	after := float64(b.used + n)
	ceiling := ceilings[class] * total
	if class >= LargeAnswer {
		ceiling = max(ceiling, float64(b.inWork))
	}
	if after > ceiling {
		return NoMemory
	}
	if address != "" && after > shortRatio*total && b.others(address) && float64(b.held(address).bytes+n) > addressRatio*total {
		return AddressShare
	}
	b.used += n
	if address == "" {
		return ""
	}
	if b.holdings[address] == nil {
		b.holdings[address] = &holding{}
	}
	b.holdings[address].bytes += n
	return ""
}

// Give returns memory that was taken for the address.
func (b *Budget) Give(address string, n int64) {
	b.used -= n
	if b.inWork > 0 && b.roomForAnswers() {
		b.inWork = 0
	}
	if address == "" {
		return
	}
	held := b.holdings[address]
	held.bytes -= n
	if held.bytes == 0 && held.connections == 0 {
		delete(b.holdings, address)
	}
}

// held returns what an address has taken.
func (b *Budget) held(address string) holding {
	if held := b.holdings[address]; held != nil {
		return *held
	}
	return holding{}
}

// others reports whether another address holds anything. If all callers come from one address, as behind a
// balancer, it may have everything.
func (b *Budget) others(address string) bool {
	return len(b.holdings) > 1 || len(b.holdings) == 1 && b.holdings[address] == nil
}
