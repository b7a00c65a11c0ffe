package hub

import "time"

const (
	// readSpacing is the time between two reads of one table of the store by hosts that no
	// other host follows, over all of them.
	readSpacing = 4 * time.Millisecond
	// maxReadInterval bounds the age of the state of a host without a hub. With the time of a
	// read it stays below MaxAge.
	maxReadInterval = time.Second
)

// ReadInterval returns the minimum time between two reads of a table of the store by a host
// that is no hub. It grows with the number of hosts in the deployment, so that hosts that lose
// their hub together do not overload the store. Zero hosts means that the number is not known.
func ReadInterval(hosts int) time.Duration {
	if hosts == 0 {
		return maxReadInterval
	}
	return min(time.Duration(hosts)*readSpacing, maxReadInterval)
}
