package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"siskintide.example/siskintide/internal/configcheck"
)

const minKeyBytes = 32 // shorter shared keys can be guessed

var logLevels = map[string]bool{"debug": true, "info": true, "warn": true, "error": true}

// Load reads and checks a host's settings file. The error is a *ReadError or an
// *InvalidError. Key files are looked up relative to the settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &ReadError{Path: path, Err: err}
	}
	s, err := Parse(path, data)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Parse parses and checks the content of a settings file. Problems give name as the file,
// and key files are looked up relative to its directory.
func Parse(name string, data []byte) (*Settings, error) {
	s := &Settings{Timing: DefaultTiming(), LogLevel: "info"}
	s.Timing.PlatformCall = 0
	d := decode(name, data, s)
	if err := d.err(); err != nil {
		return nil, err
	}
	s.Timing = s.Timing.withDefaultPlatformCall()
	d.checkHost(s)
	d.checkKeys(s)
	d.checkTiming(s.Timing)
	d.checkSeeds(s)
	if err := d.err(); err != nil {
		return nil, err
	}
	return s, nil
}

// require adds a problem at a key unless ok is true.
func (d *document) require(ok bool, key, got, accepted string) {
	if !ok {
		d.addProblemAt(key, fmt.Sprintf("%.60q", got), accepted)
	}
}

func (d *document) checkHost(s *Settings) {
	d.require(configcheck.ValidIdentifier(string(s.Host)), "host", string(s.Host), configcheck.IdentifierForm)
	d.require(configcheck.ValidIdentifier(string(s.DataCentre)), "data_centre", string(s.DataCentre), configcheck.IdentifierForm)
	d.require(logLevels[s.LogLevel], "log_level", s.LogLevel, `"debug", "info", "warn" or "error"`)
	d.require(configcheck.ValidAddress(s.Listen.Callers), "listen.callers", s.Listen.Callers, configcheck.AddressForm)
	d.require(configcheck.ReachableAddress(s.Listen.Peers), "listen.peers", s.Listen.Peers, configcheck.AddressForm)
	d.require(configcheck.ValidAddress(s.Listen.Admin), "listen.admin", s.Listen.Admin, configcheck.AddressForm)
	d.require(configcheck.ReachableAddress(s.PlatformAddress), "platform", s.PlatformAddress, configcheck.AddressForm)
	seen := map[string]string{s.Listen.Callers: "listen.callers"}
	d.checkUnique(seen, "listen.peers", s.Listen.Peers)
	d.checkUnique(seen, "listen.admin", s.Listen.Admin)
	d.checkUnique(seen, "platform", s.PlatformAddress)
}

// checkUnique reports an address that another key already has.
func (d *document) checkUnique(seen map[string]string, key, address string) {
	if other, taken := seen[address]; taken && address != "" {
		d.addProblemAt(key, fmt.Sprintf("%q, the address of %s", address, other), "an address that no other key has")
	}
	seen[address] = key
}

func (d *document) checkSeeds(s *Settings) {
	addresses := map[string]string{s.Listen.Peers: "listen.peers"}
	ids := map[string]bool{string(s.Host): true}
	for i, seed := range s.Seeds {
		key := fmt.Sprintf("seeds[%d]", i)
		d.require(configcheck.ValidIdentifier(string(seed.ID)), key+".id", string(seed.ID), configcheck.IdentifierForm)
		d.require(!ids[string(seed.ID)], key+".id", string(seed.ID), "a host other than this one, each once")
		d.require(configcheck.ValidIdentifier(string(seed.DataCentre)), key+".data_centre", string(seed.DataCentre), configcheck.IdentifierForm)
		d.require(configcheck.ReachableAddress(seed.PeerAddress), key+".peer_address", seed.PeerAddress, configcheck.AddressForm)
		d.require(!seed.Leaving, key+".leaving", "true", "no such key in settings")
		d.checkUnique(addresses, key+".peer_address", seed.PeerAddress)
		ids[string(seed.ID)] = true
	}
}

func (d *document) checkKeys(s *Settings) {
	d.readKey("peer_key", &s.PeerKey, s.PeerKeyFile)
	d.readKey("operator_key", &s.OperatorKey, s.OperatorKeyFile)
	d.readKey("event_key", &s.EventKey, s.EventKeyFile)
	distinct := s.PeerKey != s.OperatorKey && s.OperatorKey != s.EventKey && s.PeerKey != s.EventKey
	if !distinct && len(d.problems) == 0 {
		d.addProblemAt("operator_key", "two equal keys", "a key of its own for peers, operators and events")
	}
}

// readKey reads a shared key from its key file, if one is given, and checks its length.
// Problems never contain the key itself.
func (d *document) readKey(key string, value *string, file string) {
	if (*value == "") == (file == "") {
		d.addProblemAt(key, "neither or both of "+key+" and "+key+"_file", "one of the two")
		return
	}
	if file != "" {
		text, err := os.ReadFile(filepath.Join(filepath.Dir(d.name), file))
		if err != nil {
			d.addProblemAt(key+"_file", fmt.Sprintf("%q, which cannot be read", file), "a readable file, relative to this one")
			return
		}
		*value = strings.TrimSpace(string(text))
	}
	if len(*value) < minKeyBytes {
		d.addProblemAt(key, fmt.Sprintf("%d bytes", len(*value)), fmt.Sprintf("at least %d bytes", minKeyBytes))
	}
}

func (d *document) checkTiming(t Timing) {
	d.checkDuration("timing.lease", t.Lease, 3*time.Second, time.Minute)
	d.checkDuration("timing.clock_margin", t.ClockMargin, 100*time.Millisecond, 30*time.Second)
	d.checkDuration("timing.heartbeat", t.Heartbeat, 200*time.Millisecond, 5*time.Second)
	d.checkDuration("timing.config_poll", t.ConfigPoll, 500*time.Millisecond, 5*time.Second)
	d.checkDuration("timing.platform_call", t.PlatformCall, 100*time.Millisecond, time.Duration(t.Lease)/minCallsPerLease)
	d.checkDuration("timing.shutdown_grace", t.ShutdownGrace, time.Second, time.Hour)
}

// checkDuration adds a problem if a duration is out of bounds.
func (d *document) checkDuration(key string, got Duration, low, high time.Duration) {
	value := time.Duration(got)
	d.require(value >= low && value <= high, key, got.String(), fmt.Sprintf("a duration from %v to %v", low, high))
}

// IsHostSettings reports whether a file has keys of a host's settings, as opposed to
// declarations.
func IsHostSettings(data []byte) bool {
	d := newDocument("", data)
	root, err := hujson.Parse(data)
	if err != nil {
		return false
	}
	d.walk(&root, reflect.TypeFor[Settings](), "")
	return d.lines["listen"] > 0 || d.lines["host"] > 0 || d.lines["platform"] > 0
}
