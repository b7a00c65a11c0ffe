package main

import (
	"fmt"
	"hash/fnv"
	"strings"
)

// callBody returns the whole body of a call's answer.
func callBody(id string, size int) string {
	unit := fmt.Sprintf("%016x", sum(id))
	return strings.Repeat(unit, size/len(unit)+1)[:size]
}

// streamEvent returns one event of a stream.
func streamEvent(id string, event int) string {
	return fmt.Sprintf("id: %d\ndata: %016x%s\n\n", event, sum(fmt.Sprint(id, "/", event)), strings.Repeat("x", 200))
}

// signature returns the signature of a runner's answer.
func signature(id string) string { return fmt.Sprintf("%x.1", sum("signature "+id)) }

func sum(text string) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(text))
	return digest.Sum64()
}
