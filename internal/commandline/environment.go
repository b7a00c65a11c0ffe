package commandline

import (
	"io"
	"net/http"
)

// Environment holds the streams, environment variables and HTTP client that the tool uses.
type Environment struct {
	In     io.Reader
	Out    io.Writer
	Err    io.Writer
	Getenv func(string) string
	HTTP   *http.Client
}
