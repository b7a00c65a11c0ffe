package callerbudget

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestThousandConnectionsOnTheSmallestHost guards against bounds that ordinary callers behind one address meet.
func TestThousandConnectionsOnTheSmallestHost(t *testing.T) {
	b := New(LimitsOf(112<<20, 3075))
	for i := range 1000 {
		require.Empty(t, b.TakeConnection("balancer"), i)
	}
	const ordinaryHead = 6 << 10
	for i := range 1000 {
		require.Empty(t, b.Take(Head, "balancer", ordinaryHead), i)
	}
}

// TestLaterClassesGoFirst guards against new requests that take the memory that requests in work need.
func TestLaterClassesGoFirst(t *testing.T) {
	b := New(Limits{Bytes: 1000, Connections: 10})
	require.Empty(t, b.Take(LargeHead, "a", 560))
	require.Equal(t, NoMemory, b.Take(LargeHead, "a", 1))
	require.Empty(t, b.Take(LargeBody, "a", 100))
	require.Equal(t, NoMemory, b.Take(LargeBody, "a", 1))
	require.Empty(t, b.Take(Head, "a", 60))
	require.Equal(t, NoMemory, b.Take(Head, "a", 1))
	require.Equal(t, NoMemory, b.TakeConnection("a"))
	require.Empty(t, b.Take(Body, "a", 60))
	require.Equal(t, NoMemory, b.Take(Body, "a", 1))
	require.Empty(t, b.Take(LargeAnswer, "a", 80))
	require.Equal(t, NoMemory, b.Take(LargeAnswer, "a", 1))
	require.Empty(t, b.Take(Answer, "a", 140))
	require.Equal(t, NoMemory, b.Take(Answer, "a", 1))
}

// TestOneAddressLeavesRoom guards against one address that takes all memory or all connections while another
// one needs some, and against a share that applies while there is enough.
func TestOneAddressLeavesRoom(t *testing.T) {
	b := New(Limits{Bytes: 1000, Connections: 10})
	require.Empty(t, b.Take(Head, "a", 590))
	require.Empty(t, b.Take(Head, "b", 10))
	require.Equal(t, AddressShare, b.Take(Head, "a", 1))
	alone := New(Limits{Bytes: 1000, Connections: 10})
	require.Empty(t, alone.Take(Answer, "", 100))
	require.Empty(t, alone.Take(Head, "a", 550), "answers are not another address")
	require.Empty(t, b.Take(Head, "b", 50))
	b = New(Limits{Bytes: 1 << 30, Connections: 10})
	for range 6 {
		require.Empty(t, b.TakeConnection("a"))
	}
	require.Empty(t, b.TakeConnection("b"))
	require.Equal(t, AddressShare, b.TakeConnection("a"))
	for range 3 {
		require.Empty(t, b.TakeConnection("b"))
	}
	require.Equal(t, NoConnections, b.TakeConnection("b"))
}

// TestBudgetIsKept guards against a count that drifts from what is taken, and a sum beyond the bounds.
func TestBudgetIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Bytes: 1 << 20, Connections: 20}
		b := New(limits)
		connections, bytes := map[string]int{}, map[string][]int64{}
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			address := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "address"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if b.TakeConnection(address) == "" {
					connections[address]++
				}
			case 1:
				n := rapid.Int64Range(1, 1<<18).Draw(t, "bytes")
				if b.Take(Class(rapid.IntRange(1, int(classCount)-1).Draw(t, "class")), address, n) == "" {
					bytes[address] = append(bytes[address], n)
				}
			case 2:
				if connections[address] > 0 {
					connections[address]--
					b.GiveConnection(address)
				}
			case 3:
				if held := bytes[address]; len(held) > 0 {
					b.Give(address, held[0])
					bytes[address] = held[1:]
				}
			}
			count, sum := 0, int64(0)
			for _, n := range connections {
				count += n
				sum += int64(n) * ConnectionBytes
			}
			for _, held := range bytes {
				for _, n := range held {
					sum += n
				}
			}
			require.Equal(t, count, b.Connections())
			require.Equal(t, sum, b.Used())
			require.LessOrEqual(t, sum, limits.Bytes)
			require.LessOrEqual(t, count, limits.Connections)
		}
	})
}
