package callerbudget

const (
	// ConnectionBytes is the memory that an open connection takes: stack, two buffers and the connection
	// itself. 700 silent connections took 14 KB each.
	ConnectionBytes = 14 << 10
	// fileDescriptors is the number of descriptors that the platform sets aside for files.
	fileDescriptors = 200
	// defaultMemory and defaultDescriptors apply to a process without limits in its settings.
	defaultMemory      = 1 << 30
	defaultDescriptors = 20000
	// bodyMemoryRatio is the part of the memory limit for large request bodies, and defaultBodyMemory their bytes if
	// there is no limit.
	bodyMemoryRatio   = 0.25
	defaultBodyMemory = 64 << 20
)

// Resources are what a process may use; zero for no limit.
type Resources struct {
	Memory      int64 // bytes
	Descriptors int
}

// Limits returns the bounds for a listener.
func (r Resources) Limits(listener Listener) Limits {
	if r.Memory <= 0 {
		r.Memory = defaultMemory
	}
	if r.Descriptors <= 0 {
		r.Descriptors = defaultDescriptors
	}
	s := shares[listener]
	bytes := int64(s.memory * float64(r.Memory))
	connections := int(s.descriptors * float64(r.Descriptors-fileDescriptors))
	if s.connections > 0 {
		connections = min(connections, int(s.connections*float64(bytes)/ConnectionBytes))
	}
	return Limits{Bytes: bytes, Connections: max(s.least, connections)}
}

// BodyMemory returns the bytes of large request bodies that may be held at a time.
func (r Resources) BodyMemory() int64 {
	if r.Memory <= 0 {
		return defaultBodyMemory
	}
	return int64(bodyMemoryRatio * float64(r.Memory))
}
