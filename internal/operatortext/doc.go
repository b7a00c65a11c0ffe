// Package operatortext writes plans, refusals and status as text for a person to read.
package operatortext
