// Package responsescan checks the heads of HTTP/1.x responses while they are read, before they are parsed. net/http
// accepts heads that RFC 9112 does not allow, and the end of such a response, or its status, is not certain.
package responsescan
