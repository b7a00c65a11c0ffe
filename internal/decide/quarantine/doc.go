// Package quarantine decides which parts of prompts are held back because engines crash under them.
//
// A crash counts against each shared part of the request whose response had just begun on the
// engine, and a generation that begins clears its parts. Evidence belongs to the part, whichever
// request, caller or host it came from, and hosts merge what they know. It must be used by one
// goroutine only.
package quarantine
