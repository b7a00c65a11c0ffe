package rawhttp

// MalformedResponses returns responses whose heads are not valid HTTP, by what is wrong with them. net/http accepts
// all but the one with a control byte.
func MalformedResponses() map[string]string {
	const chunked = ": chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"
	const start = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n" // the length with the encoding of the chunk
	return map[string]string{
		"status 000":              "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
		"status 999":              "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\n{}",
		"blank in a name":         start + "Transfer Encoding" + chunked,
		"blank before a name":     start + "Date: now\r\n Transfer-Encoding" + chunked,
		"line feed before a name": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\nTransfer-Encoding" + chunked,
		"control byte in a name":  start + "Transfer\x01Encoding" + chunked,
		"chunks in HTTP/1.0":      "HTTP/1.0 200 OK\r\nContent-Length: 12\r\nTransfer-Encoding" + chunked,
	}
}
