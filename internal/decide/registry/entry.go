package registry

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskintide.example/siskintide/internal/core"
)

// Entry is one registered target.
type Entry struct {
	core.Registration
	SeenAt    time.Duration // when this state of the entry was recorded
	ColdUntil time.Duration
	// MissingSince is when the entry was found missing during the grace period after an
	// outage. It is negative if the entry is present.
	MissingSince time.Duration
}

// digest returns a hash of the registration without its revision and remaining cold time.
func (e Entry) digest() uint64 {
	fields := []string{
		string(e.Target), string(e.Pool), e.Address, string(e.DataCentre),
		strconv.Itoa(e.Slots), strconv.FormatBool(e.Leaving), strconv.FormatInt(e.Born, 10),
	}
	if e.Version != "" {
		fields = append(fields, string(e.Version))
	}
	return xxhash.Sum64String(strings.Join(fields, "\x00"))
}

// present is the value of MissingSince for an entry that is in the store.
const present = time.Duration(-1)
