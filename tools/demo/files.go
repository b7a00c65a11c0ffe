package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

const (
	teamKey     = "demo-team-key-of-the-producers"
	operatorKey = "demo-operator-key-0123456789abcdef"
	model       = "manus-llm"
	service     = "booking-app"
)

// settingsOf returns the settings of one host.
func (d *deployment) settingsOf(h *host) map[string]any {
	return map[string]any{
		"host":         h.name,
		"data_centre":  h.dataCentre,
		"listen":       map[string]string{"callers": h.callers, "peers": h.peers, "admin": h.admin},
		"platform":     d.platform,
		"peer_key":     "demo-peer-key-0123456789abcdef-0123",
		"operator_key": operatorKey,
		"event_key":    "demo-event-key-0123456789abcdef-012",
		"timing":       map[string]string{"lease": "3s", "clock_margin": "500ms", "shutdown_grace": "30s"},
		"log_level":    "info",
	}
}

// declarations returns what an operator would keep in version control.
func (d *deployment) declarations() map[string]any {
	digest := sha256.Sum256([]byte(teamKey))
	targets := []map[string]any{}
	for _, t := range d.targets {
		entry := map[string]any{"id": t.name, "data_centre": t.dataCentre, "address": t.address}
		if t.engine {
			entry["kind"], entry["model"] = "runner", model
		} else {
			entry["kind"], entry["service"] = "app", service
		}
		targets = append(targets, entry)
	}
	return map[string]any{
		"data_centres": []map[string]any{{"id": "oslo-a", "region": "oslo"}, {"id": "oslo-b", "region": "oslo"}},
		"target_kinds": []map[string]any{
			{"id": "runner", "role": "engine", "cold_streams": 4, "warm_streams": 32, "memory_tokens": 16384,
				"first_token_ms": 770, "token_gap_ms": 77, "checks_fences": true,
				"weight_bytes": 48_000_000_000, "max_context_tokens": 8192},
			{"id": "app", "role": "service", "cold_streams": 4, "warm_streams": 32, "checks_fences": false},
		},
		"models": []map[string]any{{"id": model, "version": "v1", "weight_bytes": 28_000_000_000,
			"max_tokens": 4096, "queue_ms": 10000, "queue_entries": 200}},
		"services": []map[string]any{{"id": service, "unrepeatable_paths": []string{"/bookings"},
			"timeout_ms": 10000, "keep_answer_s": 3600}},
		"classes": []map[string]any{{"id": "interactive", "priority": 0}, {"id": "batch", "priority": 10}},
		"teams": []map[string]any{{"id": "producers", "key_sha256": []string{hex.EncodeToString(digest[:])},
			"weight": 10, "class": "interactive"}},
		"targets": targets,
	}
}

// writeFile writes a document below the demo's directory and returns its path.
func (d *deployment) writeFile(name string, document any) (string, error) {
	data, err := json.MarshalIndent(document, "", "  ")
	if err != nil {
		return "", fmt.Errorf("encode %s: %w", name, err)
	}
	path := filepath.Join(d.dir, name)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return "", fmt.Errorf("write %s: %w", name, err)
	}
	return path, nil
}
