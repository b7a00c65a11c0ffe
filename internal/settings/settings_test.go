package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
)

const hostFile = `{
  "host": "dar-a-1", // a comment
  "data_centre": "dar-a",
  "listen": {"callers": "127.0.0.1:7001", "peers": "127.0.0.1:7002", "admin": "127.0.0.1:7003"},
  "platform": "127.0.0.1:9000",
  "peer_key": "peer-key-peer-key-peer-key-peer-key-",
  "operator_key": "operator-key-operator-key-operator-key",
  "event_key": "event-key-event-key-event-key-event-",
  "seeds": [
    {"id": "dar-a-2", "data_centre": "dar-a", "peer_address": "127.0.0.2:7002"},
  ],
  "timing": {"lease": "12s"},
}`

func TestParseAppliesDefaultsAndDurations(t *testing.T) {
	s, err := Parse("host.jsonc", []byte(hostFile))
	require.NoError(t, err)
	require.Equal(t, core.Host{ID: "dar-a-1", DataCentre: "dar-a", PeerAddress: "127.0.0.1:7002"}, s.Self())
	require.Equal(t, Duration(12*time.Second), s.Timing.Lease)
	require.Equal(t, Duration(2400*time.Millisecond), s.Timing.PlatformCall, "follows the lease")
	require.Equal(t, DefaultTiming().ConfigPoll, s.Timing.ConfigPoll)
	require.Equal(t, "info", s.LogLevel)
}

func TestParseReportsLineKeyAndAcceptedForm(t *testing.T) {
	cases := map[string]struct{ from, to, want string }{
		"name for address":  {`"platform": "127.0.0.1:9000"`, `"platform": "platform.example:9000"`, `host.jsonc:5: platform: got "platform.example:9000"; accepted: IP:port`},
		"missing port":      {`"admin": "127.0.0.1:7003"`, `"admin": "127.0.0.1"`, `host.jsonc:4: listen.admin: got "127.0.0.1"; accepted: IP:port`},
		"duplicate address": {`"admin": "127.0.0.1:7003"`, `"admin": "127.0.0.1:7002"`, `host.jsonc:4: listen.admin: got "127.0.0.1:7002", the address of listen.peers`},
		"missing data centre": {`"data_centre": "dar-a",
  "listen"`, `"listen"`, `data_centre: got ""; accepted: 1 to 63`},
		"wrong unit":         {`"12s"`, `"12 seconds"`, `host.jsonc:12: timing.lease: got "12 seconds"; accepted: a duration with its unit`},
		"no unit":            {`"12s"`, `12`, `host.jsonc:12: timing.lease: got 12; accepted: a duration with its unit`},
		"out of bounds":      {`"12s"`, `"12h"`, `host.jsonc:12: timing.lease: got "12h0m0s"; accepted: a duration from 3s to 1m0s`},
		"platform call":      {`{"lease": "12s"}`, `{"lease": "5s", "platform_call": "2s"}`, `host.jsonc:12: timing.platform_call: got "2s"; accepted: a duration from 100ms to 1s`},
		"short key":          {`"peer-key-peer-key-peer-key-peer-key-"`, `"short"`, `host.jsonc:6: peer_key: got 5 bytes; accepted: at least 32 bytes`},
		"no key":             {`"event_key": "event-key-event-key-event-key-event-",`, ``, `event_key: got neither or both`},
		"equal keys":         {`"event-key-event-key-event-key-event-"`, `"peer-key-peer-key-peer-key-peer-key-"`, `two equal keys`},
		"unknown key":        {`"platform"`, `"plattform"`, `host.jsonc:5: plattform: got an unknown key; accepted: one of host, data_centre`},
		"key twice":          {`"data_centre": "dar-a",`, `"data_centre": "dar-a", "host": "x",`, `host.jsonc:3: host: got the key again`},
		"seed is this host":  {`"dar-a-2"`, `"dar-a-1"`, `host.jsonc:10: seeds[0].id: got "dar-a-1"; accepted: a host other than this one`},
		"seed address taken": {`"127.0.0.2:7002"`, `"127.0.0.1:7002"`, `host.jsonc:10: seeds[0].peer_address`},
		"list for object":    {`{"lease": "12s"}`, `[]`, `host.jsonc:12: timing: got a list; accepted: an object with the keys lease`},
		"broken file":        {`"timing": {`, `"timing": `, `host.jsonc: got hujson`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			changed := strings.Replace(hostFile, c.from, c.to, 1)
			require.NotEqual(t, hostFile, changed)
			_, err := Parse("host.jsonc", []byte(changed))
			invalid := &InvalidError{}
			require.ErrorAs(t, err, &invalid)
			require.Contains(t, err.Error(), c.want)
			require.NotContains(t, err.Error(), "peer-key-peer")
		})
	}
}

func TestLoadReadsKeyFiles(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "host.jsonc")
	text := strings.Replace(hostFile, `"peer_key": "peer-key-peer-key-peer-key-peer-key-"`, `"peer_key_file": "peer.key"`, 1)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	_, err := Load(path)
	require.ErrorContains(t, err, `peer_key_file: got "peer.key", which cannot be read`)
	key := strings.Repeat("k", minKeyBytes)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "peer.key"), []byte(key+"\n"), 0o600))
	s, err := Load(path)
	require.NoError(t, err)
	require.Equal(t, key, s.PeerKey)
	_, err = Load(filepath.Join(dir, "absent.jsonc"))
	missing := &ReadError{}
	require.ErrorAs(t, err, &missing)
}

