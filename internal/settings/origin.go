package settings

// origin is the position of a declared entry in its file.
type origin struct {
	document *document
	key      string // path in the document, such as targets[3]
}
