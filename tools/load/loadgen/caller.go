package loadgen

import (
	"strconv"
	"strings"

	"siskintide.example/siskintide/internal/core"
)

// Caller is one team's share of the load in one request class.
type Caller struct {
	Team   core.TeamID
	Key    string // API key
	Class  core.Class
	Weight int // share of the requests relative to other callers
}

// ParseCaller reads "team:key:class:weight".
func ParseCaller(text string) (Caller, error) {
	fields := strings.Split(text, ":")
	if len(fields) != 4 {
		return Caller{}, &OptionError{Option: "caller", Reason: "not of the form team:key:class:weight"}
	}
	weight, err := strconv.Atoi(fields[3])
	if err != nil || weight <= 0 {
		return Caller{}, &OptionError{Option: "caller", Reason: "weight is not a number above zero"}
	}
	return Caller{Team: core.TeamID(fields[0]), Key: fields[1], Class: core.Class(fields[2]), Weight: weight}, nil
}
