package callerbudget

const (
	// memoryRatio is the part of the process's memory limit for callers. The rest is for the state of the host
	// and for memory that is not collected yet; together they stay below half of the limit.
	memoryRatio = 0.3
	// ConnectionBytes is the memory that an open connection takes: stack, two buffers and the connection
	// itself. 700 silent connections took 14 KB each.
	ConnectionBytes = 14 << 10
	// fileDescriptors is the number of descriptors that the platform sets aside for files.
	fileDescriptors = 200
	// connectionRatio is the part of the other descriptors for callers. Each call in work needs another one for
	// its target; the rest is for links to hosts and the store.
	connectionRatio = 0.45
	// defaultMemory and defaultDescriptors apply to a process without limits in its settings.
	defaultMemory      = 1 << 30
	defaultDescriptors = 20000
)

// Limits are the bounds of a Budget.
type Limits struct {
	Bytes       int64
	Connections int
}

// LimitsOf returns the bounds for a process with a memory limit in bytes and a number of descriptors; zero if it
// has none.
func LimitsOf(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	bytes := int64(memoryRatio * float64(memory))
	byMemory := int(connectionCeiling * float64(bytes) / ConnectionBytes)
	byDescriptors := int(connectionRatio * float64(descriptors-fileDescriptors))
	return Limits{Bytes: bytes, Connections: max(1, min(byMemory, byDescriptors))}
}
