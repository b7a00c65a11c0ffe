package fault

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// maxOrderBytes bounds the body of an order.
const maxOrderBytes = 4 << 10

// ReadSpec reads the order from a request to POST /stand-in/fault. On failure it has
// answered with status 400.
func ReadSpec(w http.ResponseWriter, r *http.Request) (Spec, error) {
	var order Spec
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return Spec{}, fmt.Errorf("read fault: %w", err)
	}
	return order, nil
}
