package main

import "encoding/json"

// Names of the operator's configuration.
const (
	hostName      = "ficu95.example"
	bookingPrefix = "/pule252/"
	lookupPrefix  = "/hoto118/"
	draftPrefix   = "/lohu930/"
	plainService  = "booking-app"
	engineService = "manus-llm"
	apiKey        = "xd9dnn2ctnfzs989anu6"
)

// config returns the operator's configuration, with the figures of stemmebu-ruter.
func config(version int) []byte {
	route := func(name, prefix, kind, service string, attempts, timeout, target, gap, priority int) map[string]any {
		return map[string]any{"name": name, "hostname": hostName, "prefix": prefix, "kind": kind, "timeout-ms": timeout, "target-latency-ms": target,
			"gap-aim-ms": gap, "priority": priority, "service": service, "max-attempts": attempts, "public": false, "sticky": kind == "streaming"}
	}
	text, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("slot-booking", bookingPrefix, "non_idempotent", plainService, 1, 1500, 300, 0, 2),
			route("slot-lookup", lookupPrefix, "idempotent", plainService, 2, 1500, 300, 0, 2),
			route("script-draft", draftPrefix, "streaming", engineService, 1, 39000, 1800, 180, 0),
		},
		"services": []any{
			map[string]any{"name": plainService, "health-path": "/health", "max-conns": 100, "cold-start-s": 0},
			map[string]any{"name": engineService, "health-path": "/health", "max-conns": 272, "engine": map[string]any{
				"slots": 24, "kv-capacity-tokens": 34463, "moves": true, "backups": true, "stride": 4, "handle-s": 5}},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "huka270", "api-keys": []string{apiKey}}},
	})
	if err != nil {
		panic(err) // cannot happen: all values are JSON types
	}
	return text
}
