// Package callerbudget decides who may take from a host's memory and connections for callers. Ordinary
// callers do not meet its bounds: they come into force only while the memory or the connections are short.
package callerbudget
