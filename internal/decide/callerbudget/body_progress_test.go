package callerbudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestStoppedBody guards against a body that has arrived fast in part and then holds its memory: what has arrived before
// must not count for long.
func TestStoppedBody(t *testing.T) {
	p := BeginBody(0, 0)
	require.False(t, p.TooSlow(BodyPause-1))
	require.True(t, p.TooSlow(BodyPause))
	p = p.Receive(time.Second, 10<<20)
	require.False(t, p.TooSlow(time.Second+BodyPause-1))
	require.True(t, p.TooSlow(time.Second+BodyPause))
}

// TestTrickledBody guards against a body that is kept alive by a byte now and then.
func TestTrickledBody(t *testing.T) {
	p := BeginBody(0, 0)
	now := time.Duration(0)
	for range 10 {
		now += 500 * time.Millisecond
		p = p.Receive(now, 100)
	}
	require.True(t, p.TooSlow(now))
	require.False(t, BeginBody(now, p.Received).TooSlow(now), "held back by the host")
}

// TestSteadyBody guards against ordinary bodies that are given up: any that arrive at the least rate or faster, with pauses
// below BodyPause after what has arrived at that rate.
func TestSteadyBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now := BeginBody(0, 0), time.Duration(0)
		for range rapid.IntRange(1, 100).Draw(t, "parts") {
			pause := time.Duration(rapid.Int64Range(0, int64(BodyPause)-1).Draw(t, "pause"))
			now += pause
			require.False(t, p.TooSlow(now))
			least := int64(pause/time.Millisecond+1)*minBodyRate/1000 + 1
			p = p.Receive(now, least+rapid.Int64Range(0, 1<<20).Draw(t, "bytes"))
		}
	})
}

// TestOrderOfSlowBodies guards against bodies that hold nothing and are given up before those that hold the memory.
func TestOrderOfSlowBodies(t *testing.T) {
	large, early, late := BodyProgress{Due: 9, Received: 5}, BodyProgress{Due: 1}, BodyProgress{Due: 2}
	require.True(t, large.GoesBefore(early))
	require.False(t, early.GoesBefore(large))
	require.True(t, early.GoesBefore(late))
	require.False(t, late.GoesBefore(early))
	require.False(t, early.GoesBefore(early))
}
