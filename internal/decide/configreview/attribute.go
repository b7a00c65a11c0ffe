package configreview

import (
	"fmt"
	"strconv"
	"time"
)

// attribute is one value of an entry as text, so that all values are compared and shown in one way.
type attribute struct {
	field    Field
	value    string
	negative bool
}

func textOf(field Field, value string) attribute { return attribute{field: field, value: value} }

func flagOf(field Field, value bool) attribute {
	return attribute{field: field, value: strconv.FormatBool(value)}
}

func countOf[T int | int64 | float64](field Field, value T) attribute {
	return attribute{field: field, value: fmt.Sprint(value), negative: value < 0}
}

func durationOf(field Field, value time.Duration) attribute {
	return attribute{field: field, value: value.String(), negative: value < 0}
}
