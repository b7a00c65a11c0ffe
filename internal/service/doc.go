// Package service is the client of plain services. It sends each call at most once. The type
// of an error says whether the call may have run or cannot have reached the service.
package service
