package commandline

import (
	"io"
	"net/http"
)

// Environment is what the tool uses of its surroundings.
type Environment struct {
	In     io.Reader
	Out    io.Writer
	Err    io.Writer
	Getenv func(string) string
	HTTP   *http.Client
}
