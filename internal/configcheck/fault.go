package configcheck

import "fmt"

// Fault is one inconsistency of a configuration.
type Fault struct {
	Section  string // key of the list at the top of the configuration, such as "targets"
	Index    int    // position in the list; -1 means the list itself
	Field    string // key inside the entry; empty means the entry itself
	Got      string // value found, truncated
	Accepted string // form that would be accepted
}

// Key returns the place in the form targets[3].address.
func (f Fault) Key() string {
	key := f.Section
	if f.Index >= 0 {
		key = fmt.Sprintf("%s[%d]", key, f.Index)
	}
	if f.Field != "" {
		key += "." + f.Field
	}
	return key
}
