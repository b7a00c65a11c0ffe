// Package service is the client of plain services. It sends each call at most once and
// tells a call that cannot have reached the service from one that may have run.
package service
