package settings

// origin is the place of one declared entry.
type origin struct {
	document *document
	key      string // path in the document, such as targets[3]
}
