package plan

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"reflect"

	"siskintide.example/siskintide/internal/core"
)

const identityBytes = 10 // bytes of the digest in a plan's identifier

// Identity returns the identifier of the plan for an intent on a base revision. It depends
// on nothing else, so that a repeated confirmation is recognised.
func Identity(base core.Revision, intent Intent) core.PlanID {
	digest := sha256.New()
	fmt.Fprintf(digest, "%d;", base)
	writeValue(digest, reflect.ValueOf(intent))
	return core.PlanID(fmt.Sprintf("p-%x", digest.Sum(nil)[:identityBytes]))
}

// writeValue writes a value in an encoding in which different values differ, but empty and
// nil slices are equal.
func writeValue(to hash.Hash, value reflect.Value) {
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			writeValue(to, value.Field(i))
		}
	case reflect.Slice:
		fmt.Fprintf(to, "[%d;", value.Len())
		for i := range value.Len() {
			writeValue(to, value.Index(i))
		}
	case reflect.Pointer:
		fmt.Fprintf(to, "*%t;", !value.IsNil())
		if !value.IsNil() {
			writeValue(to, value.Elem())
		}
	case reflect.String:
		fmt.Fprintf(to, "%q;", value.String())
	default:
		fmt.Fprintf(to, "%v;", value.Interface())
	}
}