const declared = `{
  "data_centres": [{"id": "dar-a", "region": "coast"}],
  "target_kinds": [
    {"id": "runner", "role": "engine", "cold_streams": 2, "warm_streams": 8, "memory_tokens": 9000,
     "first_token_ms": 770, "token_gap_ms": 77, "weight_bytes": 100, "max_context_tokens": 8000},
    {"id": "app", "role": "service", "cold_streams": 2, "warm_streams": 8},
  ],
  "models": [{"id": "assistant", "version": "v1", "weight_bytes": 100, "max_tokens": 500, "queue_ms": 1000, "queue_entries": 10}],
  "services": [{"id": "counter", "unrepeatable_paths": ["/payments"], "timeout_ms": 1000, "keep_answer_s": 60}],
  "classes": [{"id": "interactive", "priority": 0}],
  "teams": [{"id": "office", "key_sha256": ["0000000000000000000000000000000000000000000000000000000000000000"], "weight": 1, "class": "interactive"}],
  "targets": [
    {"id": "e-1", "data_centre": "dar-a", "address": "127.0.0.1:8001", "kind": "runner", "model": "assistant"},
    {"id": "s-1", "data_centre": "dar-a", "address": "127.0.0.1:8002", "kind": "app", "service": "counter"},
  ],
}`

func TestParseConfigCompletesStatesAndVersions(t *testing.T) {
	config, err := ParseConfig("d.jsonc", []byte(declared))
	require.NoError(t, err)
	require.Equal(t, core.StateIn, config.DataCentres[0].State)
	require.Equal(t, core.StateIn, config.Targets[0].State)
	require.Equal(t, core.ModelVersion("v1"), config.Targets[0].Version)
	incomplete, err := ParseDeclarations("d.jsonc", []byte(declared))
	require.NoError(t, err)
	require.Empty(t, incomplete.Targets[0].State)
}

func TestDeclarationsReportLineKeyAndAcceptedForm(t *testing.T) {
	cases := map[string]struct{ from, to, want string }{
		"unknown data centre":   {`"s-1", "data_centre": "dar-a"`, `"s-1", "data_centre": "dar-b"`, `d.jsonc:14: targets[1].data_centre: got "dar-b"`},
		"duplicate address":     {`:8002`, `:8001`, `d.jsonc:14: targets[1].address: got "127.0.0.1:8001"; accepted: an address that no earlier`},
		"duplicate id":          {`"s-1"`, `"e-1"`, `d.jsonc:14: targets[1].id: got "e-1"`},
		"cold above warm":       {`"cold_streams": 2, "warm_streams": 8, "memory`, `"cold_streams": 9, "warm_streams": 8, "memory`, `d.jsonc:4: target_kinds[0].warm_streams: got 8; accepted: a whole number of at least 9`},
		"no target for a model": {`"kind": "runner", "model": "assistant"`, `"kind": "app", "service": "counter"`, `d.jsonc:8: models[0].id: got "assistant"; accepted: a model that at least one target serves`},
		"bad digest":            {`000"]`, `00Z"]`, `d.jsonc:11: teams[0].key_sha256`},
		"weights do not fit":    {`"weight_bytes": 100, "max_tokens"`, `"weight_bytes": 101, "max_tokens"`, `d.jsonc:13: targets[0].model`},
		"unknown class":         {`"class": "interactive"`, `"class": "fast"`, `d.jsonc:11: teams[0].class`},
		"service on an engine":  {`"model": "assistant"},`, `"model": "assistant", "service": "counter"},`, `d.jsonc:13: targets[0].service`},
		"state":                 {`"region": "coast"`, `"region": "coast", "state": "away"`, `d.jsonc:2: data_centres[0].state: got "away"; accepted: "in" or "out"`},
		"revision":              {`"classes"`, `"revision": 4, "classes"`, `d.jsonc:10: revision: got "4"`},
		"number in quotes":      {`"weight": 1`, `"weight": "1"`, `d.jsonc:11: teams[0].weight: got "1"; accepted: a whole number without quotes`},
		"path":                  {`"/payments"`, `"payments"`, `d.jsonc:9: services[0].unrepeatable_paths`},
		"no data centre":        {`[{"id": "dar-a", "region": "coast"}]`, `[]`, `d.jsonc:2: data_centres: got no entry`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			changed := strings.Replace(declared, c.from, c.to, 1)
			require.NotEqual(t, declared, changed)
			_, err := ParseDeclarations("d.jsonc", []byte(changed))
			require.ErrorContains(t, err, c.want)
		})
	}
}

func TestLoadDeclarationsOfSeveralFilesNamesTheFile(t *testing.T) {
	dir := t.TempDir()
	cut := strings.Index(declared, `  "teams"`)
	first, second := filepath.Join(dir, "1.jsonc"), filepath.Join(dir, "2.jsonc")
	require.NoError(t, os.WriteFile(first, []byte(declared[:cut]+"}"), 0o600))
	require.NoError(t, os.WriteFile(second, []byte("{\n"+strings.Replace(declared[cut:], ":8002", ":8001", 1)), 0o600))
	_, err := LoadDeclarations(first, second)
	require.ErrorContains(t, err, second+`:5: targets[1].address`)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(hostFile))
	f.Add([]byte(`{"seeds": [{"id": 1}, null], "timing": null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f", data)
		require.Equal(t, err == nil, s != nil)
	})
}

func FuzzDeclarations(f *testing.F) {
	f.Add([]byte(declared))
	f.Add([]byte(`{"targets": [{"id": "a"}], "teams": null, "targets": []}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		config, err := ParseConfig("f", data)
		require.Equal(t, err == nil, config != nil)
	})
}
