package fault

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// maxSpecBytes limits the request body.
const maxSpecBytes = 4 << 10

// ReadSpec reads the body of POST /stand-in/fault. On failure it responds with status 400
// and returns the error.
func ReadSpec(w http.ResponseWriter, r *http.Request) (Spec, error) {
	var spec Spec
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSpecBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&spec); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return Spec{}, fmt.Errorf("read fault: %w", err)
	}
	return spec, nil
}
