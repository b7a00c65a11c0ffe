package core

// ClassSpec declares a request class.
type ClassSpec struct {
	ID       Class    `json:"id"`
	Priority Priority `json:"priority"`
}
