// Package callerapi is the HTTP side towards callers: completions, chat completions, the
// list of models, resumption of streams and calls of plain services. It checks requests,
// renders answers and refusals, and leaves all decisions to the packages behind it.
package callerapi
