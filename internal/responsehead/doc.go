// Package responsehead checks the heads of responses of targets and of the platform before net/http parses them.
package responsehead
