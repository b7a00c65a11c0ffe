package cluster

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

const (
	// TeamKey is the API key of the first team.
	TeamKey = "demo-team-key-of-the-producers"
	// OperatorKey is the key of operator requests.
	OperatorKey = "demo-operator-key-0123456789abcdef"
	// Model is the only declared model.
	Model = "manus-llm"
	// Service is the only declared plain service.
	Service = "booking-app"
)

// hostSettings returns the settings of one host.
func (d *Deployment) hostSettings(h *Host) map[string]any {
	timing := d.layout.Timing
	return map[string]any{
		"host":         h.Name,
		"data_centre":  h.DataCentre,
		"listen":       map[string]string{"callers": h.CallerAddress, "peers": h.PeerAddress, "admin": h.AdminAddress},
		"platform":     d.PlatformAddress,
		"peer_key":     "demo-peer-key-0123456789abcdef-0123",
		"operator_key": OperatorKey,
		"event_key":    "demo-event-key-0123456789abcdef-012",
		"timing":       map[string]string{"lease": timing.Lease, "clock_margin": timing.ClockMargin, "shutdown_grace": timing.ShutdownGrace},
		"log_level":    "info",
	}
}

// declarations returns the declarations document, which an operator would keep in version
// control.
func (d *Deployment) declarations() map[string]any {
	kind := d.layout.EngineKind
	return map[string]any{
		"data_centres": d.dataCentreDeclarations(),
		"target_kinds": []map[string]any{
			{"id": "runner", "role": "engine", "cold_streams": kind.ColdStreams, "warm_streams": kind.WarmStreams,
				"memory_tokens": kind.MemoryTokens, "first_token_ms": 770, "token_gap_ms": 77, "checks_fences": true,
				"weight_bytes": 48_000_000_000, "max_context_tokens": 8192},
			{"id": "app", "role": "service", "cold_streams": 4, "warm_streams": 32, "checks_fences": false},
		},
		"models": []map[string]any{{"id": Model, "version": "v1", "weight_bytes": 28_000_000_000,
			"max_tokens": 4096, "queue_ms": kind.QueueMS, "queue_entries": kind.QueueEntries}},
		"services": d.serviceDeclarations(),
		"classes":  []map[string]any{{"id": "interactive", "priority": 0}, {"id": "batch", "priority": 10}},
		"teams":    d.teamDeclarations(),
		"targets":  d.targetDeclarations(),
	}
}

func (d *Deployment) serviceDeclarations() []map[string]any {
	if d.layout.Services == 0 {
		return []map[string]any{}
	}
	return []map[string]any{{"id": Service, "unrepeatable_paths": []string{"/bookings"}, "timeout_ms": 10000, "keep_answer_s": 3600}}
}

func (d *Deployment) dataCentreDeclarations() []map[string]any {
	var declarations []map[string]any
	for _, name := range d.layout.DataCentres {
		declarations = append(declarations, map[string]any{"id": name, "region": "oslo"})
	}
	return declarations
}

func (d *Deployment) teamDeclarations() []map[string]any {
	var declarations []map[string]any
	for i := range max(d.layout.Teams, 1) {
		digest := sha256.Sum256([]byte(teamKey(i)))
		declarations = append(declarations, map[string]any{
			"id": fmt.Sprintf("team-%d", i+1), "key_sha256": []string{hex.EncodeToString(digest[:])},
			"weight": 10, "class": "interactive",
		})
	}
	return declarations
}

func teamKey(i int) string {
	if i == 0 {
		return TeamKey
	}
	return fmt.Sprintf("%s-%d", TeamKey, i+1)
}

func (d *Deployment) targetDeclarations() []map[string]any {
	var declarations []map[string]any
	for _, t := range d.Targets {
		entry := map[string]any{"id": t.Name, "data_centre": t.DataCentre, "address": t.Address}
		if t.Engine {
			entry["kind"], entry["model"] = "runner", Model
		} else {
			entry["kind"], entry["service"] = "app", Service
		}
		declarations = append(declarations, entry)
	}
	return declarations
}

// writeFile writes a document as JSON to the deployment's directory and returns its path.
func (d *Deployment) writeFile(name string, document any) (string, error) {
	data, err := json.MarshalIndent(document, "", "  ")
	if err != nil {
		return "", fmt.Errorf("encode %s: %w", name, err)
	}
	path := filepath.Join(d.Dir, name)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return "", fmt.Errorf("write %s: %w", name, err)
	}
	return path, nil
}
